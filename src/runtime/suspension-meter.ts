/**
 * Counts the time in which the machine was suspended. A suspension stops the steady clock and every timer,
 * while the time of day goes on: what shows it is that the time of day has run ahead of the steady clock.
 *
 * A time of day that was set forward looks the same, and a Node.js process has no third clock to tell them
 * apart: `os.uptime` reads a file that some machines share with others. So a step forward counts as time
 * that may have passed. What is decided by that time errs to the safe side: trust ends early and is
 * renewed by one call. A step backward never takes time back.
 */

/** The two clocks, in milliseconds. */
export interface TimeSources {
  /** Never steps; stands still while the machine is suspended. */
  steadyMs(): number;
  /** Goes on in a suspension, and steps when it is set. */
  wallMs(): number;
}

/** A jump that was noticed. */
export interface ClockJump {
  /** By how much the time of day ran ahead of the steady clock, or fell behind it where negative. */
  readonly aheadMs: number;
}

/**
 * Smaller differences are the two clocks' own rates. A proof of the configuration keeps 8% of its bound of
 * some seconds in hand, which is more.
 */
export const SHORTEST_JUMP_MS = 200;

/** The meter of one process. */
export class SuspensionMeter {
  private aheadMs: number;
  private countedMs = 0;

  /** @param onJump called within {@link passedMs}, so it must only take note */
  constructor(
    private readonly sources: TimeSources,
    private readonly onJump: (jump: ClockJump) => void,
  ) {
    this.aheadMs = sources.wallMs() - sources.steadyMs();
  }

  /** Steady time and the time in which the machine may have been suspended; never goes back. */
  passedMs(): number {
    const steadyMs = this.sources.steadyMs();
    const jumpMs = this.sources.wallMs() - steadyMs - this.aheadMs;
    if (Math.abs(jumpMs) >= SHORTEST_JUMP_MS) {
      this.aheadMs += jumpMs;
      this.countedMs += Math.max(0, jumpMs);
      this.onJump({ aheadMs: jumpMs });
    }
    return steadyMs + this.countedMs;
  }
}
