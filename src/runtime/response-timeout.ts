/** Timeouts for what another process sends. */
import { afterReading } from './after-reading.js';

/** A pending timeout. */
export interface ResponseTimeout {
  /** Prevents the callback. No effect after it ran. */
  cancel(): void;
}

/**
 * Calls back after `timeoutMs`, unless cancelled before or as the event loop reads its sockets. Timers
 * run before sockets are read, so that a process that was delayed would take a response that waits in its
 * socket for one that did not come.
 */
export function startResponseTimeout(timeoutMs: number, onTimeout: () => void): ResponseTimeout {
  let isCancelled = false;
  const timer = setTimeout(() => {
    afterReading(() => {
      if (!isCancelled) onTimeout();
    });
  }, timeoutMs);
  return {
    cancel: () => {
      isCancelled = true;
      clearTimeout(timer);
    },
  };
}
