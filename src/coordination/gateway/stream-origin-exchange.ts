/**
 * Lets a stream that a caller takes up again, at any router, go on at the build that began it. Each
 * router remembers the streams that began there. While a service has several builds, it also notifies
 * some routers chosen by the attempt's identifier (rendezvous hashing), which are asked when the
 * caller comes back elsewhere. Where a service has one build only, no router is notified.
 *
 * That a service has one build only is a statement about the time in which its streams can have begun.
 * A router that has just started can't make it alone: it takes it from the record in the store, or from
 * a router that can.
 */
import { create } from '@bufbuild/protobuf';
import { type Clock, type Timer, repeat, sleep } from '../../runtime/clock.js';
import type { Logger } from '../../runtime/logger.js';
import {
  type StreamOriginDatagram,
  encodeStreamOriginAnswer,
  encodeStreamOriginNotice,
} from '../../protocol/peer/cluster-codec.js';
import {
  StreamOriginAnswerSchema,
  type StreamOriginNotice,
  StreamOriginNoticeSchema,
  type StreamOriginQuestion,
} from '../../protocol/peer/generated/cluster_pb.js';
import { BuildHistory } from '../../state/routing/build-history.js';
import { BuildRecord, type BuildRecordSource, RecordProof } from './build-record.js';
import { BuildRecordTurns } from './build-record-turns.js';
import type { Engine, EngineRegistry } from '../../state/routing/engine-registry.js';
import type { HomeRanking } from '../../state/routing/home-ranking.js';
import {
  ORIGIN_RETENTION_MS,
  type StreamOrigin,
  StreamOrigins,
} from '../../state/routing/stream-origins.js';
import type { QuotaGroup } from './quota/quota-group.js';
import {
  type BuildKnowledge,
  type OnOriginFinding,
  type OriginFinding,
  RECORD_TIMEOUT_MS,
  StreamOriginQuestions,
} from './stream-origin-questions.js';

/** Dependencies of {@link StreamOriginExchange}. */
export interface StreamOriginParts {
  /** Origins are kept by the routers that may own quota accounts: all routers know the same ones. */
  readonly group: Pick<
    QuotaGroup,
    'ownAddress' | 'quotaOwnerAddresses' | 'otherRouterAddresses' | 'isSettled' | 'send'
  >;
  /** Where the builds of services are kept for routers that start later. */
  readonly builds: BuildRecordSource;
  readonly registry: EngineRegistry;
  readonly homes: HomeRanking;
  readonly clock: Clock;
  readonly logger: Logger;
}

/** Why a router holds its history of builds for complete. */
export enum HistorySource {
  /** It has run for as long as a stream can be taken up. */
  Age = 'age',
  /** The record of builds in the store. */
  Record = 'record',
  /** The deployment starts for the first time: the settings say so, and there was no record. */
  FirstStart = 'first-start',
  /** It is not complete. */
  None = 'none',
}

const HISTORY_SOURCES: Record<RecordProof, HistorySource> = {
  [RecordProof.Record]: HistorySource.Record,
  [RecordProof.FirstStart]: HistorySource.FirstStart,
  [RecordProof.None]: HistorySource.None,
};

/** Routers that keep the origin of a stream: several, since routers fail together. */
const HOLDERS = 3;
/** Time for which streams wait for the first read of the record, after the first that waits. */
const FIRST_READ_MS = 1_000;
const FIRST_READ_STEP_MS = 50;
/** Time that a stream waits for an engine of its build to be seen; changes of engines come in batches. */
const ENGINE_WAIT_MS = 400;
const ENGINE_WAIT_STEP_MS = 25;
/** Many entries of engines may change at once, as at a start. */
const UPDATE_INTERVAL_MS = 100;
const MAINTENANCE_INTERVAL_MS = 1_000;
/** Origins in one datagram. */
const MAXIMUM_NOTICE_ENTRIES = 24;

/** Announces and finds the origins of streams. */
export class StreamOriginExchange {
  private readonly origins: StreamOrigins;
  private readonly history = new BuildHistory(ORIGIN_RETENTION_MS);
  private readonly questions: StreamOriginQuestions;
  private registryVersion = -1;
  private updatedMs = -Infinity;
  private readonly startedMs: number;
  private readonly record: BuildRecord;
  private readonly turns: BuildRecordTurns;
  private maintenanceTimer: Timer | undefined;
  /** Time at which the first stream waited for a read of the record. */
  private firstWaitMs: number | undefined;
  private firstRead: Promise<void> | undefined;

  constructor(private readonly parts: StreamOriginParts) {
    const { clock, logger, builds } = parts;
    this.origins = new StreamOrigins(() => clock.now());
    this.startedMs = clock.now();
    this.record = new BuildRecord({ ...builds, history: this.history, clock, logger });
    this.record.onPauseEnded = () => this.update();
    this.turns = new BuildRecordTurns(this.record, parts);
    const knowledge: BuildKnowledge = {
      isMixed: (service) => this.isMixed(service),
      findingWithout: (service, isStated) => this.findingWithout(service, isStated),
      confirm: () => this.record.confirm(),
    };
    this.questions = new StreamOriginQuestions({ ...parts, knowledge });
  }

