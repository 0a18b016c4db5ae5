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
    this.timer = this.clock.setTimer(timeoutMs, () => this.onTimeout('no-answer'));
  }

  /** Restarts the timeout for the next chunk of a stream. */
  restartStallTimeout(): void {
    this.cancel();
    this.timer = this.clock.setTimer(STALL_TIMEOUT_MS, () => this.onTimeout('stalled'));
  }

  cancel(): void {
    this.timer?.cancel();
    this.timer = undefined;
  }
}
