/** A rate as an exponentially decaying sum. Pure. */

const MILLISECONDS_PER_SECOND = 1_000;

/** Amounts per second, the recent ones weighted most. */
export class DecayingRate {
  private sum = 0;
  private updatedMs = -Infinity;

  /** @param periodMs time constant of the decay */
  constructor(private readonly periodMs: number) {}

  add(amount: number, nowMs: number): void {
    this.sum = this.decayed(nowMs) + amount;
    this.updatedMs = nowMs;
  }

  perSecond(nowMs: number): number {
    return (this.decayed(nowMs) * MILLISECONDS_PER_SECOND) / this.periodMs;
  }

  /** Time since the last amount; Infinity before the first. */
  idleMs(nowMs: number): number {
    return nowMs - this.updatedMs;
  }

  private decayed(nowMs: number): number {
    if (this.sum === 0) return 0;
    return this.sum * Math.exp(-Math.max(0, nowMs - this.updatedMs) / this.periodMs);
  }
}