  start(): void {
    this.record.start();
    this.maintenanceTimer ??= repeat(this.parts.clock, MAINTENANCE_INTERVAL_MS, () =>
      this.update(),
    );
  }

  /** Applies changes of the engines. */
  private refresh(): void {
    const { registry, clock } = this.parts;
    const isRecent = clock.now() - this.updatedMs < UPDATE_INTERVAL_MS;
    if (this.registryVersion !== registry.version && !isRecent) this.update();
  }

  private update(): void {
    const { registry, clock } = this.parts;
    this.registryVersion = registry.version;
    this.updatedMs = clock.now();
    for (const service of this.history.update(registry.records, this.updatedMs)) {
      // Streams that began while the service had one build may be taken up from now on.
      this.notifyHolders(this.origins.ownOf(service));
    }
    this.turns.update(this.isHistoryKnown);
  }

  /** Why every build within the retention is in the history, if it is. */
  get historySource(): HistorySource {
    const ageMs = this.parts.clock.now() - this.startedMs;
    if (ageMs >= ORIGIN_RETENTION_MS) return HistorySource.Age;
    return HISTORY_SOURCES[this.record.proof];
  }

  /** Whether every build within the retention is in the history. */
  private get isHistoryKnown(): boolean {
    return this.historySource !== HistorySource.None;
  }

  /**
   * The wait of a stream that may be taken up later, before it is placed: a router that has not read the
   * record since its start does not know where the stream may begin. Undefined if it need not wait; it is
   * placed after `RECORD_TIMEOUT_MS` in any case.
   */
  get newStreamWait(): Promise<void> | undefined {
    if (this.record.wasRead) return undefined;
    const nowMs = this.parts.clock.now();
    this.firstWaitMs ??= nowMs;
    if (nowMs - this.firstWaitMs >= FIRST_READ_MS) return undefined;
    this.firstRead ??= this.readFirst().finally(() => (this.firstRead = undefined));
    return this.firstRead;
  }

  /** Reads the record a few times while streams wait: the store may reject calls at once. */
  private async readFirst(): Promise<void> {
    for (let waitedMs = 0; waitedMs < RECORD_TIMEOUT_MS; waitedMs += FIRST_READ_STEP_MS) {
      const step = sleep(this.parts.clock, FIRST_READ_STEP_MS);
      await Promise.race([this.record.readFirst(), step]);
      if (this.record.wasRead) return;
      await step;
    }
  }

  /**
   * Engines at which a stream that may be taken up later may begin: those whose build is in the record,
   * so that its stream is never joined to another build after all routers were killed. If none is, those
   * whose build was in it when it was last read, or else those of the builds that this router has seen
   * for longest: others may write a record without a build that has just come. So a stream may wait for
   * room, or be rejected, although engines of a build that has just come have some, while the store
   * takes no record.
   */
  enginesForNewStream(service: string, engines: readonly Engine[]): readonly Engine[] {
    this.refresh();
    const isSeen = this.registryVersion === this.parts.registry.version;
    if (isSeen && this.record.isCurrent) return engines;
    const withBuild = (isEligible: (build: string) => boolean): readonly Engine[] =>
      engines.filter(({ record: { build } }) => build === undefined || isEligible(build));
    const recorded = withBuild((build) => this.record.holds(service, build));
    if (recorded.length > 0) return recorded;
    const listed = withBuild((build) => this.record.lists(service, build));
    if (listed.length > 0) return listed;
    const builds = new Set(engines.flatMap(({ record: { build } }) => build ?? []));
    const earliest = this.history.earliestOf(service, builds);
    const seen = withBuild((build) => earliest.has(build));
    return seen.length > 0 ? seen : engines;
  }

  /** Records that the first event of a stream was passed on. */
  note(attemptId: string, origin: StreamOrigin): void {
    this.origins.noteOwn(attemptId, origin);
    if (this.isMixed(origin.service)) this.notifyHolders([[attemptId, origin]]);
  }

  /**
   * Finds where a stream began.
   *
   * @param attemptId the attempt that brought the first event; undefined if the caller states none
   * @param service the service that would serve the stream
   */
  find(attemptId: string | undefined, service: string, onFound: OnOriginFinding): void {
    const known = attemptId === undefined ? undefined : this.origins.find(attemptId);
    if (known) {
      onFound({ kind: 'known', origin: known });
      return;
    }
    if (attemptId === undefined) void this.findByRecord(service).then(onFound);
    else this.ask(attemptId, service, onFound);
  }

  /**
   * The wait of a stream whose build is known until an engine of it was seen: a router that has been out
   * of step, such as one that stood still, may hear of the stream before it hears of the engines. Undefined
   * if it has seen one recently; resolves after `ENGINE_WAIT_MS` in any case.
   */
  engineWait({ service, build }: StreamOrigin): Promise<void> | undefined {
    const isSeen = (): boolean => {
      if (build === undefined || this.history.hadEngine(service, build)) return true;
      const engines = this.parts.registry.ofService(service);
      return engines.some(({ record }) => record.build === build);
    };
    if (isSeen()) return undefined;
    return this.waitUntil(isSeen).then((waitedMs) =>
      this.parts.logger.info('stream_engine_awaited', {
        service,
        build,
        seen: isSeen(),
        waited_ms: waitedMs,
      }),
    );
  }

