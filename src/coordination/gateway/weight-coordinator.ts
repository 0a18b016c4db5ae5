/**
 * Brings the engines to the versions of weights that operators name. One router holds the lease and
 * gives the orders; the others stand by, each a little later than the one before.
 */
import { type Clock, type Timer, repeat, sleep } from '../../runtime/clock.js';
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
import type { KeptPrefixes } from '../../state/routing/kept-prefixes.js';
import type { LoadTable } from '../../state/routing/load-table.js';
import { type GivenOrder, OrderBook } from '../../state/routing/order-book.js';
import { OrderTurn } from '../../state/routing/order-turn.js';
import type { SendRate } from '../../state/routing/send-rate.js';
import {
  type RolloutObservations,
  type RolloutPlan,
  type RolloutSettings,
  type RolloutView,
  planRollout,
} from '../../state/routing/weight-rollout.js';
import type { WeightsNews } from '../../state/routing/weights-news.js';
import type { WeightVersions } from '../../state/routing/weight-versions.js';
import type { EngineLives } from './engine-lives.js';
import type { GatewayStatistics } from './gateway-statistics.js';
import type { LeaseKeeper } from './lease-keeper.js';
import { RolloutReport } from './rollout-report.js';

/** What a coordinator works with. */
export interface CoordinatorParts {
  readonly registry: EngineRegistry;
  readonly lives: EngineLives;
  readonly versions: WeightVersions;
  readonly loads: LoadTable;
  readonly health: EngineHealth;
  readonly kept: KeptPrefixes;
  readonly engines: InferencePort;
  readonly lease: LeaseKeeper;
  readonly requestRate: SendRate;
  readonly statistics: GatewayStatistics;
  readonly clock: Clock;
  readonly logger: Logger;
}

/** How a coordinator takes part. */
export interface CoordinatorSettings {
  readonly holder: string;
  readonly rollout: RolloutSettings;
  /** Whether the configuration has a service of this name: engines of others get no orders. */
  isKnownService(service: string): boolean;
  /** Identifiers of the routers heard lately, this one included, in the order in which they stand by. */
  respondingRouters(): readonly string[];
  /** Whether nothing speaks against a router that may not have been heard lately. */
  isAvailable(router: string): boolean;
  /** Share of the group's requests that come to this router, above 0 to 1. */
  shareOfTraffic(): number;
  /** Sends the other routers at once what is new. */
  announce(): void;
  /** Time in which an announcement reaches nearly all of them, in milliseconds. */
  announcementMs(): number;
}

const TICK_MS = 100;
/** Over this span it is observed how often versions are named. */
const NAMES_SPAN_MS = 20_000;
const POLL_PERIOD_MS = 200;

/** The coordinator of one router. */
export class WeightCoordinator {
  private readonly orders = new OrderBook();
  private readonly turn: OrderTurn;
  private readonly report: RolloutReport;
  private behindSinceMs: number | undefined;
  private timer: Timer | undefined;
  private isActing = false;
  private isLeaving = false;
  private hasLookedAtLease = false;
  private lastPollMs = -Infinity;

  constructor(
    private readonly parts: CoordinatorParts,
    private readonly settings: CoordinatorSettings,
  ) {
    const { holder, respondingRouters, isAvailable } = settings;
    this.turn = new OrderTurn(holder, respondingRouters, isAvailable);
    this.report = new RolloutReport(parts.statistics, parts.logger);
  }

  start(): void {
    this.timer = repeat(this.parts.clock, TICK_MS, () => void this.tick());
  }

  /** Gives no further orders; those under way are watched to their end. */
  leave(): void {
    this.isLeaving = true;
  }

  stop(): void {
    this.timer?.cancel();
  }

  /** What the other routers should know. */
  get news(): WeightsNews[] {
    return this.orders.news(this.now);
  }

  /** Takes what another router tells. */
  receiveNews(news: WeightsNews): void {
    const { registry, lives } = this.parts;
    if (!registry.find(news.engineId)) lives.noteIncarnation(news.engineId);
    const engine = registry.find(news.engineId);
    if (!engine) return;
    if (news.isLoading) {
      this.parts.health.noteLoading(news.engineId, this.now - news.ageMs);
      this.turn.noteOrder(this.now);
    } else this.noteVersion(engine, news.model, news.version);
  }

  /** A life of an engine is over: no order to it is under way any more. */
  forgetLife(engineId: string): void {
    this.orders.forget(engineId);
  }

  /** The revision under which this router holds the lease. */
  get heldLease(): number | undefined {
    return this.parts.lease.heldRevision;
  }

  /** Takes that another router holds the lease. */
  receiveLease(holder: string, revision: number): void {
    this.parts.lease.hear(revision);
    this.turn.noteHolder(holder, revision);
  }

  private get now(): number {
    return this.parts.clock.now();
  }

  private async tick(): Promise<void> {
    this.orders.expire(this.now);
    if (this.isActing) return;
    this.isActing = true;
    try {
      await this.pollLoading();
      if (!this.isLeaving) await this.act();
    } finally {
      this.isActing = false;
    }
  }

