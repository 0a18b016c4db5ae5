/**
 * An instant on a clock that counts suspensions of the machine. A type of its own, so that it can't
 * be compared with monotonic time, which doesn't advance while the machine is suspended.
 */
export class ElapsedInstant {
  /** Earlier than every other instant. */
  static readonly never = new ElapsedInstant(-Infinity);

  constructor(private readonly ms: number) {}

  /** Milliseconds since `earlier`; Infinity if that is {@link never}. */
  since(earlier: ElapsedInstant): number {
    return earlier.ms === -Infinity ? Infinity : this.ms - earlier.ms;
  }

  /** The instant `durationMs` later. */
  plus(durationMs: number): ElapsedInstant {
    return new ElapsedInstant(this.ms + durationMs);
  }

  isBefore(other: ElapsedInstant): boolean {
    return this.ms < other.ms;
  }

  /** The later of the two instants. */
  later(other: ElapsedInstant): ElapsedInstant {
    return this.isBefore(other) ? other : this;
  }
}
