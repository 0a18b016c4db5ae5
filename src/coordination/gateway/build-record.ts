/**
 * Keeps the builds that services have had recently in the store, for routers that start while nobody is
 * left who has seen them. The record holds no times: a build is added when a router sees it, and
 * removed by a router for which it has been gone for as long as a stream can be taken up. So it stays
 * right however long all routers were down.
 *
 * A write may be done long after it was sent. So a build is taken out in two steps: it is marked as
 * leaving, and taken out by a later write. A router that uses a marked build takes the mark off first;
 * a late write that takes the build out then fails, since it names the revision with the mark.
 *
 * What the record lacks counts as never used only if nobody uses it before: streams that may be taken
 * up begin at builds that are certainly in the record, see {@link BuildRecord.holds}. A record that is
 * missing, malformed or older than the last restoration of the store proves nothing, and is written
 * only by a router that knows the builds of the time before.
 */
import type { Clock, Timer } from '../../runtime/clock.js';
import type { Logger } from '../../runtime/logger.js';
import type { RandomSource } from '../../runtime/random.js';
import { StoreEra, type StorePosition } from '../../runtime/store-position.js';
import { describeProtocolError, toProtocolError } from '../../protocol/errors.js';
import type {
  ObjectStorePort,
  ReadResult,
  StoredObject,
} from '../../protocol/object-store/port.js';
import {
  BUILD_ABSENCE_MS,
  type BuildHistory,
  type ServiceBuilds,
} from '../../state/routing/build-history.js';
import type { EngineRecord } from '../../state/routing/engine-record.js';
import {
  type RecordContents,
  isListed,
  isOutdated,
  nextContents,
  parseRecord,
  specOf,
  textsOf,
} from './build-record-contents.js';
import type { StoreEras } from '../../state/routing/store-eras.js';
import type { GatewaySettings } from './gateway-settings.js';

/** Where the record is kept. */
export interface BuildRecordSource {
  /** Object kind of the record in the store. */
  readonly kind: string;
  readonly store: Pick<ObjectStorePort, 'read' | 'create' | 'replace'>;
  readonly eras: Pick<StoreEras, 'newest' | 'observePrevious'>;
  /** Whether the deployment starts for the first time, unless the store has a record already. */
  readonly isFirstStart: boolean;
  /** Spreads the calls of routers that start together. */
  readonly random: RandomSource;
}

/** Dependencies of {@link BuildRecord}. */
export interface BuildRecordParts extends BuildRecordSource {
  readonly history: BuildHistory;
  readonly clock: Clock;
  readonly logger: Logger;
}

/** Where a router of the given settings keeps the record. */
export function buildRecordSource(
  { kinds, isFirstStart }: GatewaySettings,
  store: ObjectStorePort,
  eras: StoreEras,
  random: RandomSource,
): BuildRecordSource {
  return { kind: kinds.builds, store, eras, isFirstStart, random };
}

/** Name of the only object. */
const RECORD_NAME = 'main';
/** Pause after the first call that left the record different; doubles with each further one. */
const FIRST_PAUSE_MS = 200;
const MAXIMUM_PAUSE_MS = 5_000;
const JITTER_SHARE = 0.5;
/** The record is read again after this time: another router, or a late write, may take a build out. */
const REFRESH_MS = 30_000;
/**
 * Time between the mark on a build and the write that takes it out. A router may use a build on a read
 * that is older than its return by `BUILD_ABSENCE_MS`; the rest is for the writer to see the return.
 */
const LEAVING_MS = 2 * BUILD_ABSENCE_MS;

/** The builds in the record, as read or written in one era of the store. */
interface RecordedBuilds extends RecordContents {
  readonly era: number;
  readonly position: StorePosition;
  /** When the call began. */
  readonly calledMs: number;
  /** When this router first saw the record at this position. */
  readonly sinceMs: number;
}

/** The last comparison of the record with a version of the history. */
interface Comparison {
  readonly recorded: RecordedBuilds;
  readonly version: number;
  readonly engines: readonly EngineRecord[];
  readonly isRemovalDue: boolean;
  readonly isCurrent: boolean;
}

/** Why the record shows a router which builds were used before it started. */
export enum RecordProof {
  /** The record was read. */
  Record = 'record',
  /** There was none, and the deployment starts for the first time. */
  FirstStart = 'first-start',
  /** The record does not show it. */
  None = 'none',
}

