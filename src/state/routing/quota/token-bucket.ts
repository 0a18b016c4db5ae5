/** A bucket that fills at a rate, and may be overdrawn by what was used without being asked for. Pure. */

const MILLISECONDS_PER_SECOND = 1_000;

/** Times in milliseconds, levels in the units of the limit. */
export class TokenBucket {
  private levelAtUpdate: number;
  private updatedMs: number;

  constructor(
    private ratePerSecond: number,
    private capacity: number,
    initialLevel: number,
    nowMs: number,
  ) {
    this.levelAtUpdate = Math.min(capacity, initialLevel);
    this.updatedMs = nowMs;
  }

  /** Below 0 where more was used than the bucket held. */
  level(nowMs: number): number {
    this.fill(nowMs);
    return this.levelAtUpdate;
  }

  /** The largest level. */
  get size(): number {
    return this.capacity;
  }

  /** Takes what was used, whether the bucket held it or not; gives back where `amount` is negative. */
  take(amount: number, nowMs: number): void {
    this.fill(nowMs);
    this.levelAtUpdate = Math.min(this.capacity, this.levelAtUpdate - amount);
  }

  /** Time until the bucket holds `amount`; Infinity where it never will. */
  millisecondsUntil(amount: number, nowMs: number): number {
    if (amount > this.capacity) return Infinity;
    const missing = amount - this.level(nowMs);
    return missing <= 0 ? 0 : (missing / this.ratePerSecond) * MILLISECONDS_PER_SECOND;
  }

  /** Changes rate and size from now on; what is above the new size is lost. */
  resize(ratePerSecond: number, capacity: number, nowMs: number): void {
    this.fill(nowMs);
    this.ratePerSecond = ratePerSecond;
    this.capacity = capacity;
    this.levelAtUpdate = Math.min(capacity, this.levelAtUpdate);
  }

  /** The level is no more than this from now on. */
  lowerTo(level: number, nowMs: number): void {
    this.fill(nowMs);
    this.levelAtUpdate = Math.min(level, this.levelAtUpdate);
  }

  private fill(nowMs: number): void {
    const gained = ((nowMs - this.updatedMs) * this.ratePerSecond) / MILLISECONDS_PER_SECOND;
    if (gained <= 0) return;
    this.levelAtUpdate = Math.min(this.capacity, this.levelAtUpdate + gained);
    this.updatedMs = nowMs;
  }
}
