/**
 * Rate limits that engines state in their responses: requests per second that an engine accepts
 * from all routers together. Pure.
 */
import { memberKey } from '../member-key.js';
import { SendSlots, type SlotView } from './send-slots.js';
import { type StatedValueAnnouncement, StatedValues } from './stated-values.js';

/** Number of distinct values of {@link memberKey}. */
const MEMBER_KEY_COUNT = 2 ** 32;

/** Announcement of an engine's limit to other routers. */
export interface EngineLimitAnnouncement {
  readonly engineName: string;
  /** Requests per second; undefined if the limit was lifted. */
  readonly perSecond: number | undefined;
  /**
   * Time since the limit was received, or since the request was sent whose response had none, in
   * milliseconds.
   */
  readonly ageMs: number;
}

/** Rate limits of all engines. */
export class EngineLimits {
  private readonly sendSlots = new Map<string, SendSlots>();
  private readonly limits = new StatedValues((engineName) => this.sendSlots.delete(engineName));

  /**
   * Records a limit stated in a response that was just received.
   *
   * @returns true if the known limit changed
   */
  setLimit(engineName: string, perSecond: number, nowMs: number): boolean {
    return this.limits.set(engineName, perSecond, nowMs);
  }

  /**
   * Records a response without a limit.
   *
   * @param sentMs when the request was sent
   * @returns true if this lifts a limit
   */
  recordNoLimit(engineName: string, sentMs: number, nowMs: number): boolean {
    return this.limits.recordAbsent(engineName, sentMs, nowMs);
  }

  /**
   * Applies an announcement from another router.
   *
   * @returns true if the known limit changed
   */
  receive({ perSecond: value, ...stated }: EngineLimitAnnouncement, nowMs: number): boolean {
    return this.limits.receive({ ...stated, value }, nowMs);
  }

  /** Announcements to send to the other routers. */
  announcements(nowMs: number): EngineLimitAnnouncement[] {
    return this.limits.announcements(nowMs).map(toLimitAnnouncement);
  }

  /** Requests per second; undefined if the engine has no known limit. */
  perSecond(engineName: string): number | undefined {
    return this.limits.get(engineName);
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
}

function toLimitAnnouncement({
  engineName,
  value,
  ageMs,
}: StatedValueAnnouncement): EngineLimitAnnouncement {
  return { engineName, perSecond: value, ageMs };
}
