/**
 * Index of the prompt prefixes cached by engines and cache stores, as far as known to this router.
 * Parts are indexed by salt, so that entries of other weights or tenants never match.
 */
import type { PromptPart } from './generation.js';

/** Last known cache contents of all holders: engine incarnations and store addresses. */
export class CachedPrefixes {
  /** Cached tokens by holder, for each salted part. */
  private readonly holdersByPart = new Map<string, Map<string, number>>();
  /** Expiry period in which each part was last recorded, by holder. */
  private readonly partsByHolder = new Map<string, Map<string, number>>();
  private period = 0;
  private reportingHolders: ReadonlySet<string> = new Set();

  /** Records that a holder has cached `tokens` of a part; 0 if it evicted the part. */
  record(holder: string, salt: string, partId: string, tokens: number): void {
    const key = keyOf(salt, partId);
    if (tokens > 0) this.add(holder, key, tokens);
    else this.drop(holder, key);
  }

  /** Records that a holder has processed, and so cached, a whole prompt. */
  recordPrompt(holder: string, salt: string, parts: readonly PromptPart[]): void {
    for (const part of parts) this.record(holder, salt, part.id, part.tokens);
  }

  /** Length of the cached prefix in tokens by holder; holders without one are omitted. */
  leadingTokens(salt: string, parts: readonly PromptPart[]): Map<string, number> {
    const leading = new Map<string, number>();
    let fullMatches: Iterable<string> | undefined;
    for (const part of parts) {
      const tokensByHolder = this.holdersByPart.get(keyOf(salt, part.id));
      if (!tokensByHolder) break;
      const nextFullMatches: string[] = [];
      for (const holder of fullMatches ?? tokensByHolder.keys()) {
        const tokens = Math.min(tokensByHolder.get(holder) ?? 0, part.tokens);
        if (tokens === 0) continue;
        leading.set(holder, (leading.get(holder) ?? 0) + tokens);
        if (tokens === part.tokens) nextFullMatches.push(holder);
      }
      fullMatches = nextFullMatches;
    }
    return leading;
  }

  /** Removes a holder that restarted, left or loaded other weights. */
  forget(holder: string): void {
    for (const key of [...(this.partsByHolder.get(holder)?.keys() ?? [])]) this.drop(holder, key);
    this.partsByHolder.delete(holder);
  }

  /** Removes all holders that are not listed. */
  retain(holders: ReadonlySet<string>): void {
    for (const holder of [...this.partsByHolder.keys()]) {
      if (!holders.has(holder)) this.forget(holder);
    }
  }

  /** Sets the holders whose cache events are received; evictions of the others are not observed. */
  setReportingHolders(holders: ReadonlySet<string>): void {
    this.reportingHolders = holders;
  }

  /** Whether the cache contents of a holder are known from its own events. */
  isReported(holder: string): boolean {
    return this.reportingHolders.has(holder);
  }

  /**
   * Ends the current expiry period. For holders without events, removes parts that were not
   * recorded during it, since their eviction is not observed.
   */
  expire(): void {
    for (const [holder, parts] of this.partsByHolder) {
      if (this.isReported(holder)) continue;
      for (const [key, recordedPeriod] of [...parts]) {
        if (recordedPeriod < this.period) this.drop(holder, key);
      }
    }
    this.period += 1;
  }

  /** Number of parts cached by a holder. */
  sizeOf(holder: string): number {
    return this.partsByHolder.get(holder)?.size ?? 0;
  }

  private add(holder: string, key: string, tokens: number): void {
    let holders = this.holdersByPart.get(key);
    if (!holders) {
      holders = new Map();
      this.holdersByPart.set(key, holders);
    }
    holders.set(holder, tokens);
    let parts = this.partsByHolder.get(holder);
    if (!parts) {
      parts = new Map();
      this.partsByHolder.set(holder, parts);
    }
    parts.set(key, this.period);
  }

  private drop(holder: string, key: string): void {
    const holders = this.holdersByPart.get(key);
    if (!holders?.delete(holder)) return;
    if (holders.size === 0) this.holdersByPart.delete(key);
    this.partsByHolder.get(holder)?.delete(key);
  }
}

function keyOf(salt: string, partId: string): string {
  return `${salt}\n${partId}`;
}