/** Reads the record at the start of one router, and writes changes of the builds. */
export class BuildRecord {
  /** What the record certainly holds; undefined before it was read or written. */
  private recorded: RecordedBuilds | undefined;
  private provenBy = RecordProof.None;
  private isCalling = false;
  private isStopped = false;
  /** Calls in a row after which the record was not that of the history. */
  private attempts = 0;
  private timer: Timer | undefined;
  private comparison: Comparison | undefined;
  private readMs = -Infinity;
  /** Differs by router, since routers may start together. */
  private readonly refreshMs: number;
  /** A read that {@link confirm} has begun, and the one that follows it. */
  private confirmation: Promise<boolean> | undefined;
  private nextConfirmation: Promise<boolean> | undefined;

  /** The read at the start, while it is in progress. */
  private firstRead: Promise<ReadResult> | undefined;
  private hasRead = false;

  /** Called when the next call may be made. */
  onPauseEnded: (() => void) | undefined;

  constructor(private readonly parts: BuildRecordParts) {
    this.refreshMs = REFRESH_MS * (1 + JITTER_SHARE * parts.random.next());
  }

  /** Why the history holds what other routers have seen before this one started, if it does. */
  get proof(): RecordProof {
    return this.provenBy;
  }

  /**
   * Whether the record certainly holds the build from now on, in the newest era of the store: it is not
   * marked as leaving, and was read since the build returned.
   */
  holds(service: string, build: string): boolean {
    const { current } = this;
    if (!current || !isListed(current.builds, service, build)) return false;
    if (isListed(current.leaving, service, build)) return false;
    const { history, clock } = this.parts;
    return current.calledMs >= history.returnedMs(service, build, clock.now()) - BUILD_ABSENCE_MS;
  }

  /** Whether the record held the build when it was last read; it may be taken out meanwhile. */
  lists(service: string, build: string): boolean {
    return this.current !== undefined && isListed(this.current.builds, service, build);
  }

  /**
   * Whether the record certainly holds the builds of all engines, and those that the history has forgotten
   * are marked as leaving, and not for long enough to be taken out.
   * One that is only remembered need not be there: another router may have taken it out already.
   */
  get isCurrent(): boolean {
    const { current } = this;
    if (!current) return false;
    const { version, engines } = this.parts.history;
    const { comparison, isRemovalDue } = this;
    const isCompared =
      comparison?.recorded === current &&
      comparison.version === version &&
      comparison.engines === engines &&
      comparison.isRemovalDue === isRemovalDue;
    // Compared once for each change, since requests ask for it.
    if (!isCompared) {
      const isCurrent = this.compare(current);
      this.comparison = { recorded: current, version, engines, isRemovalDue, isCurrent };
    }
    return this.comparison?.isCurrent ?? false;
  }

  private compare(current: RecordedBuilds): boolean {
    const { history } = this.parts;
    if (isOutdated(current, history, this.isRemovalDue)) return false;
    return history.engines.every((engine) => this.holdsBuildOf(engine));
  }

  /** Whether builds that are marked as leaving may be taken out. */
  private get isRemovalDue(): boolean {
    const { current } = this;
    if (!current || current.leaving.size === 0) return false;
    return this.parts.clock.now() - current.sinceMs >= LEAVING_MS;
  }

  private holdsBuildOf({ service, build }: EngineRecord): boolean {
    return build === undefined || this.holds(service, build);
  }

  /** Whether the record holds the builds of the history, and was read recently. */
  get isFresh(): boolean {
    return this.isCurrent && this.parts.clock.now() - this.readMs < this.refreshMs;
  }

  /** Whether the store has responded to a read. */
  get wasRead(): boolean {
    return this.hasRead;
  }

  /** Reads the record; repeated until the store responds. */
  start(): void {
    void this.run('builds_read_failed', () => {
      this.firstRead = this.read().finally(() => (this.firstRead = undefined));
      return this.firstRead;
    });
  }

  /** Waits for the read at the start, or else reads; resolves also if the read fails. */
  async readFirst(): Promise<void> {
    if (this.firstRead) await this.firstRead.catch(() => undefined);
    else await this.confirm();
  }

  stop(): void {
    this.isStopped = true;
    this.timer?.cancel();
  }

  /**
   * Reads the record, and writes the builds of the history if they are not those of the record. Never
   * rejects: a failed call is logged, and made again at a later one.
   *
   * @param mayWrite whether it is this router's turn to write
   * @param knowsHistory whether the history holds every build within its retention
   */
  async update(mayWrite: boolean, knowsHistory: boolean): Promise<void> {
    if (this.isFresh || this.timer || this.parts.history.version === 0) return;
    await this.run('builds_write_failed', async () => {
      const { object } = await this.read();
      if (mayWrite && knowsHistory && !this.isCurrent) await this.write(object);
    });
  }

  /**
   * Reads the record after the call; one read serves all calls that wait for it. Resolves to whether the
   * record was read, so that the history holds every build at which streams have begun.
   */
  confirm(): Promise<boolean> {
    if (!this.confirmation) {
      this.confirmation = this.tryRead().finally(() => (this.confirmation = undefined));
      return this.confirmation;
    }
    this.nextConfirmation ??= this.confirmation.then(() => {
      this.nextConfirmation = undefined;
      return this.confirm();
    });
    return this.nextConfirmation;
  }

