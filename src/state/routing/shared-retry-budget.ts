/**
 * This router's share of a service's retry budget. All routers together may repeat a share of the
 * requests of a sliding window plus a fixed allowance, which is divided by the size of the group.
 */

/** Bounds of the budget. */
export interface RetryBudgetSettings {
  /** Repeats allowed for each request of the window. */
  readonly ratio: number;
  readonly windowMs: number;
  /** Repeats allowed besides, over all routers. */
  readonly allowance: number;
}

/** Part of the bounds that is used; the rest covers routers that restarted and forgot. */
const USED_SHARE = 0.6;

/** Counts requests and repeats of one service over a sliding window. */
export class SharedRetryBudget {
  private readonly requests: number[] = [];
  private readonly repeats: number[] = [];

  constructor(private readonly settings: RetryBudgetSettings) {}

  noteRequest(nowMs: number): void {
    this.requests.push(nowMs);
    this.expire(this.requests, nowMs);
  }

  /** Whether a repeat may be taken now. */
  canSpend(nowMs: number, groupSize: number): boolean {
    this.expire(this.requests, nowMs);
    this.expire(this.repeats, nowMs);
    const { ratio, allowance } = this.settings;
    const earned = ratio * this.requests.length;
    const limit = USED_SHARE * (earned + allowance / Math.max(1, groupSize));
    return this.repeats.length + 1 <= limit;
  }

  /** Takes one repeat; false where the share of this router is spent. */
  trySpend(nowMs: number, groupSize: number): boolean {
    if (!this.canSpend(nowMs, groupSize)) return false;
    this.repeats.push(nowMs);
    return true;
  }

  private expire(times: number[], nowMs: number): void {
    const oldestMs = nowMs - this.settings.windowMs;
    let expired = 0;
    while (expired < times.length && (times[expired] as number) <= oldestMs) expired += 1;
    if (expired > 0) times.splice(0, expired);
  }
}
