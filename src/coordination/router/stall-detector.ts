/** Detects an attempt that makes no progress, even if its connection is open. */
import type { Clock, Timer } from '../../runtime/clock.js';

/** A started stream is considered stalled after this time without a token. */
export const STALL_TIMEOUT_MS = 4_000;

/** An attempt is considered stalled if it has no first token by then, even if it is queued. */
export const FIRST_TOKEN_TIMEOUT_MS = 12_000;

/** Progress timer for one attempt at a time. */
export class StallDetector {
  private timer: Timer | undefined;

  /** `isIdleExpected`: whether no progress is expected, e.g. because the caller reads slowly. */
  constructor(
    private readonly clock: Clock,
    private readonly isIdleExpected: () => boolean,
  ) {}

  /** Restarts the timer: `onStalled` runs unless this is called again within the limit. */
  expectWithin(limitMs: number, onStalled: () => void): void {
    this.stop();
    this.timer = this.clock.setTimer(limitMs, () => {
      if (this.isIdleExpected()) this.expectWithin(limitMs, onStalled);
      else onStalled();
    });
  }

  stop(): void {
    this.timer?.cancel();
    this.timer = undefined;
  }
}
