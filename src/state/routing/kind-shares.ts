/**
 * Served shares of the requests of each urgency. An urgent request with a short objective would be
 * rejected for an expected wait that a less urgent one with a long objective can afford. Pure.
 */

interface KindCount {
  offered: number;
  served: number;
  /** Monotonic time of the latest offered request, in milliseconds. */
  latestMs: number;
}

/** Offered requests from which on all counts are halved, so that the shares follow the load. */
const MAXIMUM_OFFERED = 200;
/** Kinds with fewer requests have no meaningful share. */
const MINIMUM_OFFERED = 10;
/** Tolerated difference; a twentieth is promised. */
const TOLERANCE = 0.02;

/**
 * Time without requests after which a kind is not compared with others any more. No request waits
 * longer in a queue, so none of that kind can be preferred then.
 */
const EXPIRY_MS = 10_000;

/** Served shares by priority; 0 is the most urgent. */
export class KindShares {
  private readonly kinds = new Map<number, KindCount>();

  noteOffered(priority: number, nowMs: number): void {
    const kind = this.kindOf(priority);
    kind.offered += 1;
    kind.latestMs = nowMs;
    if (kind.offered < MAXIMUM_OFFERED) return;
    kind.offered /= 2;
    kind.served /= 2;
  }

  noteServed(priority: number): void {
    this.kindOf(priority).served += 1;
  }

  /** Whether a less urgent kind is served more often. */
  isDisadvantaged(priority: number, nowMs: number): boolean {
    const own = this.kinds.get(priority);
    if (!own || own.offered < MINIMUM_OFFERED) return false;
    const ownShare = own.served / own.offered;
    return [...this.kinds].some(
      ([other, { offered, served, latestMs }]) =>
        other > priority &&
        nowMs - latestMs <= EXPIRY_MS &&
        offered >= MINIMUM_OFFERED &&
        served / offered > ownShare + TOLERANCE,
    );
  }

  private kindOf(priority: number): KindCount {
    let kind = this.kinds.get(priority);
    if (!kind) {
      kind = { offered: 0, served: 0, latestMs: -Infinity };
      this.kinds.set(priority, kind);
    }
    return kind;
  }
}
