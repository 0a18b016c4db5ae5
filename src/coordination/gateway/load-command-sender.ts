/**
 * Gives engines orders for new weights and follows each to its end: taken, refused, lost, done, or left behind
 * by a new life of the engine.
 */
import { type Clock, sleep } from '../../runtime/clock.js';
import type { Logger } from '../../runtime/logger.js';
import type {
  InferencePort,
  OrderResult,
  WeightOrder,
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

/** What orders work with. */
export interface LoadCommandSenderParts {
  readonly registry: EngineRegistry;
  readonly lives: EngineIncarnationTracker;
  readonly health: EngineHealth;
  readonly kept: CachedPrefixes;
  readonly engines: InferencePort;
  readonly lease: LeaseKeeper;
  readonly statistics: GatewayStatistics;
  readonly clock: Clock;
  readonly logger: Logger;
}

/** How orders are given. */
export interface LoadCommandSenderSettings {
  /** Name of this router in its orders. */
  readonly holder: string;
  /** Sends the other routers at once what is new. */
  announce(): void;
  /** Time in which an announcement reaches nearly all of them, in milliseconds. */
  announcementMs(): number;
}

const POLL_PERIOD_MS = 200;

/** The orders of one router. */
export class LoadCommandSender {
  private readonly book = new LoadCommands();
  private lastPollMs = -Infinity;
  private isLeaving = false;

  constructor(
    private readonly parts: LoadCommandSenderParts,
    private readonly settings: LoadCommandSenderSettings,
  ) {}

  /** No further order leaves this router; those under way are followed to their end. */
  leave(): void {
    this.isLeaving = true;
  }

  /** What the other routers should know. */
  get news(): WeightLoadAnnouncement[] {
    return this.book.news(this.now);
  }

  /** A life of an engine is over: no order to it is under way any more. */
  forgetLife(engineId: string): void {
    this.book.forget(engineId);
  }

  /** Drops what need not be announced any more. */
  expire(): void {
    this.book.expire(this.now);
  }

  /** Whether an engine loads, by an order of this router or as others announce. */
  isLoading(engineId: string): boolean {
    return this.book.isLoading(engineId) ?? this.parts.health.isLoading(engineId, this.now);
  }

  /** Whether an engine is left alone because it did not take the last order. */
  isPaused(engineId: string): boolean {
    return this.book.isPaused(engineId, this.now);
  }

  /** Orders an engine to take a version, after the other routers were warned. */
  async give(engine: Engine, model: string, version: number): Promise<void> {
    const { id } = engine.record;
    this.book.open(id, model, version, this.now);
    // The others stop sending to the engine before it begins to refuse.
    this.parts.health.noteLoading(id, this.now);
    this.settings.announce();
    const [sequence] = await Promise.all([
      engine.observedOrders ?? this.stateOf(engine, model).then((state) => state?.orderSequence),
      sleep(this.parts.clock, this.settings.announcementMs()),
    ]);
    const expectedSequence = engine.observedOrders ?? sequence;
    const fencingToken = this.parts.lease.activeToken;
    const mayGive = this.isPresent(engine) && !this.isLeaving;
    if (expectedSequence === undefined || fencingToken === undefined || !mayGive) {
      this.giveOrderUp(id);
      return;
    }
    this.parts.health.noteLoading(id, this.now);
    this.parts.statistics.orders += 1;
    const { holder } = this.settings;
    const order = { model, version, holder, fencingToken, expectedSequence };
    this.noteResult(engine, order, await this.parts.engines.order(engine.record, order));
  }

  /** Asks the engines under orders how far they are. */
  async pollLoading(): Promise<void> {
    if (this.now - this.lastPollMs < POLL_PERIOD_MS) return;
    const due = this.book.toPoll(this.now);
    if (due.length === 0) return;
    this.lastPollMs = this.now;
    await Promise.all(due.map(([engineId, order]) => this.pollEngine(engineId, order)));
  }

  /** An engine was found to have a version. */
  noteVersion(engine: Engine, model: string, version: number): void {
    if ((versionAt(engine, model) ?? 0) < version) {
      engine.observedVersions.set(model, version);
      this.parts.kept.forget(engine.record.id);
    }
    this.parts.health.noteLoaded(engine.record.id);
  }

  private get now(): number {
    return this.parts.clock.now();
  }

  /** What an engine answers; undefined also where another life of it answers, or is known by then. */
  private async stateOf(engine: Engine, model: string): Promise<WeightState | undefined> {
    const state = await this.parts.engines.weightState(engine.record, model);
    const isOfLife = this.parts.lives.takeAnswer(engine.record, state?.bornMs, 'report');
    return isOfLife && this.isPresent(engine) ? state : undefined;
  }

  /** Whether this life of the engine is still the one in the list. */
  private isPresent(engine: Engine): boolean {
    return this.parts.registry.find(engine.record.id) !== undefined;
  }

  private noteResult(engine: Engine, order: WeightOrder, result: OrderResult): void {
    const { id } = engine.record;
    const { model, version, expectedSequence, fencingToken } = order;
    this.parts.logger.info('weights_ordered', {
      engine: id,
      model,
      version,
      sequence: expectedSequence,
      token: fencingToken,
      result: result.kind,
      status: result.kind === 'rejected' ? result.status : undefined,
    });
    const bornMs = 'bornMs' in result ? result.bornMs : undefined;
    const isOfLife = this.parts.lives.takeAnswer(engine.record, bornMs, 'order');
    if (!isOfLife || !this.isPresent(engine)) {
      // Numbers and versions of one life say nothing of another.
      engine.observedOrders = undefined;
      this.giveOrderUp(id);
      return;
    }
    // Where it is not sure that just this order was taken, the engine is asked before the next.
    engine.observedOrders = result.kind === 'accepted' ? expectedSequence + 1 : undefined;
    if (result.kind === 'already-done') this.finishOrder(engine, model, version);
    if (result.kind === 'rejected') this.giveOrderUp(id);
    if (result.kind === 'replaced') this.noteReplaced(id);
    if (result.kind === 'unknown') void this.settleUnanswered(engine, order);
  }

  /** A list that is out of date still names the engine; no request can reach it any more. */
  private noteReplaced(engineId: string): void {
    this.book.forget(engineId);
    if (this.parts.registry.noteReplaced(engineId)) {
      this.parts.logger.info('engine_replaced', { engine: engineId, found_by: 'order' });
    }
  }

  /** Lets the engine serve on; after a pause it may be given the next order. */
  private giveOrderUp(engineId: string): void {
    if (this.parts.registry.find(engineId)) this.book.giveUp(engineId, this.now);
    else this.book.forget(engineId);
    this.parts.health.noteLoaded(engineId);
  }

  /**
   * An order without an answer may have been taken, may come late or never. Where the engine has not
   * taken it, the next one carries the same number, so that only one of the two is carried out.
   */
  private async settleUnanswered(engine: Engine, order: WeightOrder): Promise<void> {
    const state = await this.stateOf(engine, order.model);
    const isTaken = state && (state.isBusy || state.orderSequence > order.expectedSequence);
    if (!isTaken) this.giveOrderUp(engine.record.id);
  }

  private async pollEngine(engineId: string, order: LoadCommand): Promise<void> {
    const engine = this.parts.registry.find(engineId);
    if (!engine) {
      this.book.forget(engineId);
      return;
    }
    this.parts.health.noteLoading(engineId, this.now);
    const listed = versionAt(engine, order.model) ?? 0;
    if (listed >= order.version) {
      this.finishOrder(engine, order.model, order.version);
      return;
    }
    const state = await this.stateOf(engine, order.model);
    if (state && !state.isBusy && state.version >= order.version) {
      this.finishOrder(engine, order.model, state.version);
    }
  }

  private finishOrder(engine: Engine, model: string, version: number): void {
    const tookMs = this.book.finish(engine.record.id, this.now);
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
