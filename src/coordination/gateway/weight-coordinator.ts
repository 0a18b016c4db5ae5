/**
 * Rolls out the weight versions that operators name. The router that holds the lease is the
 * coordinator and sends load commands; the others are on standby and take over in a fixed order,
 * with staggered delays.
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

/** Dependencies of {@link WeightCoordinator}. */
export interface CoordinatorParts extends LoadCommandSenderParts {
  readonly versions: WeightVersions;
  readonly loads: LoadTable;
  readonly requestRate: SendRate;
}

/** Settings of {@link WeightCoordinator}. */
export interface CoordinatorSettings extends LoadCommandSenderSettings {
  readonly rollout: RolloutSettings;
  /**
   * Whether the configuration has a service of this name; engines of others get no load commands.
   */
  isKnownService(service: string): boolean;
  /** Identifiers of the responding routers, including this one, in order of succession. */
  respondingRouters(): readonly string[];
  /** Whether a router is assumed to be available; it need not have sent a recent heartbeat. */
  isAvailable(router: string): boolean;
  /** Share of the group's requests that this router receives, above 0 to 1. */
  shareOfTraffic(): number;
  /**
   * Whether this router can reach engines; otherwise it lets its lease expire, so that another
   * router becomes the coordinator.
   */
  reachesEngines(): boolean;
}

const TICK_MS = 100;
/** Time window over which the rate of version changes is computed. */
const VERSION_RATE_WINDOW_MS = 20_000;

/** Plans rollouts and, while this router holds the lease, sends load commands. */
export class WeightCoordinator {
  private readonly loadCommands: LoadCommandSender;
  private readonly succession: CoordinatorSuccession;
  private readonly report: RolloutReport;
  private behindSinceMs: number | undefined;
  private timer: Timer | undefined;
  private isActing = false;
  private isLeaving = false;
  private hasReadLeaseEarly = false;

  constructor(
    private readonly parts: CoordinatorParts,
    private readonly settings: CoordinatorSettings,
  ) {
    const { holder, respondingRouters, isAvailable } = settings;
    this.succession = new CoordinatorSuccession(holder, respondingRouters, isAvailable);
    this.report = new RolloutReport(parts.statistics, parts.logger);
    this.loadCommands = new LoadCommandSender(parts, settings);
  }

  start(): void {
    this.timer = repeat(this.parts.clock, TICK_MS, () => void this.tick());
  }

  /** Stops sending load commands; those in progress are followed to completion. */
  leave(): void {
    this.isLeaving = true;
    this.loadCommands.leave();
  }

  stop(): void {
    this.timer?.cancel();
  }

  /** Announcements for the other routers. */
  get loadAnnouncements(): WeightLoadAnnouncement[] {
    return this.loadCommands.announcements;
  }

  /** Applies an announcement of another router. */
  receiveAnnouncement(announcement: WeightLoadAnnouncement): void {
    const { registry, incarnations } = this.parts;
    if (!registry.find(announcement.engineId))
      incarnations.observeIncarnation(announcement.engineId);
    const engine = registry.find(announcement.engineId);
    if (!engine) return;
    if (announcement.isLoading) {
      this.parts.health.noteLoading(announcement.engineId, this.now - announcement.ageMs);
      this.succession.recordPeerCommand(this.now);
    } else this.loadCommands.noteVersion(engine, announcement.model, announcement.version);
  }

  /** Drops the load commands of an incarnation that has ended. */
  forgetIncarnation(engineId: string): void {
    this.loadCommands.forgetIncarnation(engineId);
  }

  /** Position of the lease record if this router holds the lease. */
  get heldLease(): StorePosition | undefined {
    return this.parts.lease.heldPosition;
  }

  /** Applies the announcement that another router holds the lease. */
  receiveLease(holder: string, position: StorePosition): void {
    this.parts.lease.observePosition(position);
    this.succession.recordLeaseHolder(holder, position);
  }

  private get now(): number {
    return this.parts.clock.now();
  }

  private async tick(): Promise<void> {
    this.loadCommands.expire();
    if (this.isActing) return;
    this.isActing = true;
    try {
      await this.loadCommands.pollLoading();
      if (!this.settings.reachesEngines()) this.behindSinceMs = undefined;
      else if (!this.isLeaving) await this.act();
    } finally {
      this.isActing = false;
    }
  }

  private async act(): Promise<void> {
    if (!this.hasWorkAhead()) {
      this.hasReadLeaseEarly = false;
      this.behindSinceMs = undefined;
      return;
    }
    await this.readLeaseEarly();
    const plans = this.plans();
    this.reportDecisions(plans);
    if (plans.every((plan) => plan.engines.length === 0)) {
      this.behindSinceMs = undefined;
      return;
    }
    this.behindSinceMs ??= this.now;
    if (!this.mayStart(this.behindSinceMs)) return;
    if (this.parts.lease.activeToken === undefined) {
      await this.parts.lease.advance();
      if (this.parts.lease.activeToken === undefined) return;
    }
    // Planned again because the call to the store took time.
    for (const { model, version, engines } of this.plans()) {
      for (const engine of engines) void this.loadCommands.send(engine, model, version);
    }
  }

  /** Whether an engine lacks the newest weights. Called on every tick, so it allocates no lists. */
  private hasWorkAhead(): boolean {
    const { versions, registry } = this.parts;
    return versions.models.some((model) => {
      const newest = versions.newest(model) ?? 0;
      return registry.hasOlderHolder(model, newest, (service) =>
        this.settings.isKnownService(service),
      );
    });
  }

  /** Whether this router may start work that has been due since `behindSinceMs`. */
  private mayStart(behindSinceMs: number): boolean {
    if (this.parts.lease.heldPosition !== undefined) return true;
    return this.now >= this.succession.earliestStartMs(behindSinceMs);
  }

  /**
   * Reads the lease as soon as an engine lacks the newest weights, so that a successor's waiting
   * time has elapsed when its rollout becomes due.
   */
  private async readLeaseEarly(): Promise<void> {
    const { lease } = this.parts;
    if (this.hasReadLeaseEarly || this.succession.precedingRouterCount > 0) return;
    this.hasReadLeaseEarly = true;
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
        isLoading: (engineId) => this.loadCommands.isLoading(engineId),
        isPaused: (engineId) => this.loadCommands.isPaused(engineId),
        requestsAt: (engineId) => loads.at(engineId).requests,
      };
      const plan = planRollout(view, this.settings.rollout, this.now);
      return plan ?? [];
    });
  }

  /** Reports rollout decisions if this router is the coordinator or first in the succession. */
  private reportDecisions(plans: readonly RolloutPlan[]): void {
    // Most ticks have no plans, and the succession requires a sort of all routers.
    if (plans.length === 0) return;
    const mayReport =
      this.parts.lease.heldPosition !== undefined || this.succession.precedingRouterCount === 0;
    if (!mayReport) return;
    for (const plan of plans) this.report.recordDecision(plan, this.observe(plan.model));
  }

  private observe(model: string): RolloutObservations {
    const { versions, requestRate } = this.parts;
    const requestsPerSecond =
      requestRate.perSecond(model, this.now) / this.settings.shareOfTraffic();
    const namesPerSecond = versions.publicationsPerSecond(model, VERSION_RATE_WINDOW_MS, this.now);
    return { requestsPerSecond, namesPerSecond };
  }
}
