/** Notices an attempt that shows no progress for too long, though its connection stands. */
import type { Clock, Timer } from '../../runtime/clock.js';

/** A stream that has begun and shows no token for so long is taken for lost. */
export const STALL_LIMIT_MS = 4_000;

/** An engine that has not computed a prompt by then is left, queue or not. */
export const FIRST_TOKEN_LIMIT_MS = 12_000;

/** Watches one attempt at a time. */
export class StallWatch {
  private timer: Timer | undefined;

  /** `isExcused`: progress is not to be expected now, since the caller reads slowly. */
  constructor(
    private readonly clock: Clock,
    private readonly isExcused: () => boolean,
  ) {}

  /** Starts anew: `onStalled` runs unless this is called again within the limit. */
  expectWithin(limitMs: number, onStalled: () => void): void {
    this.stop();
    this.timer = this.clock.setTimer(limitMs, () => {
      if (this.isExcused()) this.expectWithin(limitMs, onStalled);
      else onStalled();
    });
  }

  stop(): void {
    this.timer?.cancel();
    this.timer = undefined;
  }
}
