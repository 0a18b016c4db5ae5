/**
 * Engines that fail when they have to reject too many requests in a second, as they state in their
 * responses. All routers together must stay below that number. So the slots of a brittle engine are
 * divided among the routers, which then need no load reports to know that a request does not have to
 * wait there. Where a service has too few slots for all routers, half of them are used in turn, at
 * times that belong to one router each. After a rejection, this router's or another's, it gets none for
 * a while, so that rejections follow each other at a part of the tolerated rate. Pure; times are
 * monotonic, in milliseconds.
 */
import { memberKey } from '../member-key.js';
import { SendSlots, type SlotView } from './send-slots.js';
import { StatedValues } from './stated-values.js';

/** Announcement of a brittle engine to other routers. */
export interface BrittleEngineAnnouncement {
  readonly engineName: string;
  /** Rejections in a second that the engine tolerates; undefined if it tolerates any number. */
  readonly tolerance: number | undefined;
  /** Time since the engine stated this. */
  readonly ageMs: number;
  /** Time since the engine last rejected a request for want of room; undefined if it did not. */
  readonly rejectedAgeMs: number | undefined;
}

/** An engine's slots, and the part of the group to which a router's own ones belong. */
export interface SlotOwnership {
  readonly engineName: string;
  readonly slots: number;
  /** Slots of all engines of the service. */
  readonly serviceSlots: number;
  readonly slotView: SlotView;
}

/** What limits the requests of one router to a brittle engine. */
export interface BrittleEngineView extends SlotOwnership {
  /** Requests of this router at the engine. */
  readonly ownRequests: number;
}

/** A service with fewer slots for each router has too few to divide all of them. */
const MINIMUM_SLOTS_PER_ROUTER = 2;
/** Share of the slots of such a service that are divided. */
const DIVIDED_SHARE = 0.5;
/** Share of the time of the other slots that requests may take, since their durations vary. */
const USABLE_TIME_SHARE = 0.7;
/** Assumed until the first response of an engine. */
const INITIAL_SERVICE_MS = 150;
/** Weight of the latest response in the moving average of the service time. */
const SMOOTHING_FACTOR = 0.1;
/** A turn that was not used expires, so that unused ones don't accumulate into a burst. */
const TURN_GRACE = { slots: 0, ms: 150 } as const;
/** Distance between consecutive slots, modulo 1; the golden ratio distributes them most evenly. */
const SLOT_STEP = (Math.sqrt(5) - 1) / 2;
/** Number of distinct values of {@link memberKey}. */
const MEMBER_KEY_COUNT = 2 ** 32;
/** Rejections are counted over this time. */
const WINDOW_MS = 1_000;
/** Rejections follow each other at this share of the tolerated rate, since several may be in flight. */
const REJECTION_RATE_SHARE = 0.5;
/** Covers the time until other routers know of a rejection. */
const MINIMUM_PAUSE_MS = 100;
const MAXIMUM_PAUSE_MS = 2_000;
/** A rejection is announced for this long. */
const ANNOUNCEMENT_PERIOD_MS = 1_500;
/** Rejections reported within this time of the known one are the same, given the error of ages. */
const SAME_REJECTION_MS = 50;
/** Announcements in one report; rejections and the newest changes come first. */
const MAXIMUM_ANNOUNCEMENTS = 12;

/** The last rejection of an engine. */
interface Rejection {
  readonly atMs: number;
  readonly learnedMs: number;
  /** Rejections, each within the window after the one before. */
  readonly consecutive: number;
}

/** The brittle engines that one router knows of. */
export class BrittleEngines {
  private readonly rejections = new Map<string, Rejection>();
  /** Moving average of the time for a request, by engine name, in milliseconds. */
  private readonly serviceMs = new Map<string, number>();
  private readonly turns = new Map<string, SendSlots>();
  private readonly tolerances = new StatedValues((engineName) => {
    this.rejections.delete(engineName);
    this.serviceMs.delete(engineName);
    this.turns.delete(engineName);
  });

  /** Rejections in a second that the engine tolerates; undefined if it tolerates any number. */
  tolerance(engineName: string): number | undefined {
    return this.tolerances.get(engineName);
  }

  /** Whether any engine may be brittle; otherwise services need not be checked. */
  get hasAny(): boolean {
    return this.tolerances.hasAny;
  }

  /** Records a tolerance stated in a response. Returns true if the known one changed. */
  setTolerance(engineName: string, tolerance: number, nowMs: number): boolean {
    return this.tolerances.set(engineName, tolerance, nowMs);
  }

  /**
   * Records a response without a tolerance. Returns true if the engine is no longer brittle.
   *
   * @param sentMs when the request was sent
   */
  recordNoTolerance(engineName: string, sentMs: number, nowMs: number): boolean {
    return this.tolerances.recordAbsent(engineName, sentMs, nowMs);
  }

  /** Records a rejection for want of room. Returns true if the engine is brittle. */
  noteRejection(engineName: string, nowMs: number): boolean {
    if (this.tolerance(engineName) === undefined) return false;
    this.recordRejection(engineName, nowMs, nowMs);
    return true;
  }

  /** Applies an announcement. Returns true if it contains a rejection that was not known. */
  receive(announcement: BrittleEngineAnnouncement, nowMs: number): boolean {
    const { engineName, tolerance, ageMs, rejectedAgeMs } = announcement;
    this.tolerances.receive({ engineName, value: tolerance, ageMs }, nowMs);
    if (rejectedAgeMs === undefined || this.tolerance(engineName) === undefined) return false;
    const atMs = nowMs - rejectedAgeMs;
    const known = this.rejections.get(engineName)?.atMs ?? -Infinity;
    if (atMs <= known + SAME_REJECTION_MS) return false;
    this.recordRejection(engineName, atMs, nowMs);
    return true;
  }

