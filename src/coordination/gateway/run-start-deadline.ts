/**
 * Withdraws a send whose request has not begun to run by the time its engine's weights may no longer begin any.
 * The check at the send does not suffice: how long a request waits at its engine is only an estimate, and an
 * engine that works four to eight times slower than usual let requests begin 0.1 s after the bound.
 */
import type { Clock, Timer } from '../../runtime/clock.js';
import type { WeightVersions } from '../../state/routing/weight-versions.js';

/** What a watch reads. */
export interface RunStartDeadlineParts {
  readonly versions: WeightVersions;
  readonly clock: Clock;
}

/** A version heard of after the send may end its time: it is looked for this often, within the margin kept. */
const RECHECK_MS = 200;

/** The watch over one send, until its request has begun. */
export class RunStartDeadline {
  private timer: Timer | undefined;

  /**
   * @param version weights at the engine, as the send expects them
   * @param onExpired called once, when the request may not begin on them any more
   */
  constructor(
    private readonly model: string,
    private readonly version: number,
    private readonly parts: RunStartDeadlineParts,
    private readonly onExpired: () => void,
  ) {
    this.arm();
  }

  /** The request has begun, or the send is over. */
  cancel(): void {
    this.timer?.cancel();
  }

  private arm(): void {
    const waitMs = Math.max(0, Math.min(this.leftMs, RECHECK_MS));
    this.timer = this.parts.clock.setTimer(waitMs, () => this.check());
  }

  /** Never called while the send is made: its owner must know it before it can end. */
  private check(): void {
    if (this.leftMs <= 0) this.onExpired();
    else this.arm();
  }

  /** Time in which the request may still begin, as far as is known now, in milliseconds. */
  private get leftMs(): number {
    const { versions, clock } = this.parts;
    const nowMs = clock.now();
    return (versions.lastBeginMs(this.model, this.version, nowMs) ?? Infinity) - nowMs;
  }
}
