/**
 * Withdraws a request that the engine has not started before its model weights expire. The check
 * made when the request is sent is not enough: the queueing time at the engine is only an estimate.
 */
import type { Clock, Timer } from '../../runtime/clock.js';
import type { WeightVersions } from '../../state/routing/weight-versions.js';

/** Dependencies of a {@link RunStartDeadline}. */
export interface RunStartDeadlineParts {
  readonly versions: WeightVersions;
  readonly clock: Clock;
}

/**
 * Interval between checks; a newer weight version that is learned after the send can move the
 * deadline.
 */
const RECHECK_INTERVAL_MS = 200;

/** Enforces the latest start time of one sent request. */
export class RunStartDeadline {
  private timer: Timer | undefined;

  /**
   * @param version weight version that the engine is expected to run
   * @param onExpired called once, when the request may no longer start on these weights
   */
  constructor(
    private readonly model: string,
    private readonly version: number,
    private readonly parts: RunStartDeadlineParts,
    private readonly onExpired: () => void,
  ) {
    this.scheduleCheck();
  }

  /** Stops the checks, after the request has started or its send has ended. */
  cancel(): void {
    this.timer?.cancel();
  }

  private scheduleCheck(): void {
    const delayMs = Math.max(0, Math.min(this.remainingMs, RECHECK_INTERVAL_MS));
    this.timer = this.parts.clock.setTimer(delayMs, () => this.check());
  }

  /**
   * Runs only from the timer, never inside the constructor: the owner must hold the reference
   * before a send can expire.
   */
  private check(): void {
    if (this.remainingMs <= 0) this.onExpired();
    else this.scheduleCheck();
  }

  /** Time left for the request to start, as far as known, in milliseconds. */
  private get remainingMs(): number {
    const { versions, clock } = this.parts;
    const nowMs = clock.now();
    return (versions.lastStartMs(this.model, this.version, nowMs) ?? Infinity) - nowMs;
  }
}
