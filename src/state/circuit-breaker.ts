/** Keeps work away from a back end that fails, and lets single probes find out when it is back. */

/** State of a breaker. */
export enum BreakerState {
  /** Work passes. */
  Closed = 'closed',
  /** No work passes until the pause is over. */
  Open = 'open',
  /** One probe is under way; its result decides. */
  HalfOpen = 'half-open',
}

const FAILURES_TO_OPEN = 3;
const FIRST_PAUSE_MS = 500;
const LONGEST_PAUSE_MS = 8_000;

/** One breaker for one back end. Time is given with each call. */
export class CircuitBreaker {
  private current = BreakerState.Closed;
  private failures = 0;
  private pauseMs = FIRST_PAUSE_MS;
  private openUntilMs = 0;
  private probeDeadlineMs = 0;

  get state(): BreakerState {
    return this.current;
  }

  /** Whether work may be sent now. Does not change anything. */
  mayPass(nowMs: number): boolean {
    if (this.current === BreakerState.Closed) return true;
    if (this.current === BreakerState.Open) return nowMs >= this.openUntilMs;
    // A probe whose result never came must not shut the back end out for good.
    return nowMs >= this.probeDeadlineMs;
  }

  /** Notes that work was sent. After the pause this is the probe. */
  onSent(nowMs: number): void {
    if (this.current === BreakerState.Closed) return;
    this.current = BreakerState.HalfOpen;
    this.probeDeadlineMs = nowMs + this.pauseMs;
  }

  /** A success proves the back end, whatever the state was. */
  onSuccess(): void {
    this.current = BreakerState.Closed;
    this.failures = 0;
    this.pauseMs = FIRST_PAUSE_MS;
  }

  /** A failed probe opens again with a doubled pause; failures in a row open a closed breaker. */
  onFailure(nowMs: number): void {
    this.failures += 1;
    if (this.current === BreakerState.HalfOpen) {
      this.pauseMs = Math.min(LONGEST_PAUSE_MS, this.pauseMs * 2);
    } else if (this.failures < FAILURES_TO_OPEN) {
      return;
    }
    this.current = BreakerState.Open;
    this.openUntilMs = nowMs + this.pauseMs;
  }
}
