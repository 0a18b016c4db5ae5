/** Time as seen by a node. Injected, so that tests and experiments drive it. */
import { ElapsedInstant } from './elapsed-instant.js';
import { type ClockJump, SuspensionMeter } from './suspension-meter.js';

/** A pending callback. */
export interface Timer {
  /** Prevents the callback; harmless after it ran. */
  cancel(): void;
}

/** Time and timers, in milliseconds. */
export interface Clock {
  /**
   * Steady time since an arbitrary start; never goes back, and stands still while the machine is
   * suspended, as timers do. For durations, and for waiting until others have lost a right.
   */
  now(): number;
  /**
   * The moment on the clock that counts suspensions. For what this process may still rely on: proofs of
   * what is current, and its own leases.
   */
  elapsed(): ElapsedInstant;
  /** Milliseconds since 1970, as far as this machine's clock is right; may step. */
  wallNow(): number;
  /** Runs the callback once after `delayMs`. */
  setTimer(delayMs: number, callback: () => void): Timer;
}

/** The clock of the machine, from `performance.now`, `Date.now` and the event loop's timers. */
export class SystemClock implements Clock {
  /** Called soon after the machine was suspended, or its time of day was set. */
  onJump: (jump: ClockJump) => void = () => undefined;
  private readonly meter = new SuspensionMeter(
    { steadyMs: () => performance.now(), wallMs: () => Date.now() },
    (jump) => setImmediate(() => this.onJump(jump)),
  );

  now(): number {
    return performance.now();
  }

  elapsed(): ElapsedInstant {
    return new ElapsedInstant(this.meter.passedMs());
  }

  wallNow(): number {
    return Date.now();
  }

  setTimer(delayMs: number, callback: () => void): Timer {
    const handle = setTimeout(callback, Math.max(0, delayMs));
    return { cancel: () => clearTimeout(handle) };
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