  private async act(): Promise<void> {
    await this.lookAtLeaseEarly();
    const plans = this.plans();
    this.tellDecisions(plans);
    if (plans.every((plan) => plan.engines.length === 0)) {
      this.behindSinceMs = undefined;
      return;
    }
    this.behindSinceMs ??= this.now;
    if (!this.mayBegin(this.behindSinceMs)) return;
    if (this.parts.lease.activeToken === undefined) {
      await this.parts.lease.advance();
      if (this.parts.lease.activeToken === undefined) return;
    }
    // Planned again: the call to the store took time.
    for (const { model, version, engines } of this.plans()) {
      for (const engine of engines) void this.order(engine, model, version);
    }
  }

  /** Whether it is this router's turn at work that is there since a moment. */
  private mayBegin(behindSinceMs: number): boolean {
    if (this.parts.lease.heldRevision !== undefined) return true;
    return this.now >= this.turn.beginsMs(behindSinceMs);
  }

  /**
   * Reads the lease as soon as there is work ahead, so that the time a successor must wait has passed
   * by the time the work is due.
   */
  private async lookAtLeaseEarly(): Promise<void> {
    const { versions, lease } = this.parts;
    const hasWorkAhead = versions.models.some((model) =>
      this.holdersOf(model).some((engine) => isBehind(engine, model, versions)),
    );
    if (!hasWorkAhead) {
      this.hasLookedAtLease = false;
      return;
    }
    if (this.hasLookedAtLease || this.turn.routersBefore > 0) return;
    this.hasLookedAtLease = true;
    if (lease.isUnknown) await lease.advance();
  }

  private holdersOf(model: string): Engine[] {
    const holders = this.parts.registry.holdersOf(model);
    return holders.filter(({ record }) => this.settings.isKnownService(record.service));
  }

  private plans(): RolloutPlan[] {
    const { versions, loads } = this.parts;
    return versions.models.flatMap((model) => {
      const view: RolloutView = {
        model,
        engines: this.holdersOf(model),
        versions,
        observed: this.observe(model),
        isLoading: (engineId) => this.isLoading(engineId),
        isPaused: (engineId) => this.orders.isPaused(engineId, this.now),
        requestsAt: (engineId) => loads.at(engineId).requests,
      };
      const plan = planRollout(view, this.settings.rollout, this.now);
      return plan ?? [];
    });
  }

  /** Decisions are told by the router whose turn it is. */
  private tellDecisions(plans: readonly RolloutPlan[]): void {
    // Most ticks have nothing to decide; whose turn it is costs a sort of all routers.
    if (plans.length === 0) return;
    const isTurn = this.parts.lease.heldRevision !== undefined || this.turn.routersBefore === 0;
    if (!isTurn) return;
    for (const plan of plans) this.report.tell(plan, this.observe(plan.model));
  }

  private observe(model: string): RolloutObservations {
    const { versions, requestRate } = this.parts;
    const requestsPerSecond =
      requestRate.perSecond(model, this.now) / this.settings.shareOfTraffic();
    const namesPerSecond = versions.namesPerSecond(model, NAMES_SPAN_MS, this.now);
    return { requestsPerSecond, namesPerSecond };
  }

  private isLoading(engineId: string): boolean {
    return this.orders.isLoading(engineId) ?? this.parts.health.isLoading(engineId, this.now);
  }

  private async order(engine: Engine, model: string, version: number): Promise<void> {
    const { id } = engine.record;
    this.orders.open(id, model, version, this.now);
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
    this.orders.forget(engineId);
    if (this.parts.registry.noteReplaced(engineId)) {
      this.parts.logger.info('engine_replaced', { engine: engineId, found_by: 'order' });
    }
  }

  /** Lets the engine serve on; after a pause it may be given the next order. */
  private giveOrderUp(engineId: string): void {
    if (this.parts.registry.find(engineId)) this.orders.giveUp(engineId, this.now);
    else this.orders.forget(engineId);
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

  /** Asks the engines under orders how far they are. */
  private async pollLoading(): Promise<void> {
    if (this.now - this.lastPollMs < POLL_PERIOD_MS) return;
    const due = this.orders.toPoll(this.now);
    if (due.length === 0) return;
    this.lastPollMs = this.now;
    await Promise.all(due.map(([engineId, order]) => this.pollEngine(engineId, order)));
  }

  private async pollEngine(engineId: string, order: GivenOrder): Promise<void> {
    const engine = this.parts.registry.find(engineId);
    if (!engine) {
      this.orders.forget(engineId);
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
    const tookMs = this.orders.finish(engine.record.id, this.now);
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

  private noteVersion(engine: Engine, model: string, version: number): void {
    if ((versionAt(engine, model) ?? 0) < version) {
      engine.observedVersions.set(model, version);
      this.parts.kept.forget(engine.record.id);
    }
    this.parts.health.noteLoaded(engine.record.id);
  }
}

function isBehind(engine: Engine, model: string, versions: WeightVersions): boolean {
  return (versionAt(engine, model) ?? 0) < (versions.newest(model) ?? 0);
}
