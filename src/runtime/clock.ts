/** Time as seen by a node. Injected, so that tests and experiments drive it. */

/** A pending callback. */
export interface Timer {
  /** Prevents the callback; harmless after it ran. */
  cancel(): void;
}

/** Monotonic time and timers, in milliseconds. */
export interface Clock {
  /** Milliseconds since an arbitrary start; never goes back. */
  now(): number;
  /** Milliseconds since 1970, as far as this machine's clock is right. */
  wallNow(): number;
  /** Runs the callback once after `delayMs`. */
  setTimer(delayMs: number, callback: () => void): Timer;
}

/** The clock of the machine, from `performance.now` and the event loop's timers. */
export class SystemClock implements Clock {
  now(): number {
    return performance.now();
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
