/**
 * Timeouts after which a request that is still in progress may be failed over to another engine.
 */
import type { Clock, Timer } from '../../runtime/clock.js';

/** Why a send was cancelled. */
export type SendTimeoutReason = 'no-answer' | 'stalled';

/** Response timeout of a repeatable request, as a multiple of its latency objective. */
const RESPONSE_TIMEOUT_FACTOR = 1.25;
const MINIMUM_RESPONSE_TIMEOUT_MS = 300;
/**
 * Pause in a resumable stream after which another engine is tried. A sound engine may be silent for
 * up to 2 s, and callers of streams wait for twice that.
 */
const STALL_TIMEOUT_MS = 2_200;

/** The timeout of the current send; at most one timer is active. */
export class SendTimeouts {
  private timer: Timer | undefined;

  constructor(
    private readonly clock: Clock,
    private readonly onTimeout: (reason: SendTimeoutReason) => void,
  ) {}

  /**
   * Starts the timeout for the response head, unless the request's deadline is earlier. Times in
   * milliseconds.
   */
  startResponseTimeout(objectiveMs: number, remainingMs: number): void {
    const timeoutMs = Math.max(MINIMUM_RESPONSE_TIMEOUT_MS, objectiveMs * RESPONSE_TIMEOUT_FACTOR);
    if (timeoutMs >= remainingMs) return;
    this.start(timeoutMs, 'no-answer');
  }

  /** Restarts the timeout for the next chunk of a stream. */
  restartStallTimeout(): void {
    this.cancel();
    this.start(STALL_TIMEOUT_MS, 'stalled');
  }

  private start(timeoutMs: number, reason: SendTimeoutReason): void {
    const timer = this.clock.setTimer(timeoutMs, () => {
      // Timers run before sockets are read: the response of a delayed router may have arrived.
      this.clock.afterReading(() => {
        if (this.timer === timer) this.onTimeout(reason);
      });
    });
    this.timer = timer;
  }

  cancel(): void {
    this.timer?.cancel();
    this.timer = undefined;
  }
}
