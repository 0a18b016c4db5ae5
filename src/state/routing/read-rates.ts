/** Decayed counters of how often the group's requests use a prompt part. Pure. */

/**
 * Time constant of the decay. A part's reads at one engine are reported every 1.5 s, so a shorter
 * constant would follow the reports instead of the requests.
 */
const DECAY_MS = 1_500;
const MILLISECONDS_PER_SECOND = 1_000;
/** Parts counted; the least recently used is dropped first. */
const MAXIMUM_PARTS = 8_192;

interface Counter {
  readonly count: number;
  readonly atMs: number;
}

/** Read rates by part key. */
export class ReadRates {
  private readonly counters = new Map<number, Counter>();

  record(partKey: number, reads: number, nowMs: number): void {
    const count = this.countAt(partKey, nowMs) + reads;
    this.counters.delete(partKey);
    this.counters.set(partKey, { count, atMs: nowMs });
    if (this.counters.size <= MAXIMUM_PARTS) return;
    const [oldest] = this.counters.keys();
    if (oldest !== undefined) this.counters.delete(oldest);
  }

  /** Reads per second. */
  perSecond(partKey: number, nowMs: number): number {
    return (this.countAt(partKey, nowMs) * MILLISECONDS_PER_SECOND) / DECAY_MS;
  }

  private countAt(partKey: number, nowMs: number): number {
    const counter = this.counters.get(partKey);
    if (!counter) return 0;
    return counter.count * Math.exp(-Math.max(0, nowMs - counter.atMs) / DECAY_MS);
  }
}
