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
export interface WeightVersionAnnouncement {
  readonly model: string;
  readonly version: number;
  /** Time since the teller can first have known of it, in milliseconds. */
  readonly ageMs: number;
}

/** What the news work with. */
export interface WeightVersionDiscoveryParts {
  readonly versions: WeightVersions;
  readonly decoder: ObjectDecoder;
  /** Steady time at which the process started: a router is held to its bounds a fixed time after that. */
  readonly startedMs: number;
  readonly clock: Clock;
  readonly logger: Logger;
}

/** What a list shows after lost history was named at least this long ago, in milliseconds. */
const SHORTEST_MISSED_AGE_MS = 1_000;
/** An answer of the store was made this long before it came, at most: then its time limit is over. */
const ANSWER_TRANSIT_MS = 800;
/**
 * Calls that fail for this long mean that the store is out, when nobody can name versions; a connection that
 * has gone silent is replaced by the next call.
 */
const OUTAGE_MS = 1_500;
/** A version is told for this long; longer than any bound on replaced weights. */
const TOLD_FOR_MS = 15_000;

/** The list and the first watch; from then on a change is shown as soon as it is there. */
const ANSWERS_UNTIL_FOLLOWED = 2;

/** Where a router heard of a version. */
type VersionOrigin = 'watch' | 'list' | 'router';

/** The versions that one router has heard of. */
export class WeightVersionDiscovery {
  private hasList = false;
  private answers = 0;
  /** Whether the last call was answered by the store itself, so that a change is shown as it happens. */
  private isUnbroken = false;
  /** Until then nothing newer was there than what was taken. */
  private currentAt = ElapsedInstant.never;
  /** Since when calls have failed; undefined while they are answered. */
  private failingSinceMs: number | undefined;

  /**
   * @param unseenAgeMs weights that a router finds when it starts are taken to be named this long before
   * @param announce tells the other routers at once
   */
  constructor(
    private readonly parts: WeightVersionDiscoveryParts,
    private readonly unseenAgeMs: number,
    private readonly announce: () => void,
  ) {}

  /** Takes the store's list: when its versions were named is not known. */
  takeList(objects: readonly StoredObject[]): void {
    const ageMs = this.hasList ? this.missedAgeMs : this.ageBeforeStartMs;
    this.hasList = true;
    for (const object of objects) this.takeObject(object, 'list', ageMs);
  }

  /**
   * Takes a change that a watch showed. The first watch begins a while after the list, which may itself be
   * old: what it shows may have been named before, so its time is not known either. Nor is it where a call
   * has failed, or where another router answers, whose own call may have failed: dated by when it was heard, a
   * version named just after all connections had gone silent was taken as 0.5 to 1.3 s younger than it was
   * (nine simulated routers). Routers that saw it being named report its time.
   */
  takeChange(object: StoredObject, isRelayed: boolean): void {
    if (this.answers < ANSWERS_UNTIL_FOLLOWED) {
      this.takeObject(object, 'list', this.ageBeforeStartMs);
      return;
    }
    if (isRelayed || !this.isUnbroken) this.takeObject(object, 'list', this.missedAgeMs);
    else if (this.takeObject(object, 'watch', 0)) this.announce();
  }

  /**
   * The store, or another router in its place, has answered; call after its changes were taken.
   *
   * @param proven a moment at which nothing newer was there; `never` for a list that may be old
   */
  noteAnswer(proven: ElapsedInstant, isRelayed: boolean): void {
    this.answers += 1;
    this.failingSinceMs = undefined;
    const isProof = proven !== ElapsedInstant.never;
    this.isUnbroken = isProof && !isRelayed;
    if (!isProof) return;
    const answeredAt = this.parts.clock.elapsed().plus(-ANSWER_TRANSIT_MS);
    this.currentAt = this.currentAt.latest(isRelayed ? proven : proven.latest(answeredAt));
  }

  /** A call was not answered. A connection that has gone silent shows this way, seconds late. */
  noteFailure(): void {
    this.isUnbroken = false;
    this.failingSinceMs ??= this.parts.clock.now();
  }

  /** Takes what another router tells. */
  receive({ model, version, ageMs }: WeightVersionAnnouncement): void {
    this.note(model, version, 'router', ageMs);
  }

  /** What the other routers should know. */
  get notices(): WeightVersionAnnouncement[] {
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

  /** How long ago what a router finds when it starts may have been named, in milliseconds. */
  private get ageBeforeStartMs(): number {
    return this.unseenAgeMs + this.parts.clock.now() - this.parts.startedMs;
  }

  /** How long ago what was missed may have been named, in milliseconds. */
  private get missedAgeMs(): number {
    const { clock } = this.parts;
    const failingMs = clock.now() - (this.failingSinceMs ?? Infinity);
    if (failingMs >= OUTAGE_MS) return failingMs;
    // A list that may be old proves nothing.
    if (this.currentAt === ElapsedInstant.never) return this.ageBeforeStartMs;
    return Math.max(SHORTEST_MISSED_AGE_MS, clock.elapsed().since(this.currentAt));
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
