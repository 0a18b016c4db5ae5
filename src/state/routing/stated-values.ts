/**
 * Numbers that engines state in their responses and that hold until a response omits them, such as
 * rate limits. They are keyed by engine name and stored outside the engine registry, as are
 * backoffs. Routers announce changes to each other, because a router without a recent response would
 * otherwise act on an old value. Pure; times are monotonic, in milliseconds.
 */

/** A change is announced for this long, so that it survives the loss of some datagrams. */
const ANNOUNCEMENT_PERIOD_MS = 1_500;
/**
 * Maximum error of the age in an announcement, which does not include queueing and transit. A lift
 * counts only if it is certainly newer than the last response with a value.
 */
const MAXIMUM_AGE_ERROR_MS = 200;
/**
 * A value is retained for this long without confirmation. Must exceed the time between two slots of
 * a router in a large group, or a router without a slot would drop a rate limit and exceed it.
 */
const RETENTION_MS = 600_000;
/** A lifted value is retained only until older responses and announcements have arrived. */
const LIFTED_RETENTION_MS = 60_000;

/** Announcement of an engine's value to other routers. */
export interface StatedValueAnnouncement {
  readonly engineName: string;
  /** Undefined if the engine no longer states a value. */
  readonly value: number | undefined;
  /** Time since the value was received, or since the request was sent whose response had none. */
  readonly ageMs: number;
}

/** Last known value of an engine. */
interface StatedValue {
  readonly value: number | undefined;
  /** When the value was received, or when the request was sent whose response had none. */
  readonly asOfMs: number;
  /** When this router first learned the current value. */
  readonly learnedAtMs: number;
}

/** The values that all engines state in one header. */
export class StatedValues {
  private readonly values = new Map<string, StatedValue>();

  /** @param onDropped called when an engine has no value any more */
  constructor(private readonly onDropped: (engineName: string) => void = () => undefined) {}

  /** Whether any engine states a value, or did recently. */
  get hasAny(): boolean {
    return this.values.size > 0;
  }

  /** The value of an engine; undefined if it states none. */
  get(engineName: string): number | undefined {
    return this.values.get(engineName)?.value;
  }

  /**
   * Records a value stated in a response that was just received.
   *
   * @returns true if the known value changed
   */
  set(engineName: string, value: number, nowMs: number): boolean {
    return this.record(engineName, value, nowMs, nowMs);
  }

  /**
   * Records a response without a value. Responses may arrive out of order, so the value is lifted
   * only if the request was sent after the last response with a value was received.
   *
   * @param sentMs when the request was sent
   * @returns true if this lifts a value
   */
  recordAbsent(engineName: string, sentMs: number, nowMs: number): boolean {
    const current = this.values.get(engineName);
    if (current?.value === undefined || sentMs <= current.asOfMs) return false;
    return this.record(engineName, undefined, sentMs, nowMs);
  }

  /**
   * Applies an announcement from another router.
   *
   * @returns true if the known value changed
   */
  receive({ engineName, value, ageMs }: StatedValueAnnouncement, nowMs: number): boolean {
    const current = this.values.get(engineName);
    const asOfMs = nowMs - ageMs;
    const isLift = value === undefined;
    if (!current && isLift) return false;
    const toleranceMs = isLift && current?.value !== undefined ? MAXIMUM_AGE_ERROR_MS : 0;
    if (current && asOfMs <= current.asOfMs + toleranceMs) return false;
    return this.record(engineName, value, asOfMs, nowMs);
  }

  /** Announcements to send to the other routers. */
  announcements(nowMs: number): StatedValueAnnouncement[] {
    const changes: StatedValueAnnouncement[] = [];
    for (const [engineName, { value, asOfMs, learnedAtMs }] of this.values) {
      const ageMs = Math.max(0, Math.round(nowMs - asOfMs));
      const retentionMs = value === undefined ? LIFTED_RETENTION_MS : RETENTION_MS;
      if (ageMs > retentionMs) this.forget(engineName);
      else if (nowMs - learnedAtMs < ANNOUNCEMENT_PERIOD_MS)
        changes.push({ engineName, value, ageMs });
    }
    return changes;
  }

  private record(
    engineName: string,
    value: number | undefined,
    asOfMs: number,
    nowMs: number,
  ): boolean {
    const current = this.values.get(engineName);
    const isChanged = current?.value !== value;
    const learnedAtMs = current && !isChanged ? current.learnedAtMs : nowMs;
    this.values.set(engineName, { value, asOfMs, learnedAtMs });
    if (value === undefined) this.onDropped(engineName);
    return isChanged;
  }

  private forget(engineName: string): void {
    this.values.delete(engineName);
    this.onDropped(engineName);
  }
}
