/**
 * Limits that engines name in their answers: the requests a second that one takes from all routers together, for as
 * long as its answers say so. Kept by the engine's name and apart from the list of engines, as pauses are. Routers tell
 * each other what is new: those that an engine has not told yet would send on, and those that have no turn would not
 * learn for long that a limit is lifted. Pure.
 */
import { memberKey } from '../member-key.js';
import { SendSlots, type SlotView } from './send-slots.js';

/** Number of keys that {@link memberKey} may give. */
const KEYS = 2 ** 32;
/** News are told for this long: with a tenth of the datagrams lost, one router of a small group in 10,000 misses them. */
const TOLD_FOR_MS = 1_500;
/**
 * Another router's age of what it tells grows on the way by what is gathered and held up, so that its moment seems this
 * much later at most. A lift that may be older than the last answer with a limit does not count.
 */
const AGE_ERROR_MS = 200;
/**
 * A limit that was not heard of for so long is forgotten. In a group of 195 a router's turn at an engine that takes one
 * request a second comes each three minutes: forgotten before, the limit would be passed by whoever had no turn.
 */
const REMEMBERED_MS = 600_000;
/** A lift only has to outlast answers and notices that were on their way. */
const LIFT_REMEMBERED_MS = 60_000;

/** What one router tells another of an engine's limit. */
export interface EngineLimitAnnouncement {
  readonly engineName: string;
  /** Requests a second; undefined: the limit is lifted. */
  readonly perSecond: number | undefined;
  /** Time since the engine can first have said so, in milliseconds. */
  readonly ageMs: number;
}

/** What is known of an engine's limit. */
interface KnownLimit {
  readonly perSecond: number | undefined;
  /** The engine said so no earlier than this. */
  readonly asOfMs: number;
  /** When this router learnt it first. */
  readonly learntMs: number;
}

/** The limits of all engines. */
export class EngineLimits {
  private readonly known = new Map<string, KnownLimit>();
  private readonly turns = new Map<string, SendSlots>();

  /**
   * An answer that has just come names a limit.
   *
   * @returns true where this changes what was known
   */
  noteNamed(engineName: string, perSecond: number, nowMs: number): boolean {
    return this.note(engineName, perSecond, nowMs, nowMs);
  }

  /**
   * An engine answered without naming a limit. Answers overtake one another, so this counts only where the request
   * was sent after the last answer with a limit came.
   *
   * @param sentMs when the request was sent
   * @returns true where this lifts a limit
   */
  noteUnnamed(engineName: string, sentMs: number, nowMs: number): boolean {
    const present = this.known.get(engineName);
    if (present?.perSecond === undefined || sentMs <= present.asOfMs) return false;
    return this.note(engineName, undefined, sentMs, nowMs);
  }

  /**
   * Takes another router's notice.
   *
   * @returns true where this changes what was known
   */
  receive({ engineName, perSecond, ageMs }: EngineLimitAnnouncement, nowMs: number): boolean {
    const present = this.known.get(engineName);
    const asOfMs = nowMs - ageMs;
    const isLift = perSecond === undefined;
    if (!present && isLift) return false;
    const slackMs = isLift && present?.perSecond !== undefined ? AGE_ERROR_MS : 0;
    if (present && asOfMs <= present.asOfMs + slackMs) return false;
    return this.note(engineName, perSecond, asOfMs, nowMs);
  }

  /** What the other routers should be told. */
  notices(nowMs: number): EngineLimitAnnouncement[] {
    const notices: EngineLimitAnnouncement[] = [];
    for (const [engineName, { perSecond, asOfMs, learntMs }] of this.known) {
      const ageMs = Math.max(0, Math.round(nowMs - asOfMs));
      const rememberedMs = perSecond === undefined ? LIFT_REMEMBERED_MS : REMEMBERED_MS;
      if (ageMs > rememberedMs) this.forget(engineName);
      else if (nowMs - learntMs < TOLD_FOR_MS) notices.push({ engineName, perSecond, ageMs });
    }
    return notices;
  }

  /** Requests a second; undefined where the engine has named no limit, or lifted it. */
  perSecond(engineName: string): number | undefined {
    return this.known.get(engineName)?.perSecond;
  }

  /** Whether this router may send the engine a request now. */
  maySend(engineName: string, view: SlotView): boolean {
    const perSecond = this.perSecond(engineName);
    return perSecond === undefined || this.turnsOf(engineName).isDue(perSecond, view);
  }

  /** Time until this router may send the engine a request, in milliseconds; 0 where it may now. */
  waitMs(engineName: string, view: SlotView): number {
    const perSecond = this.perSecond(engineName);
    return perSecond === undefined ? 0 : this.turnsOf(engineName).waitMs(perSecond, view);
  }

  /** This router sends the engine a request. */
  noteSend(engineName: string, view: SlotView): void {
    const perSecond = this.perSecond(engineName);
    if (perSecond !== undefined) this.turnsOf(engineName).use(perSecond, view);
  }

  private turnsOf(engineName: string): SendSlots {
    let turns = this.turns.get(engineName);
    if (!turns) {
      turns = new SendSlots(memberKey(engineName) / KEYS);
      this.turns.set(engineName, turns);
    }
    return turns;
  }

  private note(
    engineName: string,
    perSecond: number | undefined,
    asOfMs: number,
    nowMs: number,
  ): boolean {
    const present = this.known.get(engineName);
    const isChanged = present?.perSecond !== perSecond;
    const learntMs = present && !isChanged ? present.learntMs : nowMs;
    this.known.set(engineName, { perSecond, asOfMs, learntMs });
    if (perSecond === undefined) this.turns.delete(engineName);
    return isChanged;
  }

  private forget(engineName: string): void {
    this.known.delete(engineName);
    this.turns.delete(engineName);
  }
}
