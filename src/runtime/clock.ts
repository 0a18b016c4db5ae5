/** Clock interface of a node. Injected, so that tests and experiments control time. */
import { afterReading } from './after-reading.js';
import { ElapsedInstant } from './elapsed-instant.js';
import { type ClockJump, SuspensionMeter } from './suspension-meter.js';

/** A pending callback. */
export interface Timer {
  /** Prevents the callback. No effect after it ran. */
  cancel(): void;
}

/** Time and timers, in milliseconds. */
export interface Clock {
  /**
   * Monotonic time since an arbitrary start. Like timers, it doesn't advance while the machine is
   * suspended. For durations, and for waiting until the leases of other nodes have expired.
   */
  now(): number;
  /**
   * Time on a clock that also counts suspensions. For the expiry of proofs of current state and of
   * the leases of this process.
   */
  elapsed(): ElapsedInstant;
  /** Wall-clock time in Unix milliseconds; may step. */
  wallNow(): number;
  /** Runs the callback once after `delayMs`. */
  setTimer(delayMs: number, callback: () => void): Timer;
  /**
   * Calls back after what had arrived in the sockets before this call has been read. Timers run before
   * sockets are read: one that ends a wait for other processes uses it once it has fired. At once in a
   * simulation, where nothing waits in sockets.
   */
  afterReading(callback: () => void): void;
}

/** The system clock, based on `performance.now`, `Date.now` and timers of the event loop. */
export class SystemClock implements Clock {
  /** Called after the machine was suspended or its wall clock was set. */
  onJump: (jump: ClockJump) => void = () => undefined;
  private readonly meter = new SuspensionMeter(
    { monotonicMs: () => performance.now(), wallMs: () => Date.now() },
    (jump) => setImmediate(() => this.onJump(jump)),
  );

  now(): number {
    return performance.now();
  }

  elapsed(): ElapsedInstant {
    return new ElapsedInstant(this.meter.elapsedMs());
  }

  wallNow(): number {
    return Date.now();
  }

  setTimer(delayMs: number, callback: () => void): Timer {
    const handle = setTimeout(callback, Math.max(0, delayMs));
    return { cancel: () => clearTimeout(handle) };
  }

  afterReading(callback: () => void): void {
    afterReading(callback);
  }
}

/** Resolves after `delayMs` on the given clock. */
export function sleep(clock: Clock, delayMs: number): Promise<void> {
  return new Promise((resolve) => {
    clock.setTimer(delayMs, resolve);
  });
}

/** Runs the callback every `periodMs` until the returned timer is cancelled. */
export function repeat(clock: Clock, periodMs: number, callback: () => void): Timer {
  let cancelled = false;
  let pending: Timer;
  const schedule = (): void => {
    pending = clock.setTimer(periodMs, () => {
      callback();
      if (!cancelled) schedule();
    });
  };
  schedule();
  return {
    cancel: () => {
      cancelled = true;
      pending.cancel();
    },
  };
}
