/**
 * Bounds when a signal of the operating system was sent. A process that is short of processor time
 * handles a signal late, while its sender counts from the moment at which it was sent.
 */
import { type Clock, type Timer, repeat } from './clock.js';

/**
 * Time after which a signal that was sent has reached the event loop if the process runs: as a suspended
 * process goes on, its other threads may take the signal a few iterations later.
 */
const DELIVERY_MS = 50;
/** Time between two checks, which adds to the bound while the process is not delayed. */
const CHECK_PERIOD_MS = 100;

/**
 * Remembers when the event loop last had no signal to handle. Monotonic time: a wall clock that is set is
 * no delay, and a suspended machine suspends the sender of its signals too.
 */
export class SignalTimes {
  private lastWithoutSignalMs: number;
  private readonly checks: Timer;

  constructor(private readonly clock: Clock) {
    this.lastWithoutSignalMs = clock.now();
    this.checks = repeat(clock, CHECK_PERIOD_MS, () => this.check());
  }

  /**
   * Longest time, in milliseconds, for which the signal that is handled now can have waited. Only
   * valid within the handler of a signal.
   */
  get longestDelayMs(): number {
    return this.clock.now() - this.lastWithoutSignalMs;
  }

  stop(): void {
    this.checks.cancel();
  }

  /** An immediate runs after the sockets, and signals, of its iteration. */
  private check(): void {
    const nowMs = this.clock.now();
    this.clock.setTimer(DELIVERY_MS, () =>
      setImmediate(() => {
        this.lastWithoutSignalMs = nowMs;
      }),
    );
  }
}
