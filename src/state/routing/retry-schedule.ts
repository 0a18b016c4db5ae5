/**
 * Spreads the retries of rejected callers over time, so that no more of them arrive in a second
 * than can be served, higher priorities first. Pure.
 */

const HIGHEST_PRIORITY = 0;
const LOWEST_PRIORITY = 9;

/** Reserved retry times, by priority. */
export class RetrySchedule {
  /** Latest reserved time, by priority. */
  private readonly latestMs = new Map<number, number>();

  /**
   * Reserves and returns the next free time at or after `earliestMs`, behind the retries of the
   * same and of higher priorities. Times are capped at the horizon; nothing is reserved beyond it.
   *
   * @param retriesPerSecond rate at which callers may retry, above 0
   */
  reserve(
    priority: number,
    earliestMs: number,
    retriesPerSecond: number,
    horizonMs: number,
  ): number {
    const rank = Math.min(LOWEST_PRIORITY, Math.max(HIGHEST_PRIORITY, Math.round(priority)));
    const gapMs = 1_000 / retriesPerSecond;
    let atMs = earliestMs;
    for (const [other, latestMs] of this.latestMs) {
      if (other <= rank) atMs = Math.max(atMs, latestMs + gapMs);
    }
    atMs = Math.min(atMs, horizonMs);
    this.latestMs.set(rank, atMs);
    return atMs;
  }
}