  private async tryRead(): Promise<boolean> {
    try {
      await this.read();
      return this.current !== undefined;
    } catch (cause) {
      const reason = describeProtocolError(toProtocolError(cause, 'store'));
      this.parts.logger.warn('builds_read_failed', { reason });
      return false;
    }
  }

  private get current(): RecordedBuilds | undefined {
    const { recorded } = this;
    // A store that was restored may have lost what was written before.
    return recorded && recorded.era >= this.parts.eras.newest ? recorded : undefined;
  }

  /** Makes calls to the store unless some are in progress; a pause follows if they lead nowhere. */
  private async run(failureEvent: string, call: () => Promise<unknown>): Promise<void> {
    if (this.isCalling || this.isStopped) return;
    this.isCalling = true;
    try {
      await call();
    } catch (cause) {
      const reason = describeProtocolError(toProtocolError(cause, 'store'));
      this.parts.logger.warn(failureEvent, { reason, attempts: this.attempts + 1 });
    } finally {
      this.isCalling = false;
    }
    if (this.isCurrent) this.attempts = 0;
    else this.pause();
  }

  private async write(present: StoredObject | undefined): Promise<void> {
    const { store, kind, eras, logger } = this.parts;
    const contents = nextContents(this.current, this.parts.history, this.isRemovalDue);
    const era = Math.max(eras.newest, StoreEra.None);
    const spec = specOf(contents, era);
    const calledMs = this.parts.clock.now();
    const result = present
      ? await store.replace(kind, RECORD_NAME, spec, present.position)
      : await store.create(kind, RECORD_NAME, spec);
    // After a conflict, or a restoration meanwhile, the next update reads what the record holds.
    if (result.kind === 'written' && result.era === era) {
      const { position } = result.object;
      const sinceMs = this.parts.clock.now();
      this.recorded = { era, ...contents, position, calledMs, sinceMs };
    }
    logger.info('builds_recorded', { result: result.kind, era, ...textsOf(contents) });
  }

  /** Adds the builds of the record that are new to this router to the history. */
  private async read(): Promise<ReadResult> {
    const { store, kind, isFirstStart } = this.parts;
    const isFirstRead = this.recorded === undefined && this.provenBy === RecordProof.None;
    const calledMs = this.parts.clock.now();
    this.readMs = calledMs;
    const result = await store.read(kind, RECORD_NAME);
    this.hasRead = true;
    const { era, object } = result;
    if (!object) {
      if (isFirstRead && isFirstStart) this.provenBy = RecordProof.FirstStart;
      this.recorded = undefined;
      return result;
    }
    this.apply(object, era, calledMs);
    return result;
  }

  /** Applies the record as it was read by a call. */
  private apply({ spec, position }: StoredObject, era: number, calledMs: number): void {
    const { kind, logger, clock, eras } = this.parts;
    const parsed = parseRecord(spec);
    if (parsed.kind === 'malformed') {
      const { reason } = parsed;
      const { revision } = position;
      logger.error('object_malformed', { object: RECORD_NAME, kind, revision, reason });
      return;
    }
    const { contents, era: writtenEra } = parsed;
    this.noteAdded(contents.builds);
    if (writtenEra > StoreEra.None && writtenEra < era) eras.observePrevious(clock.now());
    const isSame = this.recorded?.position.equals(position) ?? false;
    const sinceMs = (isSame ? this.recorded?.sinceMs : undefined) ?? clock.now();
    const recorded = { era, ...contents, position, calledMs, sinceMs };
    this.recorded = writtenEra === era ? recorded : undefined;
    if (this.recorded) this.provenBy = RecordProof.Record;
    logger.info('builds_read', { ...textsOf(contents), era, written_era: writtenEra });
  }

  private noteAdded(builds: ServiceBuilds): void {
    const { history, clock } = this.parts;
    for (const [service, names] of builds) {
      const before = this.recorded?.builds.get(service) ?? [];
      for (const build of names)
        if (!before.includes(build)) history.note(service, build, clock.now());
    }
  }

  /** Lets some time pass before the next call. */
  private pause(): void {
    const { clock, random } = this.parts;
    if (this.isStopped) return;
    const pauseMs = Math.min(MAXIMUM_PAUSE_MS, FIRST_PAUSE_MS * 2 ** this.attempts);
    this.attempts += 1;
    this.timer = clock.setTimer(pauseMs * (1 + JITTER_SHARE * random.next()), () => {
      this.timer = undefined;
      this.onPauseEnded?.();
    });
  }
}
