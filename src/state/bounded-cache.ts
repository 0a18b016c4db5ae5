/** A least-recently-used cache that allocates memory as it grows. */
import { LRUCache } from 'lru-cache';

/** Time to live of entries, by a given clock. */
export interface Retention {
  readonly retentionMs: number;
  readonly now: () => number;
}

/**
 * Creates a cache of at most `maximumEntries` that evicts the least recently used entry. The limit
 * is set by size, since `lru-cache` allocates its whole index up front for a limit by count.
 */
export function createBoundedCache<Key extends string | bigint, Value extends object | number>(
  maximumEntries: number,
  retention?: Retention,
): LRUCache<Key, Value> {
  const bound = { maxSize: maximumEntries, sizeCalculation: () => 1 };
  if (!retention) return new LRUCache<Key, Value>(bound);
  return new LRUCache<Key, Value>({
    ...bound,
    ttl: retention.retentionMs,
    ttlResolution: 0,
    // The library treats time 0 as unset.
    perf: { now: () => Math.max(1, retention.now()) },
  });
}
