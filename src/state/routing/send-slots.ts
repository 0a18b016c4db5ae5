/**
 * The schedule by which routers share the requests a second that an engine takes from all of them together. Pure.
 *
 * Turns come at the engine's rate by the time of day, and all routers reckon the same owner for each: the one whose
 * part of the line from 0 to 1 holds the turn's point. The points spread evenly, so that each router's turns do, in
 * proportion to its part. No message is needed, and a router that is cut off or has just started uses no more than its
 * part of what it knows. A turn that its owner has no request for lapses after a while: kept, all of them would be used
 * at once by a burst.
 *
 * Load pattern: engines in need name limits of about a request a second each, before groups of 3 to 195 routers that
 * would send three times as many. With this schedule the fullest 4 s held 0.80 of what is tolerated, and 0.88 to 1.2 of
 * the limit was used; with a bucket in each router up to 3.1 of what is tolerated, or nothing at all (simulated).
 */

/** This router's part of the line from 0 to 1; the parts of a group do not overlap. */
export interface SlotInterval {
  readonly from: number;
  readonly to: number;
}

/** What a router decides its turns by. */
export interface SlotView {
  /** Unix milliseconds; routers may differ by some 100 ms, which moves their turns by as much. */
  readonly wallMs: number;
  /** Undefined: no turn is this router's, since it leaves or does not know the group yet. */
  readonly interval: SlotInterval | undefined;
}

/** Each next point lies this far on, modulo 1: the golden ratio spreads any number of them most evenly. */
const POINT_STEP = (Math.sqrt(5) - 1) / 2;
/** A turn may be used for as long as this many more come. */
const KEPT_TURNS = 2;
/**
 * And for this long in any case. Together not more than the turns of 5 s, and two, fall into any 4 s: the tolerance is
 * half as many again as the limit allows in 4 s, and five.
 */
const KEPT_MS = 1_000;
/** An engine that takes nothing is tried now and then all the same, since only its answers show that this is over. */
const LEAST_PER_SECOND = 0.2;
/** A limit this high holds nothing back. */
const UNLIMITED_PER_SECOND = 1_000;
/** Turns are looked for no further ahead. */
const HORIZON_MS = 10_000;
const MILLISECONDS_PER_SECOND = 1_000;

/** The turns of one router at one engine. */
export class SendSlots {
  /** Time of day until which no turn is left, in Unix milliseconds; turns count from the first question on. */
  private usedMs = Infinity;

  /** @param firstPoint 0 to 1; engines differ in it, so that a router's turns at them do not fall together */
  constructor(private readonly firstPoint: number) {}

  /** Whether a turn of this router is due and has not lapsed. */
  isDue(perSecond: number, view: SlotView): boolean {
    return perSecond >= UNLIMITED_PER_SECOND || this.oldestDueMs(perSecond, view) !== undefined;
  }

  /** Uses the oldest turn that is due; without effect where none is. */
  use(perSecond: number, view: SlotView): void {
    const dueMs = this.oldestDueMs(perSecond, view);
    if (dueMs === undefined) return;
    // Half a turn on, where rounding can't bring the same one back.
    this.usedMs = dueMs + gapMsOf(perSecond) / 2;
  }

  /** Time until a turn is due, in milliseconds; 0 where one is, the horizon where none is foreseen. */
  waitMs(perSecond: number, view: SlotView): number {
    if (this.isDue(perSecond, view)) return 0;
    const next = this.firstOwned(perSecond, view, view.wallMs, view.wallMs + HORIZON_MS);
    return next === undefined ? HORIZON_MS : next - view.wallMs;
  }

  private oldestDueMs(perSecond: number, view: SlotView): number | undefined {
    const { wallMs } = view;
    // No turn of the future has been used, also where the time of day has stepped back.
    this.usedMs = Math.min(this.usedMs, wallMs);
    const keptMs = KEPT_MS + KEPT_TURNS * gapMsOf(perSecond);
    return this.firstOwned(perSecond, view, Math.max(this.usedMs, wallMs - keptMs), wallMs);
  }

  /** Time of this router's first turn after one moment and until another. */
  private firstOwned(
    perSecond: number,
    { interval }: SlotView,
    afterMs: number,
    untilMs: number,
  ): number | undefined {
    if (!interval) return undefined;
    const gapMs = gapMsOf(perSecond);
    const last = Math.floor(untilMs / gapMs);
    for (let turn = Math.floor(afterMs / gapMs) + 1; turn <= last; turn += 1) {
      const point = (this.firstPoint + turn * POINT_STEP) % 1;
      if (point >= interval.from && point < interval.to) return turn * gapMs;
    }
    return undefined;
  }
}

/** Time between two turns, in milliseconds. */
function gapMsOf(perSecond: number): number {
  return MILLISECONDS_PER_SECOND / Math.max(LEAST_PER_SECOND, perSecond);
}
