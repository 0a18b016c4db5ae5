/**
 * Index of the prompt prefixes cached by engines and cache stores, as far as known to this router.
 * Parts are indexed by a hash of salt and identifier, so that entries of other weights or tenants do
 * not match, and that locations reported by other routers need no text of their prompts.
 */
import type { PromptPart } from './generation.js';
import { partKeyOf, saltHashOf } from './part-key.js';
import { ReadRates } from './read-rates.js';

/** Expiry period of parts that expire by {@link CachedPrefixes.dropLocation} instead. */
const NO_PERIOD = Infinity;

/** Last known cache contents of all holders: engine incarnations and store addresses. */
export class CachedPrefixes {
  /** Cached tokens by holder, for each salted part. */
  private readonly holdersByPart = new Map<number, Map<string, number>>();
  /** Expiry period in which each part was last recorded, by holder. */
  private readonly partsByHolder = new Map<string, Map<number, number>>();
  /** Uses of parts by the requests of the group; empty where no reads are exchanged. */
  readonly readRates = new ReadRates();
  /** Whether locations and rates are learned from the reads of the group's routers. */
  learnsFromReads = false;
  private period = 0;
  private reportingHolders: ReadonlySet<string> | undefined;

  /** Records that a holder has cached `tokens` of a part; 0 if it evicted the part. */
  record(holder: string, salt: string, partId: string, tokens: number): void {
    const key = partKeyOf(saltHashOf(salt), partId);
    if (tokens > 0) this.add(holder, key, tokens, this.period);
    else this.drop(holder, key);
  }

  /** Records a location that stays until {@link dropLocation}, whatever the expiry period. */
  recordLocation(holder: string, partKey: number, tokens: number): void {
    this.add(holder, partKey, tokens, NO_PERIOD);
  }

  /** Removes a location unless it was recorded by other means since. */
  dropLocation(holder: string, partKey: number): void {
    if (this.partsByHolder.get(holder)?.get(partKey) === NO_PERIOD) this.drop(holder, partKey);
  }

  /** Records that a holder has processed, and so cached, a whole prompt. */
  recordPrompt(holder: string, salt: string, parts: readonly PromptPart[]): void {
    for (const part of parts) this.record(holder, salt, part.id, part.tokens);
  }

  /** Length of the cached prefix in tokens by holder; holders without one are omitted. */
  leadingTokens(salt: string, parts: readonly PromptPart[]): Map<string, number> {
    const leading = new Map<string, number>();
    const saltHash = saltHashOf(salt);
    let fullMatches: Iterable<string> | undefined;
    for (const part of parts) {
      const tokensByHolder = this.holdersByPart.get(partKeyOf(saltHash, part.id));
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

  /** Requests per second of the group that use a part; 0 where no reads are exchanged. */
  readsPerSecond(salt: string, partId: string, nowMs: number): number {
    return this.readRates.perSecond(partKeyOf(saltHashOf(salt), partId), nowMs);
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
    return this.reportingHolders?.has(holder) ?? false;
  }

  /** Whether the cache events of any holder are received. */
  get hasReportingHolders(): boolean {
    return this.reportingHolders !== undefined && this.reportingHolders.size > 0;
  }

  /** Whether it is decided that this router follows no cache events, as in a large group. */
  get followsNoEvents(): boolean {
    return this.reportingHolders?.size === 0;
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

  private add(holder: string, key: number, tokens: number, period: number): void {
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
    parts.set(key, period);
  }

  private drop(holder: string, key: number): void {
    const holders = this.holdersByPart.get(key);
    if (!holders?.delete(holder)) return;
    if (holders.size === 0) this.holdersByPart.delete(key);
    this.partsByHolder.get(holder)?.delete(key);
  }
}
