/**
 * Rate limits that engines state in their responses: requests per second that an engine accepts
 * from all routers together. They are keyed by engine name and stored outside the engine registry,
 * as are backoffs. Routers announce changes to each other, because a router without a recent
 * response would otherwise exceed a new limit or keep to one that was lifted. Pure.
 */
import { memberKey } from '../member-key.js';
import { SendSlots, type SlotView } from './send-slots.js';

/** Number of distinct values of {@link memberKey}. */
const MEMBER_KEY_COUNT = 2 ** 32;
/** A change is announced for this long, so that it survives the loss of some datagrams. */
const ANNOUNCEMENT_PERIOD_MS = 1_500;
/**
 * Maximum error of the age in an announcement, which does not include queueing and transit. A lift
 * counts only if it is certainly newer than the last response with a limit.
 */
const MAXIMUM_AGE_ERROR_MS = 200;
/**
 * A limit is kept for this long without confirmation. Must exceed the time between two slots of a
 * router in a large group, or a router without a slot would drop the limit and exceed it.
 */
const LIMIT_RETENTION_MS = 600_000;
/** A lifted limit is kept only until older responses and announcements have arrived. */
const LIFTED_RETENTION_MS = 60_000;

/** Announcement of an engine's limit to other routers. */
export interface EngineLimitAnnouncement {
  readonly engineName: string;
  /** Requests per second; undefined if the limit was lifted. */
  readonly perSecond: number | undefined;
  /** Time since the earliest moment the engine can have stated this, in milliseconds. */
  readonly ageMs: number;
}

/** Last known limit of an engine. */
interface KnownLimit {
  readonly perSecond: number | undefined;
  /** Earliest time at which the engine can have stated this. */
  readonly asOfMs: number;
  /** When this router first learned the current value. */
  readonly learnedAtMs: number;
}

/** Rate limits of all engines. */
export class EngineLimits {
  private readonly knownLimits = new Map<string, KnownLimit>();
  private readonly sendSlots = new Map<string, SendSlots>();

  /**
   * Records a limit stated in a response that was just received.
   *
   * @returns true if the known limit changed
   */
  setLimit(engineName: string, perSecond: number, nowMs: number): boolean {
    return this.recordLimit(engineName, perSecond, nowMs, nowMs);
  }

  /**
   * Records a response without a limit. Responses may arrive out of order, so the limit is lifted
   * only if the request was sent after the last response with a limit was received.
   *
   * @param sentMs when the request was sent
   * @returns true if this lifts a limit
   */
  recordNoLimit(engineName: string, sentMs: number, nowMs: number): boolean {
    const current = this.knownLimits.get(engineName);
    if (current?.perSecond === undefined || sentMs <= current.asOfMs) return false;
    return this.recordLimit(engineName, undefined, sentMs, nowMs);
  }

  /**
   * Applies an announcement from another router.
   *
   * @returns true if the known limit changed
   */
  receive({ engineName, perSecond, ageMs }: EngineLimitAnnouncement, nowMs: number): boolean {
    const current = this.knownLimits.get(engineName);
    const asOfMs = nowMs - ageMs;
    const isLift = perSecond === undefined;
    if (!current && isLift) return false;
    const toleranceMs = isLift && current?.perSecond !== undefined ? MAXIMUM_AGE_ERROR_MS : 0;
    if (current && asOfMs <= current.asOfMs + toleranceMs) return false;
    return this.recordLimit(engineName, perSecond, asOfMs, nowMs);
  }

  /** Announcements to send to the other routers. */
  announcements(nowMs: number): EngineLimitAnnouncement[] {
    const changes: EngineLimitAnnouncement[] = [];
    for (const [engineName, { perSecond, asOfMs, learnedAtMs }] of this.knownLimits) {
      const ageMs = Math.max(0, Math.round(nowMs - asOfMs));
      const retentionMs = perSecond === undefined ? LIFTED_RETENTION_MS : LIMIT_RETENTION_MS;
      if (ageMs > retentionMs) this.forget(engineName);
      else if (nowMs - learnedAtMs < ANNOUNCEMENT_PERIOD_MS)
        changes.push({ engineName, perSecond, ageMs });
    }
    return changes;
  }

  /** Requests per second; undefined if the engine has no known limit. */
  perSecond(engineName: string): number | undefined {
    return this.knownLimits.get(engineName)?.perSecond;
  }

  /** Whether this router may send a request to the engine now. */
  maySend(engineName: string, slotView: SlotView): boolean {
    const perSecond = this.perSecond(engineName);
    return perSecond === undefined || this.sendSlotsOf(engineName).isDue(perSecond, slotView);
  }

  /** Time until this router may send a request to the engine, in milliseconds; 0 if it may now. */
  waitMs(engineName: string, slotView: SlotView): number {
    const perSecond = this.perSecond(engineName);
    return perSecond === undefined ? 0 : this.sendSlotsOf(engineName).waitMs(perSecond, slotView);
  }

  /** Records that this router sends a request to the engine, which uses a slot. */
  noteSend(engineName: string, slotView: SlotView): void {
    const perSecond = this.perSecond(engineName);
    if (perSecond !== undefined) this.sendSlotsOf(engineName).use(perSecond, slotView);
  }

  private sendSlotsOf(engineName: string): SendSlots {
    let sendSlots = this.sendSlots.get(engineName);
    if (!sendSlots) {
      sendSlots = new SendSlots(memberKey(engineName) / MEMBER_KEY_COUNT);
      this.sendSlots.set(engineName, sendSlots);
    }
    return sendSlots;
  }

  private recordLimit(
    engineName: string,
    perSecond: number | undefined,
    asOfMs: number,
    nowMs: number,
  ): boolean {
    const current = this.knownLimits.get(engineName);
    const isChanged = current?.perSecond !== perSecond;
    const learnedAtMs = current && !isChanged ? current.learnedAtMs : nowMs;
    this.knownLimits.set(engineName, { perSecond, asOfMs, learnedAtMs });
    if (perSecond === undefined) this.sendSlots.delete(engineName);
    return isChanged;
  }

  private forget(engineName: string): void {
    this.knownLimits.delete(engineName);
    this.sendSlots.delete(engineName);
  }
}
