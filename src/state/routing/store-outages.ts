/**
 * When this router could not reach the store. Bounds that count from what an operator wrote stand still
 * meanwhile: nobody can act on it, and the platform does not count that time either. Pure.
 */

interface Outage {
  readonly beganMs: number;
  /** Undefined while it lasts. */
  endedMs: number | undefined;
}

/** Outages remembered; older ones matter to no bound. */
const MAXIMUM_OUTAGES = 32;
/** The store is found again this much later than it came back, by the pause between calls. */
const DETECTION_MS = 750;

/** The outages of the last minutes. */
export class StoreOutages {
  private outages: Outage[] = [];

  /** A call was not answered, nor could another router answer in its place. */
  noteFailure(nowMs: number): void {
    if (this.current) return;
    this.outages.push({ beganMs: nowMs, endedMs: undefined });
    if (this.outages.length > MAXIMUM_OUTAGES) this.outages.shift();
  }

  noteAnswer(nowMs: number): void {
    const { current } = this;
    if (current) current.endedMs = nowMs;
  }

  /** Time within a span in which the store was out, in milliseconds; at most the truth. */
  within(fromMs: number, toMs: number): number {
    const spans = this.outages.map(({ beganMs, endedMs }) => {
      const spanMs = Math.min(toMs, endedMs ?? toMs) - Math.max(fromMs, beganMs);
      return Math.max(0, spanMs - DETECTION_MS);
    });
    return spans.reduce((sum, spanMs) => sum + spanMs, 0);
  }

  /** For how long the store has been out of reach; 0 while it is not. */
  outForMs(nowMs: number): number {
    const { current } = this;
    return current ? nowMs - current.beganMs : 0;
  }

  private get current(): Outage | undefined {
    const last = this.outages.at(-1);
    return last && last.endedMs === undefined ? last : undefined;
  }
}
