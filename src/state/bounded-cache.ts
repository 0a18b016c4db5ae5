/** A least-recently-used table that grows with its contents instead of being laid out in full. */
import { LRUCache } from 'lru-cache';

/** How long entries are kept, by a given clock. */
export interface Retention {
  readonly retentionMs: number;
  readonly now: () => number;
}

/**
 * At most `maximumEntries`, the least recently used out first. The bound is given as a size, since
 * `lru-cache` allocates its whole index at once for a bound by count.
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
    // The library reads 0 as "no time yet".
    perf: { now: () => Math.max(1, retention.now()) },
  });
}