  /** Announcements to send to the other routers. */
  announcements(nowMs: number): BrittleEngineAnnouncement[] {
    const changed = new Map(
      this.tolerances
        .announcements(nowMs)
        .map(({ engineName, value, ageMs }) => [
          engineName,
          { engineName, tolerance: value, ageMs, rejectedAgeMs: undefined as number | undefined },
        ]),
    );
    for (const [engineName, { atMs, learnedMs }] of this.rejections) {
      if (nowMs - learnedMs >= ANNOUNCEMENT_PERIOD_MS) continue;
      const rejectedAgeMs = Math.max(0, Math.round(nowMs - atMs));
      const tolerance = this.tolerance(engineName);
      const ageMs = changed.get(engineName)?.ageMs ?? rejectedAgeMs;
      changed.set(engineName, { engineName, tolerance, ageMs, rejectedAgeMs });
    }
    const urgency = ({ ageMs, rejectedAgeMs }: BrittleEngineAnnouncement): number =>
      rejectedAgeMs ?? ANNOUNCEMENT_PERIOD_MS + ageMs;
    const sorted = [...changed.values()].sort((left, right) => urgency(left) - urgency(right));
    return sorted.slice(0, MAXIMUM_ANNOUNCEMENTS);
  }

  /** Requests that this router may send to a brittle engine now. */
  roomAt(view: BrittleEngineView, nowMs: number): number {
    const { engineName, ownRequests } = view;
    if (this.pauseMs(engineName, nowMs) > 0) return 0;
    const ownSlots = this.ownSlots(view);
    if (ownRequests < ownSlots) return ownSlots - ownRequests;
    const perSecond = this.turnsPerSecond(view);
    return perSecond > 0 && this.turnsAt(engineName).isDue(perSecond, view.slotView) ? 1 : 0;
  }

  /** Records that this router sends a request to an engine, before it counts as its own there. */
  noteSend(view: BrittleEngineView): void {
    if (view.ownRequests < this.ownSlots(view)) return;
    const perSecond = this.turnsPerSecond(view);
    if (perSecond > 0) this.turnsAt(view.engineName).use(perSecond, view.slotView);
  }

  /** Records the time that a brittle engine took for a request, in milliseconds. */
  noteServiceTime(engineName: string, tookMs: number): void {
    if (this.tolerance(engineName) === undefined) return;
    const before = this.serviceMs.get(engineName) ?? tookMs;
    this.serviceMs.set(engineName, before + SMOOTHING_FACTOR * (tookMs - before));
  }

  /** Remaining time of the pause after a rejection, in milliseconds; 0 without one. */
  pauseMs(engineName: string, nowMs: number): number {
    const rejection = this.rejections.get(engineName);
    const tolerance = this.tolerance(engineName);
    if (!rejection || tolerance === undefined) return 0;
    const intervalMs = WINDOW_MS / Math.max(1, tolerance * REJECTION_RATE_SHARE);
    const pauseMs = Math.max(MINIMUM_PAUSE_MS, intervalMs) * 2 ** (rejection.consecutive - 1);
    return Math.max(0, rejection.atMs + Math.min(MAXIMUM_PAUSE_MS, pauseMs) - nowMs);
  }

  /**
   * Number of an engine's slots that belong to this router. All routers compute the same owners; each
   * gets slots in proportion to its interval.
   */
  ownSlots(ownership: SlotOwnership): number {
    const { engineName, slotView } = ownership;
    const { interval } = slotView;
    if (!interval) return 0;
    const slots = dividedSlots(ownership);
    const phase = memberKey(engineName) / MEMBER_KEY_COUNT;
    let own = 0;
    for (let slot = 0; slot < slots; slot += 1) {
      const point = (phase + slot * SLOT_STEP) % 1;
      if (point >= interval.from && point < interval.to) own += 1;
    }
    return own;
  }

  /** Requests a second that all routers together send to the slots that are not divided. */
  private turnsPerSecond(ownership: SlotOwnership): number {
    const { engineName, slots } = ownership;
    const serviceMs = this.serviceMs.get(engineName) ?? INITIAL_SERVICE_MS;
    return ((slots - dividedSlots(ownership)) * USABLE_TIME_SHARE * WINDOW_MS) / serviceMs;
  }

  private turnsAt(engineName: string): SendSlots {
    let turns = this.turns.get(engineName);
    if (!turns) {
      turns = new SendSlots(memberKey(engineName) / MEMBER_KEY_COUNT, TURN_GRACE);
      this.turns.set(engineName, turns);
    }
    return turns;
  }

  private recordRejection(engineName: string, atMs: number, nowMs: number): void {
    const last = this.rejections.get(engineName);
    const isConsecutive = last !== undefined && atMs - last.atMs < WINDOW_MS;
    // Requests that were in flight together don't lengthen the pause.
    const isSame = last !== undefined && atMs - last.atMs < MINIMUM_PAUSE_MS;
    const consecutive = isConsecutive ? last.consecutive + (isSame ? 0 : 1) : 1;
    this.rejections.set(engineName, { atMs, learnedMs: nowMs, consecutive });
  }
}

/** Slots of an engine that belong to one router each. */
function dividedSlots({ slots, serviceSlots, slotView }: SlotOwnership): number {
  const { interval } = slotView;
  const share = interval ? interval.to - interval.from : 0;
  const isScarce = serviceSlots * share < MINIMUM_SLOTS_PER_ROUTER;
  return isScarce ? Math.floor(slots * DIVIDED_SHARE) : slots;
}
