/**
 * Records when the store was unavailable to this router. Deadlines that count from a write of an
 * operator are extended by outages, as no router can act on the write meanwhile. Pure.
 */

interface Outage {
  readonly startedMs: number;
  /** Undefined while the outage lasts. */
  endedMs: number | undefined;
}

/** Older outages are dropped; no deadline reaches back that far. */
const MAXIMUM_OUTAGES = 32;
/** Maximum delay until a recovery is detected, due to the interval between calls. */
const DETECTION_DELAY_MS = 750;

/** The recent outages of the store. */
export class StoreOutages {
  private outages: Outage[] = [];

  /** Records that neither the store nor another router on its behalf responded to a call. */
  recordFailure(nowMs: number): void {
    if (this.current) return;
    this.outages.push({ startedMs: nowMs, endedMs: undefined });
    if (this.outages.length > MAXIMUM_OUTAGES) this.outages.shift();
  }

  /** Records a response of the store, which ends an outage. */
  recordResponse(nowMs: number): void {
    const { current } = this;
    if (current) current.endedMs = nowMs;
  }

  /** Lower bound of the outage time between `fromMs` and `toMs`, in milliseconds. */
  outageMsBetween(fromMs: number, toMs: number): number {
    const overlapsMs = this.outages.map(({ startedMs, endedMs }) => {
      const overlapMs = Math.min(toMs, endedMs ?? toMs) - Math.max(fromMs, startedMs);
      return Math.max(0, overlapMs - DETECTION_DELAY_MS);
    });
    return overlapsMs.reduce((sum, overlapMs) => sum + overlapMs, 0);
  }

  /** Duration of the current outage, in milliseconds; 0 while the store is available. */
  currentOutageMs(nowMs: number): number {
    const { current } = this;
    return current ? nowMs - current.startedMs : 0;
  }

  private get current(): Outage | undefined {
    const last = this.outages.at(-1);
    return last && last.endedMs === undefined ? last : undefined;
  }
}
