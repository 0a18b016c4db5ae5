/**
 * A moment on the clock that counts suspensions of the machine. It has its own type, so that it can't be
 * compared with a moment on the steady clock, which stands still while the machine is suspended.
 */
export class ElapsedInstant {
  /** Earlier than every moment. */
  static readonly never = new ElapsedInstant(-Infinity);

  constructor(private readonly ms: number) {}

  /** Milliseconds that passed since `earlier`; Infinity where that is {@link never}. */
  since(earlier: ElapsedInstant): number {
    return earlier.ms === -Infinity ? Infinity : this.ms - earlier.ms;
  }

  /** The moment so many milliseconds later. */
  plus(durationMs: number): ElapsedInstant {
    return new ElapsedInstant(this.ms + durationMs);
  }

  isBefore(other: ElapsedInstant): boolean {
    return this.ms < other.ms;
  }

  /** The later one of two. */
  latest(other: ElapsedInstant): ElapsedInstant {
    return this.isBefore(other) ? other : this;
  }
}
