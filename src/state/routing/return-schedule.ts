/**
 * Spreads the callers that were turned away over the time ahead, so that no more of them come back in a
 * second than can be served, the urgent ones first. Pure.
 */

/** Most urgent and least urgent priority. */
const MOST_URGENT = 0;
const LEAST_URGENT = 9;

/** The times at which callers may come back, by priority. */
export class ReturnSchedule {
  /** Latest return that was booked, by priority. */
  private readonly latestMs = new Map<number, number>();

  /**
   * Books the next free moment at or after `earliestMs`, behind the returns of the same and of more urgent
   * priorities; answers that moment. What lies beyond the horizon is not foreseen: the horizon is answered, and
   * nothing is booked further ahead.
   *
   * @param returnsPerSecond how many callers may come back in a second, above 0
   */
  book(priority: number, earliestMs: number, returnsPerSecond: number, horizonMs: number): number {
    const rank = Math.min(LEAST_URGENT, Math.max(MOST_URGENT, Math.round(priority)));
    const gapMs = 1_000 / returnsPerSecond;
    let atMs = earliestMs;
    for (const [other, latestMs] of this.latestMs) {
      if (other <= rank) atMs = Math.max(atMs, latestMs + gapMs);
    }
    atMs = Math.min(atMs, horizonMs);
    this.latestMs.set(rank, atMs);
    return atMs;
  }
}
