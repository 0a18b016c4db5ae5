/**
 * Brings the engines to the versions of weights that operators name. One router holds the lease and
 * gives the orders; the others stand by, each a little later than the one before.
 */
import { type Timer, repeat } from '../../runtime/clock.js';
import type { StorePosition } from '../../runtime/store-position.js';
import type { Engine } from '../../state/routing/engine-registry.js';
import type { LoadTable } from '../../state/routing/load-table.js';
import { CoordinatorSuccession } from '../../state/routing/coordinator-succession.js';
import type { SendRate } from '../../state/routing/send-rate.js';
import {
  type RolloutObservations,
  type RolloutPlan,
  type RolloutSettings,
  type RolloutView,
  planRollout,
} from '../../state/routing/weight-rollout.js';
import type { WeightLoadAnnouncement } from '../../state/routing/weight-load-announcements.js';
import type { WeightVersions } from '../../state/routing/weight-versions.js';
import { RolloutReport } from './rollout-report.js';
import {
  LoadCommandSender,
  type LoadCommandSenderParts,
  type LoadCommandSenderSettings,
} from './load-command-sender.js';

/** What a coordinator works with. */
export interface CoordinatorParts extends LoadCommandSenderParts {
  readonly versions: WeightVersions;
  readonly loads: LoadTable;
  readonly requestRate: SendRate;
}

/** How a coordinator takes part. */
export interface CoordinatorSettings extends LoadCommandSenderSettings {
  readonly rollout: RolloutSettings;
  /** Whether the configuration has a service of this name: engines of others get no orders. */
  isKnownService(service: string): boolean;
  /** Identifiers of the routers heard lately, this one included, in the order in which they stand by. */
  respondingRouters(): readonly string[];
  /** Whether nothing speaks against a router that may not have been heard lately. */
  isAvailable(router: string): boolean;
  /** Share of the group's requests that come to this router, above 0 to 1. */
  shareOfTraffic(): number;
}

const TICK_MS = 100;
/** Over this span it is observed how often versions are named. */
const NAMES_SPAN_MS = 20_000;

/** The coordinator of one router. */
export class WeightCoordinator {
  private readonly orders: LoadCommandSender;
  private readonly turn: CoordinatorSuccession;
  private readonly report: RolloutReport;
  private behindSinceMs: number | undefined;
  private timer: Timer | undefined;
  private isActing = false;
  private isLeaving = false;
  private hasLookedAtLease = false;

  constructor(
    private readonly parts: CoordinatorParts,
    private readonly settings: CoordinatorSettings,
  ) {
    const { holder, respondingRouters, isAvailable } = settings;
    this.turn = new CoordinatorSuccession(holder, respondingRouters, isAvailable);
    this.report = new RolloutReport(parts.statistics, parts.logger);
    this.orders = new LoadCommandSender(parts, settings);
  }

  start(): void {
    this.timer = repeat(this.parts.clock, TICK_MS, () => void this.tick());
  }

  /** Gives no further orders; those under way are watched to their end. */
  leave(): void {
    this.isLeaving = true;
    this.orders.leave();
  }

  stop(): void {
    this.timer?.cancel();
  }

  /** What the other routers should know. */
  get news(): WeightLoadAnnouncement[] {
    return this.orders.news;
  }

  /** Takes what another router tells. */
  receiveNews(news: WeightLoadAnnouncement): void {
    const { registry, lives } = this.parts;
    if (!registry.find(news.engineId)) lives.noteIncarnation(news.engineId);
    const engine = registry.find(news.engineId);
    if (!engine) return;
    if (news.isLoading) {
      this.parts.health.noteLoading(news.engineId, this.now - news.ageMs);
      this.turn.noteOrder(this.now);
    } else this.orders.noteVersion(engine, news.model, news.version);
  }

  /** A life of an engine is over: no order to it is under way any more. */
  forgetLife(engineId: string): void {
    this.orders.forgetLife(engineId);
  }

  /** The position at which this router holds the lease. */
  get heldLease(): StorePosition | undefined {
    return this.parts.lease.heldPosition;
  }

  /** Takes that another router holds the lease. */
  receiveLease(holder: string, position: StorePosition): void {
    this.parts.lease.hear(position);
    this.turn.noteHolder(holder, position);
  }

  private get now(): number {
    return this.parts.clock.now();
  }

  private async tick(): Promise<void> {
    this.orders.expire();
    if (this.isActing) return;
    this.isActing = true;
    try {
      await this.orders.pollLoading();
      if (!this.isLeaving) await this.act();
    } finally {
      this.isActing = false;
    }
  }

  private async act(): Promise<void> {
    if (!this.hasWorkAhead()) {
      this.hasLookedAtLease = false;
      this.behindSinceMs = undefined;
      return;
    }
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
      for (const engine of engines) void this.orders.give(engine, model, version);
    }
  }

  /** Whether some engine lacks the newest weights. Asked ten times a second, so it makes no lists. */
  private hasWorkAhead(): boolean {
    const { versions, registry } = this.parts;
    return versions.models.some((model) => {
      const newest = versions.newest(model) ?? 0;
      return registry.hasHolderBefore(model, newest, (service) =>
        this.settings.isKnownService(service),
      );
    });
  }

  /** Whether it is this router's turn at work that is there since a moment. */
  private mayBegin(behindSinceMs: number): boolean {
    if (this.parts.lease.heldPosition !== undefined) return true;
    return this.now >= this.turn.beginsMs(behindSinceMs);
  }

  /**
   * Reads the lease as soon as there is work ahead, so that the time a successor must wait has passed
   * by the time the work is due.
   */
  private async lookAtLeaseEarly(): Promise<void> {
    const { lease } = this.parts;
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
        isLoading: (engineId) => this.orders.isLoading(engineId),
        isPaused: (engineId) => this.orders.isPaused(engineId),
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
    const isTurn = this.parts.lease.heldPosition !== undefined || this.turn.routersBefore === 0;
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
}
