/**
 * Decides which requests a stopping router still begins. A response that the router can't finish costs
 * its caller more than a rejection, which another router can serve at once.
 */
import type { Clock } from '../../runtime/clock.js';

/** When a stopping router ends. Monotonic times of its clock, in milliseconds. */
export interface ShutdownSchedule {
  /** Requests that arrive later are begun only if their deadline is before the end. */
  readonly acceptUntilMs: number;
  /** From then on, requests that still run may be ended. */
  readonly endMs: number;
}

/** The times of a request that decide whether it is begun. Monotonic, in milliseconds. */
export interface RequestTimes {
  readonly arrivedMs: number;
  readonly deadlineMs: number;
}

/**
 * Share of the remaining time within which a response must be expected to end: lengths vary, and so
 * does the pace.
 */
const MAXIMUM_SHARE_OF_REMAINING_TIME = 0.75;
const ENDED: ShutdownSchedule = { acceptUntilMs: -Infinity, endMs: -Infinity };

/** The planned end of one router. */
export class Shutdown {
  private schedule: ShutdownSchedule | undefined;

  constructor(private readonly clock: Pick<Clock, 'now'>) {}

  /** Sets when the router ends. */
  begin(schedule: ShutdownSchedule): void {
    this.schedule = schedule;
  }

  get isPlanned(): boolean {
    return this.schedule !== undefined;
  }

  /** From now on no request is begun. */
  end(): void {
    this.schedule = ENDED;
  }

  /** Whether a request may be begun at all: it arrived early enough, or its deadline is before the end. */
  admits({ arrivedMs, deadlineMs }: RequestTimes): boolean {
    const { schedule } = this;
    if (!schedule || deadlineMs <= schedule.endMs) return true;
    return arrivedMs <= schedule.acceptUntilMs && this.clock.now() < schedule.endMs;
  }

  /**
   * Whether the response to a request may be complete before the end.
   *
   * @param expectedMs returns the expected time from now to the end of the response, in milliseconds
   */
  allows(times: RequestTimes, expectedMs: () => number): boolean {
    const { schedule } = this;
    if (!schedule || times.deadlineMs <= schedule.endMs) return true;
    if (!this.admits(times)) return false;
    const remainingMs = schedule.endMs - this.clock.now();
    return expectedMs() <= remainingMs * MAXIMUM_SHARE_OF_REMAINING_TIME;
  }
}