  /** Waits for a condition for at most `ENGINE_WAIT_MS`. */
  private async waitUntil(isMet: () => boolean): Promise<number> {
    let waitedMs = 0;
    for (; !isMet() && waitedMs < ENGINE_WAIT_MS; waitedMs += ENGINE_WAIT_STEP_MS)
      await sleep(this.parts.clock, ENGINE_WAIT_STEP_MS);
    return waitedMs;
  }

  receive(body: StreamOriginDatagram): void {
    if (body.case === 'streamOriginNotice') this.receiveNotice(body.value);
    else if (body.case === 'streamOriginQuestion') this.answer(body.value);
    else this.questions.receive(body.value);
  }

  stop(): void {
    this.maintenanceTimer?.cancel();
    this.record.stop();
    this.questions.stop();
  }

  private isMixed(service: string): boolean {
    this.refresh();
    return this.history.isMixed(service, this.parts.clock.now());
  }

  /** @param isSoleBuild whether another router knows that the service has had one build only */
  private findingWithout(service: string, isSoleBuild: boolean): OriginFinding {
    if (!this.hasSoleBuild(service, isSoleBuild)) return { kind: 'unknown' };
    const [build] = this.history.recentOf(service, this.parts.clock.now());
    return { kind: 'sole-build', build };
  }

  private hasSoleBuild(service: string, isStated: boolean): boolean {
    return !this.isMixed(service) && (isStated || this.isHistoryKnown);
  }

  private otherHoldersOf(attemptId: string): string[] {
    const { homes, group } = this.parts;
    const { quotaOwnerAddresses: addresses, ownAddress } = group;
    const holders = homes.first(attemptId, addresses, (address) => address, HOLDERS);
    return holders.filter((address) => address !== ownAddress);
  }

  /** Sends origins to their holders, those of one holder together. */
  private notifyHolders(
    entries: readonly (readonly [attemptId: string, origin: StreamOrigin])[],
  ): void {
    const byHolder = new Map<string, StreamOriginNotice>();
    for (const [attemptId, { service, build }] of entries) {
      for (const holder of this.otherHoldersOf(attemptId)) {
        const notice = byHolder.get(holder) ?? create(StreamOriginNoticeSchema);
        byHolder.set(holder, notice);
        notice.attemptIds.push(attemptId);
        notice.services.push(service);
        notice.builds.push(build ?? '');
        if (notice.attemptIds.length < MAXIMUM_NOTICE_ENTRIES) continue;
        this.parts.group.send(holder, encodeStreamOriginNotice(notice));
        byHolder.delete(holder);
      }
    }
    for (const [holder, notice] of byHolder)
      this.parts.group.send(holder, encodeStreamOriginNotice(notice));
  }

  private receiveNotice({ attemptIds, services, builds }: StreamOriginNotice): void {
    for (const [index, attemptId] of attemptIds.entries()) {
      const [service, build] = [services[index], builds[index]];
      if (service === undefined || build === undefined) return;
      this.origins.noteReported(attemptId, { service, build: build === '' ? undefined : build });
    }
  }

  private ask(attemptId: string, service: string, onFound: OnOriginFinding): void {
    this.questions.ask(attemptId, service, this.otherHoldersOf(attemptId), (found) => {
      if (found.kind === 'known') this.origins.noteReported(attemptId, found.origin);
      else if (found.kind === 'unknown') this.logUnknown(attemptId, service);
      onFound(found);
    });
  }

  private answer({ attemptId, replyTo, service }: StreamOriginQuestion): void {
    const origin = this.origins.find(attemptId);
    const seen = this.findingWithout(service, true);
    const seenBuild = seen.kind === 'sole-build' ? seen.build : undefined;
    const answer = create(StreamOriginAnswerSchema, {
      attemptId,
      responder: this.parts.group.ownAddress,
      isKnown: origin !== undefined,
      service: origin?.service ?? '',
      build: (origin ? origin.build : seenBuild) ?? '',
      isSoleBuild: service !== '' && this.hasSoleBuild(service, false),
      seesOneBuild: service !== '' && !this.isMixed(service),
    });
    this.parts.group.send(replyTo, encodeStreamOriginAnswer(answer));
  }

  /** The finding for a stream of which nobody can be asked. */
  private async findByRecord(service: string): Promise<OriginFinding> {
    const finding = this.findingWithout(service, false);
    if (finding.kind === 'unknown') return finding;
    const timeout = sleep(this.parts.clock, RECORD_TIMEOUT_MS).then(() => false);
    const isRead = await Promise.race([this.record.confirm(), timeout]);
    return isRead ? this.findingWithout(service, false) : { kind: 'unknown' };
  }

  private logUnknown(attemptId: string, service: string): void {
    this.parts.logger.warn('stream_origin_unknown', {
      resumes: attemptId,
      service,
      mixed: this.isMixed(service),
      history_known: this.isHistoryKnown,
    });
  }
}
