/** Prefix reads that wait to be sent, merged by engine and part. Pure. */

/** A part that an engine has read. */
export interface PrefixRead {
  /** Key of the engine's incarnation. */
  readonly engineKey: number;
  /** Key of salt and part; unsigned when sent. */
  readonly partKey: number;
  readonly tokens: number;
  /** Time since the read, in milliseconds. */
  readonly ageMs: number;
  /** Number of reads that the entry stands for; 0 from senders that do not count them. */
  readonly reads: number;
}

/** The same part at the same engine is sent at most once in this time. */
const REPEAT_PERIOD_MS = 1_500;
/** Reads that could not be sent within this time are dropped, so that new ones are not delayed. */
const MAXIMUM_WAIT_MS = 3_000;
/** Reads that wait; a router that collects for a large group has some hundred. */
const MAXIMUM_WAITING = 2_048;

interface WaitingRead {
  readonly engineKey: number;
  readonly partKey: number;
  readonly tokens: number;
  /** Time of the latest of the merged reads. */
  readonly readMs: number;
  /** Time of the first of the merged reads. */
  readonly sinceMs: number;
  readonly reads: number;
}

/** Queue of reads, with the times at which each was sent last. */
export class PrefixReadQueue {
  private readonly waiting = new Map<string, WaitingRead>();
  /** Time of the last sending by engine and part, oldest first. */
  private readonly sentMs = new Map<string, number>();

  /** Adds a read and merges it with one that waits. */
  add(read: PrefixRead, nowMs: number): void {
    const { engineKey, partKey, tokens } = read;
    const key = `${engineKey} ${partKey}`;
    const merged = this.waiting.get(key);
    const readMs = Math.max(merged?.readMs ?? -Infinity, nowMs - read.ageMs);
    const sinceMs = merged?.sinceMs ?? nowMs;
    const reads = (merged?.reads ?? 0) + Math.max(1, read.reads);
    this.waiting.set(key, { engineKey, partKey, tokens, readMs, sinceMs, reads });
    if (this.waiting.size <= MAXIMUM_WAITING) return;
    const [oldest] = this.waiting.keys();
    if (oldest !== undefined) this.waiting.delete(oldest);
  }

  /**
   * Removes and returns the reads that are due, at most `limit`: first those that were not sent
   * recently, the longest parts first, then those sent the longest time ago.
   */
  take(limit: number, nowMs: number): PrefixRead[] {
    this.dropOld(nowMs);
    const due = [...this.waiting].filter(([key]) => this.isDue(key, nowMs));
    if (due.length > limit) due.sort((left, right) => this.compare(left, right));
    return due.slice(0, limit).map(([key, read]) => {
      this.waiting.delete(key);
      this.sentMs.delete(key);
      this.sentMs.set(key, nowMs);
      const { engineKey, partKey, tokens, readMs, reads } = read;
      const ageMs = Math.max(0, Math.round(nowMs - readMs));
      return { engineKey, partKey: partKey >>> 0, tokens, ageMs, reads };
    });
  }

  clear(): void {
    this.waiting.clear();
    this.sentMs.clear();
  }

  private isDue(key: string, nowMs: number): boolean {
    return nowMs - (this.sentMs.get(key) ?? -Infinity) >= REPEAT_PERIOD_MS;
  }

  private compare(
    [leftKey, left]: [string, WaitingRead],
    [rightKey, right]: [string, WaitingRead],
  ): number {
    const leftSentMs = this.sentMs.get(leftKey) ?? -Infinity;
    const rightSentMs = this.sentMs.get(rightKey) ?? -Infinity;
    if (leftSentMs !== rightSentMs) return leftSentMs < rightSentMs ? -1 : 1;
    return right.tokens - left.tokens;
  }

  private dropOld(nowMs: number): void {
    for (const [key, { sinceMs }] of this.waiting) {
      if (nowMs - sinceMs >= MAXIMUM_WAIT_MS) this.waiting.delete(key);
    }
    for (const [key, sentMs] of this.sentMs) {
      // A read that is sent again replaces its entry, so the entries are in order of time.
      if (nowMs - sentMs < 2 * MAXIMUM_WAIT_MS) break;
      this.sentMs.delete(key);
    }
  }
}
