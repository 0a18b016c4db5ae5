/**
 * Divides the rate limit of an engine, which holds for all routers together, into time slots. Pure.
 *
 * Slots follow each other at the engine's rate in wall-clock time. Each slot maps to a point
 * between 0 and 1, and belongs to the router whose interval contains that point. All routers
 * compute the same owner without exchanging messages. The points are evenly distributed, so each
 * router gets slots in proportion to its interval; a router that is partitioned or has just started
 * uses no more than its own. Unused slots expire after a while, so that they do not accumulate into
 * a burst.
 *
 * Token buckets in each router would not work at low limits: with about one request a second for a
 * large group, the shares are too small to be useful, or together exceed the limit.
 */

/** This router's interval between 0 and 1; the intervals of a group do not overlap. */
export interface SlotInterval {
  readonly from: number;
  readonly to: number;
}

/** The inputs that determine the slots of a router. */
export interface SlotView {
  /** Wall-clock time in Unix milliseconds; clock skew shifts the slots of a router by as much. */
  readonly wallMs: number;
  /** Undefined if this router has no slots: it is leaving or has not learned the group yet. */
  readonly interval: SlotInterval | undefined;
}

/** Distance between consecutive points, modulo 1; the golden ratio distributes them most evenly. */
const POINT_STEP = (Math.sqrt(5) - 1) / 2;
/** How long a slot stays usable: a time, and a number of further slots. */
export interface SlotGrace {
  readonly ms: number;
  readonly slots: number;
}

/** Keeps any window of 4 s within the tolerance of limits: 1.5 times the limit, plus five requests. */
const LIMIT_GRACE: SlotGrace = { ms: 1_000, slots: 2 };
/** Minimum rate at which an engine is probed; only its responses show a new limit. */
const MINIMUM_PER_SECOND = 0.2;
/** Limits at or above this are not enforced. */
const UNLIMITED_PER_SECOND = 1_000;
/** How far ahead the next slot is searched. */
const HORIZON_MS = 10_000;
const MILLISECONDS_PER_SECOND = 1_000;

/** The slots of one router at one engine. */
export class SendSlots {
  /** Slots up to this Unix time are used; the first query sets it to the current time. */
  private usedUntilMs = Infinity;

  /** @param phase 0 to 1; differs by engine, so that slots at different engines do not coincide */
  constructor(
    private readonly phase: number,
    private readonly grace: SlotGrace = LIMIT_GRACE,
  ) {}

  /** Whether a slot of this router is due and has not expired. */
  isDue(perSecond: number, view: SlotView): boolean {
    return perSecond >= UNLIMITED_PER_SECOND || this.oldestDueMs(perSecond, view) !== undefined;
  }

  /** Uses the oldest slot that is due; no effect if there is none. */
  use(perSecond: number, view: SlotView): void {
    const dueMs = this.oldestDueMs(perSecond, view);
    if (dueMs === undefined) return;
    // Advances by half a slot, so that rounding can't select the same slot again.
    this.usedUntilMs = dueMs + slotPeriodMsOf(perSecond) / 2;
  }

  /** Time until a slot is due, in milliseconds; at most {@link HORIZON_MS}. */
  waitMs(perSecond: number, view: SlotView): number {
    if (this.isDue(perSecond, view)) return 0;
    const next = this.firstOwnSlotMs(perSecond, view, view.wallMs, view.wallMs + HORIZON_MS);
    return next === undefined ? HORIZON_MS : next - view.wallMs;
  }

  private oldestDueMs(perSecond: number, view: SlotView): number | undefined {
    const { wallMs } = view;
    // The used time is never in the future, even if the wall clock was set back.
    this.usedUntilMs = Math.min(this.usedUntilMs, wallMs);
    const graceMs = this.grace.ms + this.grace.slots * slotPeriodMsOf(perSecond);
    return this.firstOwnSlotMs(
      perSecond,
      view,
      Math.max(this.usedUntilMs, wallMs - graceMs),
      wallMs,
    );
  }

  /** Time of this router's first slot after `afterMs` and up to `untilMs`. */
  private firstOwnSlotMs(
    perSecond: number,
    { interval }: SlotView,
    afterMs: number,
    untilMs: number,
  ): number | undefined {
    if (!interval) return undefined;
    const slotPeriodMs = slotPeriodMsOf(perSecond);
    const last = Math.floor(untilMs / slotPeriodMs);
    for (let slot = Math.floor(afterMs / slotPeriodMs) + 1; slot <= last; slot += 1) {
      const point = (this.phase + slot * POINT_STEP) % 1;
      if (point >= interval.from && point < interval.to) return slot * slotPeriodMs;
    }
    return undefined;
  }
}

/** Time between two slots, in milliseconds. */
function slotPeriodMsOf(perSecond: number): number {
  return MILLISECONDS_PER_SECOND / Math.max(MINIMUM_PER_SECOND, perSecond);
}
