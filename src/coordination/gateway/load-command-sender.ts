/**
 * Sends load commands to engines and follows each until it is completed, rejected, lost, or void
 * because the engine restarted.
 */
import { type Clock, sleep } from '../../runtime/clock.js';
import type { Logger } from '../../runtime/logger.js';
import type {
  InferencePort,
  LoadCommandResult,
  LoadCommandRequest,
  WeightState,
} from '../../protocol/inference/port.js';
import type { EngineHealth } from '../../state/routing/engine-health.js';
import {
  type Engine,
  type EngineRegistry,
  versionAt,
} from '../../state/routing/engine-registry.js';
import type { CachedPrefixes } from '../../state/routing/cached-prefixes.js';
import { type LoadCommand, LoadCommands } from '../../state/routing/load-commands.js';
import type { WeightLoadAnnouncement } from '../../state/routing/weight-load-announcements.js';
import type { EngineIncarnationTracker } from './engine-incarnation-tracker.js';
import type { GatewayStatistics } from './gateway-statistics.js';
import type { LeaseKeeper } from './lease-keeper.js';

/** Dependencies of {@link LoadCommandSender}. */
export interface LoadCommandSenderParts {
  readonly registry: EngineRegistry;
  readonly incarnations: EngineIncarnationTracker;
  readonly health: EngineHealth;
  readonly cachedPrefixes: CachedPrefixes;
  readonly engines: InferencePort;
  readonly lease: LeaseKeeper;
  readonly statistics: GatewayStatistics;
  readonly clock: Clock;
  readonly logger: Logger;
}

/** Settings of {@link LoadCommandSender}. */
export interface LoadCommandSenderSettings {
  /** Name of this router in its load commands. */
  readonly holder: string;
  /** Sends new announcements to the other routers immediately. */
  announce(): void;
  /** Time in which an announcement reaches nearly all routers, in milliseconds. */
  announcementMs(): number;
}

const POLL_PERIOD_MS = 200;

/** Why an announced load command is not sent. */
enum AbandonReason {
  /** The engine is no longer listed. */
  EngineGone = 'engine-gone',
  /** This router is stopping. */
  Leaving = 'leaving',
  /** The engine did not report its sequence number. */
  SequenceUnknown = 'sequence-unknown',
  /** The lease expired or was lost after the announcement. */
  LeaseExpired = 'lease-expired',
}

/** Sends the load commands of one router and follows their progress. */
export class LoadCommandSender {
  private readonly commands = new LoadCommands();
  private lastPollMs = -Infinity;
  private isLeaving = false;

  constructor(
    private readonly parts: LoadCommandSenderParts,
    private readonly settings: LoadCommandSenderSettings,
  ) {}

  /** Stops sending load commands; those in progress are followed to completion. */
  leave(): void {
    this.isLeaving = true;
  }

  /** Announcements for the other routers. */
  get announcements(): WeightLoadAnnouncement[] {
    return this.commands.announcements(this.now);
  }

  /** Drops the load commands of an incarnation that has ended. */
  forgetIncarnation(engineId: string): void {
    this.commands.remove(engineId);
  }

  /** Drops commands that no longer need to be announced. */
  expire(): void {
    this.commands.expire(this.now);
  }

  /** Whether an engine is loading, by a command of this router or by others' announcements. */
  isLoading(engineId: string): boolean {
    return this.commands.isLoading(engineId) ?? this.parts.health.isLoading(engineId, this.now);
  }

  /** Whether commands to an engine are paused because the last one was not accepted. */
  isPaused(engineId: string): boolean {
    return this.commands.isPaused(engineId, this.now);
  }

  /** Announces that an engine will load a version, then sends it the load command. */
  async send(engine: Engine, model: string, version: number): Promise<void> {
    const { id } = engine.record;
    const announcedMs = this.now;
    this.commands.add(id, model, version, announcedMs);
    // Lets the other routers stop sending to the engine before it rejects requests.
    this.parts.health.noteLoading(id, this.now);
    this.settings.announce();
    const [sequence] = await Promise.all([
      engine.observedLoadCommands ??
        this.stateOf(engine, model).then((state) => state?.orderSequence),
      sleep(this.parts.clock, this.settings.announcementMs()),
    ]);
    const expectedSequence = engine.observedLoadCommands ?? sequence;
    // The lease may have expired meanwhile, as its time to act also covers slow calls to the store.
    const fencingToken = await this.parts.lease.renewedToken();
    if (expectedSequence === undefined || fencingToken === undefined || !this.maySendTo(engine)) {
      this.logAbandoned(engine, model, version, expectedSequence, announcedMs);
      this.abandonCommand(id);
      return;
    }
    this.parts.health.noteLoading(id, this.now);
    this.parts.statistics.orders += 1;
    const { holder } = this.settings;
    const request = { model, version, holder, fencingToken, expectedSequence };
    const leaseAgeMs = this.parts.lease.renewalAgeMs;
    const result = await this.parts.engines.sendLoadCommand(engine.record, request);
    this.logSent(id, request, result, leaseAgeMs);
    this.handleResult(engine, request, result);
  }

  /** Polls the engines that are executing load commands. */
  async pollLoading(): Promise<void> {
    if (this.now - this.lastPollMs < POLL_PERIOD_MS) return;
    const due = this.commands.dueForPolling(this.now);
    if (due.length === 0) return;
    this.lastPollMs = this.now;
    await Promise.all(due.map(([engineId, command]) => this.pollEngine(engineId, command)));
  }

