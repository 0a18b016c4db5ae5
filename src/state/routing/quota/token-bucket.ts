/** A token bucket that may be overdrawn by use that is reported afterwards. Pure. */

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

  /** Current level; negative if the bucket is overdrawn. */
  level(nowMs: number): number {
    this.fill(nowMs);
    return this.levelAtUpdate;
  }

  /** Maximum level. */
  get size(): number {
    return this.capacity;
  }

  /** Withdraws an amount unconditionally; a negative amount is a refund. */
  take(amount: number, nowMs: number): void {
    this.fill(nowMs);
    this.levelAtUpdate = Math.min(this.capacity, this.levelAtUpdate - amount);
  }

  /** Time until the bucket holds `amount`; Infinity if that exceeds its capacity. */
  millisecondsUntil(amount: number, nowMs: number): number {
    if (amount > this.capacity) return Infinity;
    const missing = amount - this.level(nowMs);
    return missing <= 0 ? 0 : (missing / this.ratePerSecond) * MILLISECONDS_PER_SECOND;
  }

  /** Changes rate and capacity; a level above the new capacity is lowered to it. */
  resize(ratePerSecond: number, capacity: number, nowMs: number): void {
    this.fill(nowMs);
    this.ratePerSecond = ratePerSecond;
    this.capacity = capacity;
    this.levelAtUpdate = Math.min(capacity, this.levelAtUpdate);
  }

  /** Lowers the level to at most `level`. */
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
