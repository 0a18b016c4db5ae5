/**
 * Takes the versions of weights that operators name: from the store, and from routers that saw them
 * there. Versions only rise, so what another router tells may be taken freely; it carries the time
 * since that router could first know of it.
 */
import { ElapsedInstant } from '../../runtime/elapsed-instant.js';
import type { Clock } from '../../runtime/clock.js';
import type { Logger } from '../../runtime/logger.js';
import type { StoredObject } from '../../protocol/object-store/port.js';
import type { WeightVersions } from '../../state/routing/weight-versions.js';
import { type ObjectDecoder, valueOrLog } from './object-decoder.js';

/** A version as one router tells it to another. */
export interface VersionNotice {
  readonly model: string;
  readonly version: number;
  /** Time since the teller can first have known of it, in milliseconds. */
  readonly ageMs: number;
}

/** What the news work with. */
export interface VersionNewsParts {
  readonly versions: WeightVersions;
  readonly decoder: ObjectDecoder;
  readonly clock: Clock;
  readonly logger: Logger;
}

/** Weights found after a watch had failed; their time counts from when the store was sound again. */
const MISSED_AGE_MS = 1_000;
/** A version is told for this long; longer than any bound on replaced weights. */
const TOLD_FOR_MS = 15_000;

/** The list and the first watch; from then on a change is shown as soon as it is there. */
const ANSWERS_UNTIL_FOLLOWED = 2;

/** Where a router heard of a version. */
type VersionOrigin = 'watch' | 'list' | 'router';

/** The versions that one router has heard of. */
export class VersionNews {
  private hasList = false;
  private answers = 0;
  /** Whether a call has failed since the last answer: what the next one brings is older than it seems. */
  private hasMissed = false;
  private proven = ElapsedInstant.never;

  /**
   * @param unseenAgeMs weights found by a router that has just started are taken to be named this long
   *   ago
   * @param announce tells the other routers at once
   */
  constructor(
    private readonly parts: VersionNewsParts,
    private readonly unseenAgeMs: number,
    private readonly announce: () => void,
  ) {}

  /** Takes the store's list: when its versions were named is not known. */
  takeList(objects: readonly StoredObject[]): void {
    const ageMs = this.hasList ? this.missedAgeMs : this.unseenAgeMs;
    this.hasList = true;
    for (const object of objects) this.takeObject(object, 'list', ageMs);
  }

  /**
   * Takes a change that a watch showed. The first watch begins a while after the list, which may itself be
   * old: what it shows may have been named before, so its time is not known either.
   */
  takeChange(object: StoredObject): void {
    if (this.answers < ANSWERS_UNTIL_FOLLOWED) {
      this.takeObject(object, 'list', this.unseenAgeMs);
      return;
    }
    if (this.hasMissed) this.takeObject(object, 'list', this.missedAgeMs);
    else if (this.takeObject(object, 'watch', 0)) this.announce();
  }

  /**
   * The store, or another router in its place, has answered; call after its changes were taken.
   *
   * @param proven a moment at which nothing newer was there
   */
  noteAnswer(proven: ElapsedInstant): void {
    this.answers += 1;
    this.hasMissed = false;
    this.proven = this.proven.latest(proven);
  }

  /** A call was not answered. A connection that has gone silent shows this way, seconds late. */
  noteFailure(): void {
    this.hasMissed = true;
  }

  /** Takes what another router tells. */
  receive({ model, version, ageMs }: VersionNotice): void {
    this.note(model, version, 'router', ageMs);
  }

  /** What the other routers should know. */
  get notices(): VersionNotice[] {
    const { versions, clock } = this.parts;
    const nowMs = clock.now();
    return versions.models.flatMap((model) =>
      versions.witnessedSince(model, nowMs - TOLD_FOR_MS).map(({ version, namedMs }) => ({
        model,
        version,
        ageMs: Math.max(0, Math.round(nowMs - namedMs)),
      })),
    );
  }

  /** How long ago what was missed may have been named, in milliseconds. */
  private get missedAgeMs(): number {
    if (!this.hasMissed) return MISSED_AGE_MS;
    // A list that may be old proves nothing.
    if (this.proven === ElapsedInstant.never) return this.unseenAgeMs;
    return Math.max(MISSED_AGE_MS, this.parts.clock.elapsed().since(this.proven));
  }

  private takeObject(object: StoredObject, origin: VersionOrigin, ageMs: number): boolean {
    const { decoder, logger } = this.parts;
    const named = valueOrLog(decoder.weights(object), object, logger);
    return named !== undefined && this.note(named.model, named.version, origin, ageMs);
  }

  private note(model: string, version: number, origin: VersionOrigin, ageMs: number): boolean {
    const { versions, clock, logger } = this.parts;
    const namedMs = clock.now() - ageMs;
    const isNew = versions.note(model, { version, namedMs, isWitnessed: origin !== 'list' });
    if (isNew) {
      const known_after_ms = Math.round(ageMs);
      logger.info('weights_named', { model, version, origin, known_after_ms });
    }
    return isNew;
  }
}