  /** Records that an engine has loaded a version. */
  noteVersion(engine: Engine, model: string, version: number): void {
    if ((versionAt(engine, model) ?? 0) < version) {
      engine.observedVersions.set(model, version);
      this.parts.cachedPrefixes.forget(engine.record.id);
    }
    this.parts.health.noteLoaded(engine.record.id);
  }

  private get now(): number {
    return this.parts.clock.now();
  }

  /** Queries an engine's weight state; undefined on failure or if the incarnation has changed. */
  private async stateOf(engine: Engine, model: string): Promise<WeightState | undefined> {
    const state = await this.parts.engines.readWeightState(engine.record, model);
    const isOfIncarnation = this.parts.incarnations.acceptResponse(
      engine.record,
      state?.startedAtMs,
      'report',
    );
    return isOfIncarnation && this.isPresent(engine) ? state : undefined;
  }

  /** Whether this incarnation of the engine is still listed. */
  private isPresent(engine: Engine): boolean {
    return this.parts.registry.find(engine.record.id) !== undefined;
  }

  private maySendTo(engine: Engine): boolean {
    return this.isPresent(engine) && !this.isLeaving;
  }

  private logSent(
    engineId: string,
    { model, version, expectedSequence, fencingToken }: LoadCommandRequest,
    result: LoadCommandResult,
    leaseAgeMs: number | undefined,
  ): void {
    this.parts.logger.info('weights_ordered', {
      engine: engineId,
      model,
      version,
      sequence: expectedSequence,
      token: fencingToken,
      lease_age_ms: leaseAgeMs,
      result: result.kind,
      status: result.kind === 'rejected' ? result.status : undefined,
    });
  }

  private logAbandoned(
    engine: Engine,
    model: string,
    version: number,
    sequence: number | undefined,
    announcedMs: number,
  ): void {
    this.parts.logger.info('weights_order_abandoned', {
      engine: engine.record.id,
      model,
      version,
      reason: this.abandonReason(engine, sequence),
      waited_ms: Math.round(this.now - announcedMs),
      lease_age_ms: this.parts.lease.renewalAgeMs,
    });
  }

  private abandonReason(engine: Engine, sequence: number | undefined): AbandonReason {
    if (!this.isPresent(engine)) return AbandonReason.EngineGone;
    if (this.isLeaving) return AbandonReason.Leaving;
    if (sequence === undefined) return AbandonReason.SequenceUnknown;
    return AbandonReason.LeaseExpired;
  }

  private handleResult(
    engine: Engine,
    request: LoadCommandRequest,
    result: LoadCommandResult,
  ): void {
    const { id } = engine.record;
    const { model, version, expectedSequence } = request;
    const startedAtMs = 'startedAtMs' in result ? result.startedAtMs : undefined;
    const isOfIncarnation = this.parts.incarnations.acceptResponse(
      engine.record,
      startedAtMs,
      'order',
    );
    if (!isOfIncarnation || !this.isPresent(engine)) {
      // Sequence numbers and versions are valid for one incarnation only.
      engine.observedLoadCommands = undefined;
      this.abandonCommand(id);
      return;
    }
    // Unless exactly this command was accepted, the engine is queried before the next command.
    engine.observedLoadCommands = result.kind === 'accepted' ? expectedSequence + 1 : undefined;
    if (result.kind === 'already-done') this.finishCommand(engine, model, version);
    if (result.kind === 'rejected') this.abandonCommand(id);
    if (result.kind === 'replaced') this.noteReplaced(id);
    if (result.kind === 'unknown') void this.resolveUnconfirmed(engine, request);
  }

  /** Marks an engine as replaced: an outdated list still contains it, but it is unreachable. */
  private noteReplaced(engineId: string): void {
    this.commands.remove(engineId);
    if (this.parts.registry.noteReplaced(engineId)) {
      this.parts.logger.info('engine_replaced', { engine: engineId, found_by: 'order' });
    }
  }

  /**
   * Abandons a command: the engine continues to serve and may get another command after a pause.
   */
  private abandonCommand(engineId: string): void {
    if (this.parts.registry.find(engineId)) this.commands.recordRefusal(engineId, this.now);
    else this.commands.remove(engineId);
    this.parts.health.noteLoaded(engineId);
  }

  /**
   * Resolves a command without a response: the engine may have accepted it, may receive it late, or
   * may never receive it. If it wasn't accepted, the next command uses the same sequence number, so
   * that only one of them is executed.
   */
  private async resolveUnconfirmed(engine: Engine, request: LoadCommandRequest): Promise<void> {
    const state = await this.stateOf(engine, request.model);
    const isAccepted = state && (state.isBusy || state.orderSequence > request.expectedSequence);
    if (!isAccepted) this.abandonCommand(engine.record.id);
  }

  private async pollEngine(engineId: string, command: LoadCommand): Promise<void> {
    const engine = this.parts.registry.find(engineId);
    if (!engine) {
      this.commands.remove(engineId);
      return;
    }
    this.parts.health.noteLoading(engineId, this.now);
    const listed = versionAt(engine, command.model) ?? 0;
    if (listed >= command.version) {
      this.finishCommand(engine, command.model, command.version);
      return;
    }
    const state = await this.stateOf(engine, command.model);
    if (state && !state.isBusy && state.version >= command.version) {
      this.finishCommand(engine, command.model, state.version);
    }
  }

  private finishCommand(engine: Engine, model: string, version: number): void {
    const tookMs = this.commands.complete(engine.record.id, this.now);
    if (tookMs !== undefined) {
      this.parts.logger.info('weights_loaded', {
        engine: engine.record.id,
        model,
        version,
        took_ms: Math.round(tookMs),
      });
    }
    this.noteVersion(engine, model, version);
    this.settings.announce();
  }
}
