/**
 * Discovers the weight versions that operators name, from the store and from announcements of other
 * routers. Versions only increase, so announcements can be applied in any order. Each announcement
 * carries the version's age: an upper limit of the time since an operator named it.
 */
import { ElapsedInstant } from '../../runtime/elapsed-instant.js';
import type { Clock } from '../../runtime/clock.js';
import type { Logger } from '../../runtime/logger.js';
import type { StoredObject } from '../../protocol/object-store/port.js';
import type { WeightVersions } from '../../state/routing/weight-versions.js';
import { type ObjectDecoder, valueOrLog } from './object-decoder.js';

/** A weight version that one router announces to others. */
export interface WeightVersionAnnouncement {
  readonly model: string;
  readonly version: number;
  /** Upper limit of the time since an operator named the version, in milliseconds. */
  readonly ageMs: number;
}

/** Dependencies of {@link WeightVersionDiscovery}. */
export interface WeightVersionDiscoveryParts {
  readonly versions: WeightVersions;
  readonly decoder: ObjectDecoder;
  /** Monotonic start time of the process; its deadlines apply a fixed time after the start. */
  readonly startedMs: number;
  readonly clock: Clock;
  readonly logger: Logger;
}

/** Lower limit of the age of a version that was missed by the watch. */
const MINIMUM_MISSED_AGE_MS = 1_000;
/** Upper limit of a store response's time in transit; slower calls time out. */
const RESPONSE_TRANSIT_MS = 800;
/**
 * Calls that fail for this long indicate an outage of the store, during which no version can be
 * named. An unresponsive connection is replaced sooner, by the next call.
 */
const OUTAGE_MS = 1_500;
/** How long a version is announced; longer than any deadline for replaced weights. */
const ANNOUNCED_FOR_MS = 15_000;

/** Newest versions that are announced together, so that a report fits into a datagram. */
const MAXIMUM_ANNOUNCED = 64;

/** The list and the first watch; later watches report changes as they happen. */
const RESPONSES_UNTIL_FOLLOWED = 2;

/** Source from which a router learned of a version. */
type VersionOrigin = 'watch' | 'list' | 'router';

/** Records the weight versions that this router learns of, with an upper limit of their age. */
export class WeightVersionDiscovery {
  private hasList = false;
  private responses = 0;
  /**
   * Whether the last response came from the store itself, so that changes arrive as they happen.
   */
  private hasDirectResponse = false;
  /** Latest time for which the store is proven to have had nothing newer than what was applied. */
  private provenCurrentAt = ElapsedInstant.never;
  /** Start of the current series of failed calls; undefined while calls succeed. */
  private failingSinceMs: number | undefined;

  /**
   * @param assumedAgeMs assumed age, at the start of the process, of versions found by the first
   *   list
   * @param announce sends announcements to the other routers immediately
   */
  constructor(
    private readonly parts: WeightVersionDiscoveryParts,
    private readonly assumedAgeMs: number,
    private readonly announce: () => void,
  ) {}

  /** Applies the store's list, which doesn't state when its versions were named. */
  applyList(objects: readonly StoredObject[]): void {
    const ageMs = this.hasList ? this.missedAgeMs : this.ageBeforeStartMs;
    this.hasList = true;
    for (const object of objects) this.applyObject(object, 'list', ageMs);
  }

  /**
   * Applies a change from a watch. The time of naming is unknown if the change comes from the first
   * watch (the list before it may have been stale), after a failed call, or through another router
   * (whose own call may have failed). Dating such a change by its arrival would underestimate its
   * age. Routers that observed the naming announce its time.
   */
  applyChange(object: StoredObject, isRelayed: boolean): void {
    if (this.responses < RESPONSES_UNTIL_FOLLOWED) {
      this.applyObject(object, 'list', this.ageBeforeStartMs);
      return;
    }
    if (isRelayed || !this.hasDirectResponse) this.applyObject(object, 'list', this.missedAgeMs);
    else if (this.applyObject(object, 'watch', 0)) this.announce();
  }

  /**
   * Records a response of the store or of a relaying router; call after applying its changes.
   *
   * @param proven time for which the store is proven to have had nothing newer; `never` for a list
   *   that may be stale
   */
  recordResponse(proven: ElapsedInstant, isRelayed: boolean): void {
    this.responses += 1;
    this.failingSinceMs = undefined;
    const isProof = proven !== ElapsedInstant.never;
    this.hasDirectResponse = isProof && !isRelayed;
    if (!isProof) return;
    const respondedAt = this.parts.clock.elapsed().plus(-RESPONSE_TRANSIT_MS);
    this.provenCurrentAt = this.provenCurrentAt.later(
      isRelayed ? proven : proven.later(respondedAt),
    );
  }

  /** Records a failed call. An unresponsive connection is detected only by its timeout. */
  noteFailure(): void {
    this.hasDirectResponse = false;
    this.failingSinceMs ??= this.parts.clock.now();
  }

  /** Applies another router's announcement. */
  receive({ model, version, ageMs }: WeightVersionAnnouncement): void {
    this.record(model, version, 'router', ageMs);
  }

  /** Versions to announce to the other routers. */
  get versionAnnouncements(): WeightVersionAnnouncement[] {
    const { versions, clock } = this.parts;
    const nowMs = clock.now();
    const announcements = versions.models.flatMap((model) =>
      versions.observedSince(model, nowMs - ANNOUNCED_FOR_MS).map(({ version, namedMs }) => ({
        model,
        version,
        ageMs: Math.max(0, Math.round(nowMs - namedMs)),
      })),
    );
    if (announcements.length <= MAXIMUM_ANNOUNCED) return announcements;
    const newestFirst = announcements.sort((left, right) => left.ageMs - right.ageMs);
    return newestFirst.slice(0, MAXIMUM_ANNOUNCED);
  }

  /** Assumed age of versions that may have been named before the start, in milliseconds. */
  private get ageBeforeStartMs(): number {
    return this.assumedAgeMs + this.parts.clock.now() - this.parts.startedMs;
  }

  /** Upper limit of the age of versions that were missed, in milliseconds. */
  private get missedAgeMs(): number {
    const { clock } = this.parts;
    const failingMs = clock.now() - (this.failingSinceMs ?? Infinity);
    if (failingMs >= OUTAGE_MS) return failingMs;
    // A list that may be stale proves nothing.
    if (this.provenCurrentAt === ElapsedInstant.never) return this.ageBeforeStartMs;
    return Math.max(MINIMUM_MISSED_AGE_MS, clock.elapsed().since(this.provenCurrentAt));
  }

  private applyObject(object: StoredObject, origin: VersionOrigin, ageMs: number): boolean {
    const { decoder, logger } = this.parts;
    const named = valueOrLog(decoder.weights(object), object, logger);
    return named !== undefined && this.record(named.model, named.version, origin, ageMs);
  }

  private record(model: string, version: number, origin: VersionOrigin, ageMs: number): boolean {
    const { versions, clock, logger } = this.parts;
    const namedMs = clock.now() - ageMs;
    const isNew = versions.record(model, { version, namedMs, isWitnessed: origin !== 'list' });
    if (isNew) {
      const known_after_ms = Math.round(ageMs);
      logger.info('weights_named', { model, version, origin, known_after_ms });
    }
    return isNew;
  }
}
