/**
 * This router's share of the retry budget of a service. The budget of all routers together is a
 * ratio of the requests in a sliding window, plus a fixed allowance that is divided by the size of
 * the group.
 */

/** Limits of the budget. */
export interface RetryBudgetSettings {
  /** Retries allowed per request in the window. */
  readonly ratio: number;
  readonly windowMs: number;
  /** Additional retries allowed for all routers together. */
  readonly allowance: number;
}

/** Used share of the budget; the rest covers routers that lost their counts in a restart. */
const USED_SHARE = 0.6;

/** Counts requests and retries of one service over a sliding window. */
export class SharedRetryBudget {
  private readonly requests: number[] = [];
  private readonly retries: number[] = [];

  constructor(private readonly settings: RetryBudgetSettings) {}

  noteRequest(nowMs: number): void {
    this.requests.push(nowMs);
    this.expire(this.requests, nowMs);
  }

  /**
   * Whether a retry is within the budget.
   *
   * @param share part of the budget that may be used up, above 0 to 1
   */
  canSpend(nowMs: number, groupSize: number, share = 1): boolean {
    this.expire(this.requests, nowMs);
    this.expire(this.retries, nowMs);
    const { ratio, allowance } = this.settings;
    const earned = ratio * this.requests.length;
    const limit = USED_SHARE * (earned + allowance / Math.max(1, groupSize));
    return this.retries.length + 1 <= share * limit;
  }

  /** Spends one retry; returns false if the share of this router is used up. */
  trySpend(nowMs: number, groupSize: number): boolean {
    if (!this.canSpend(nowMs, groupSize)) return false;
    this.retries.push(nowMs);
    return true;
  }

  private expire(times: number[], nowMs: number): void {
    const oldestMs = nowMs - this.settings.windowMs;
    let expired = 0;
    while (expired < times.length && (times[expired] as number) <= oldestMs) expired += 1;
    if (expired > 0) times.splice(0, expired);
  }
}
