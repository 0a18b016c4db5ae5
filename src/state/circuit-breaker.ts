/** Circuit breaker: stops work to a failing back end and probes whether it has recovered. */

/** State of a breaker. */
export enum BreakerState {
  /** Work is sent. */
  Closed = 'closed',
  /** No work is sent until the pause ends. */
  Open = 'open',
  /** One probe is in progress; its result closes or reopens the breaker. */
  HalfOpen = 'half-open',
}

const FAILURES_TO_OPEN = 3;
const FIRST_PAUSE_MS = 500;
const MAXIMUM_PAUSE_MS = 8_000;

/** Breaker of one back end. */
export class CircuitBreaker {
  private current = BreakerState.Closed;
  private failures = 0;
  private pauseMs = FIRST_PAUSE_MS;
  private openUntilMs = 0;
  private probeDeadlineMs = 0;

  get state(): BreakerState {
    return this.current;
  }

  /** Whether work may be sent now. Does not change the state. */
  mayPass(nowMs: number): boolean {
    if (this.current === BreakerState.Closed) return true;
    if (this.current === BreakerState.Open) return nowMs >= this.openUntilMs;
    // Allows another probe if the result of the last one was lost.
    return nowMs >= this.probeDeadlineMs;
  }

  /** Records that work was sent; after a pause it is the probe. */
  onSent(nowMs: number): void {
    if (this.current === BreakerState.Closed) return;
    this.current = BreakerState.HalfOpen;
    this.probeDeadlineMs = nowMs + this.pauseMs;
  }

  /** Closes the breaker and resets the pause, in any state. */
  onSuccess(): void {
    this.current = BreakerState.Closed;
    this.failures = 0;
    this.pauseMs = FIRST_PAUSE_MS;
  }

  /** Opens the breaker after repeated failures, or with a doubled pause after a failed probe. */
  onFailure(nowMs: number): void {
    this.failures += 1;
    if (this.current === BreakerState.HalfOpen) {
      this.pauseMs = Math.min(MAXIMUM_PAUSE_MS, this.pauseMs * 2);
    } else if (this.failures < FAILURES_TO_OPEN) {
      return;
    }
    this.current = BreakerState.Open;
    this.openUntilMs = nowMs + this.pauseMs;
  }
}
