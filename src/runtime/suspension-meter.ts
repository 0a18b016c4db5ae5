/**
 * Measures the time in which the machine was suspended. A suspension stops the monotonic clock and
 * all timers, but not the wall clock, so it is detected by the wall clock running ahead of the
 * monotonic clock.
 *
 * Setting the wall clock forward looks the same, and Node.js has no third clock to distinguish the
 * two: `os.uptime` may be shared between containers. So a forward step counts as elapsed time. This
 * is safe, because proofs and leases then expire early and are renewed by one request. A backward
 * step is ignored.
 */

/** The two clocks, in milliseconds. */
export interface TimeSources {
  /** Monotonic time; doesn't advance while the machine is suspended. */
  monotonicMs(): number;
  /** Wall-clock time; advances during a suspension, and steps when it is set. */
  wallMs(): number;
}

/** A detected jump of the wall clock relative to the monotonic clock. */
export interface ClockJump {
  /** How far the wall clock moved ahead of the monotonic clock; negative if it fell behind. */
  readonly aheadMs: number;
}

/** Smaller differences are clock drift; the expiry of configuration proofs has a larger margin. */
export const MINIMUM_JUMP_MS = 200;

/** Measures elapsed time, including suspensions, in one process. */
export class SuspensionMeter {
  private aheadMs: number;
  private suspendedMs = 0;

  /** @param onJump called within {@link elapsedMs}, so it must only record the jump */
  constructor(
    private readonly sources: TimeSources,
    private readonly onJump: (jump: ClockJump) => void,
  ) {
    this.aheadMs = sources.wallMs() - sources.monotonicMs();
  }

  /** Monotonic time plus the time in which the machine may have been suspended; never goes back. */
  elapsedMs(): number {
    const monotonicMs = this.sources.monotonicMs();
    const jumpMs = this.sources.wallMs() - monotonicMs - this.aheadMs;
    if (Math.abs(jumpMs) >= MINIMUM_JUMP_MS) {
      this.aheadMs += jumpMs;
      this.suspendedMs += Math.max(0, jumpMs);
      this.onJump({ aheadMs: jumpMs });
    }
    return monotonicMs + this.suspendedMs;
  }
}
