/** Rate at which a service completes requests of this router, over the last seconds. Pure. */

/** Time constant of the moving average; a burst changes the rate within about a second. */
const AVERAGE_MS = 1_500;
/**
 * Assumed rate per second while nothing was completed recently; the same as for retries of rejected
 * callers.
 */
const INITIAL_PER_SECOND = 4;
/** The first completions are averaged as if they took at least this part of the average. */
const MINIMUM_OBSERVED_SHARE = 0.5;
/** An average of fewer completions is replaced by the initial rate. */
const MINIMUM_COMPLETIONS = 0.1;

/** Independent completions of this number are missing by chance in one of twenty gaps. */
const GAP_COMPLETIONS = 3;

/** Moving average of completions. */
export class ServiceRate {
  private weight = 0;
  private startedMs: number | undefined;
  private latestMs = -Infinity;

  noteCompleted(nowMs: number): void {
    this.startedMs ??= nowMs;
    this.weight = this.weightAt(nowMs) + 1;
    this.latestMs = nowMs;
  }

  /**
   * Completions per second; above 0. While requests wait, engines are full, so that completions are
   * expected: without any, the rate is at most what a gap of this length makes likely. Time since
   * the last completion in which none waited does not lower the rate, since it was limited by the
   * arrivals.
   *
   * @param waitingSinceMs since when requests have been waiting; undefined if the rate follows the
   * arrivals
   */
  perSecond(nowMs: number, waitingSinceMs?: number): number {
    if (waitingSinceMs === undefined) return this.averagePerSecond(nowMs, nowMs);
    const stalledMs = nowMs - Math.max(this.latestMs, waitingSinceMs);
    const limit = (GAP_COMPLETIONS * 1_000) / Math.max(1, stalledMs);
    return Math.min(limit, this.averagePerSecond(nowMs, this.latestMs + stalledMs));
  }

  /** Average at an earlier time or now, unless it has expired by now. */
  private averagePerSecond(nowMs: number, atMs: number): number {
    if (this.startedMs === undefined || this.weightAt(nowMs) < MINIMUM_COMPLETIONS) {
      return INITIAL_PER_SECOND;
    }
    const observedShare = 1 - Math.exp(-(atMs - this.startedMs) / AVERAGE_MS);
    const usedShare = Math.max(MINIMUM_OBSERVED_SHARE, observedShare);
    return (this.weightAt(atMs) * 1_000) / (AVERAGE_MS * usedShare);
  }

  /** Time since the last completion, in milliseconds; Infinity before the first. */
  ageMs(nowMs: number): number {
    return nowMs - this.latestMs;
  }

  private weightAt(nowMs: number): number {
    return this.weight === 0 ? 0 : this.weight * Math.exp(-(nowMs - this.latestMs) / AVERAGE_MS);
  }
}
