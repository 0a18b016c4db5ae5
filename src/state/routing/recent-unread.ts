/**
 * Moving average over time of the prompt tokens queued at each engine. It shows which engines often
 * receive long prompts, also while none is queued. Pure.
 */

/** Time constant of the average: several streams long, and far below the life of a hot subject. */
const AVERAGING_MS = 2_000;
/** Minimum time between two samples; load reports are no more frequent. */
const SAMPLE_PERIOD_MS = 100;
/** Averages below this are dropped. */
const NEGLIGIBLE_TOKENS = 1;

/** Averages by engine. */
export class RecentUnread {
  private readonly means = new Map<string, number>();
  private sampledMs = -Infinity;

  /** Mean of the unread tokens at an engine over about the last two seconds. */
  at(engineId: string): number {
    return this.means.get(engineId) ?? 0;
  }

  /** Whether a sample is due. */
  isDue(nowMs: number): boolean {
    return nowMs - this.sampledMs >= SAMPLE_PERIOD_MS;
  }

  /** Adds the current values of all engines that have unread tokens. */
  sample(unreadTokens: ReadonlyMap<string, number>, nowMs: number): void {
    const weight = 1 - Math.exp(-(nowMs - this.sampledMs) / AVERAGING_MS);
    this.sampledMs = nowMs;
    for (const [engineId, mean] of this.means) {
      if (unreadTokens.has(engineId)) continue;
      const next = mean * (1 - weight);
      if (next < NEGLIGIBLE_TOKENS) this.means.delete(engineId);
      else this.means.set(engineId, next);
    }
    for (const [engineId, tokens] of unreadTokens) {
      const mean = this.at(engineId);
      this.means.set(engineId, mean + weight * (tokens - mean));
    }
  }
}
