/** One router: follows the store, joins the group, serves requests and shuts down gracefully. */
import { type Timer, repeat } from '../../runtime/clock.js';
import type { ElapsedInstant } from '../../runtime/elapsed-instant.js';
import type { ClockJump } from '../../runtime/suspension-meter.js';
import type { StoredObject } from '../../protocol/object-store/port.js';
import { ConfigurationState } from '../../state/routing/configuration-state.js';
import type { IngressLimits } from '../../state/routing/configuration.js';
import { EngineHealth } from '../../state/routing/engine-health.js';
import type { EngineRegistry } from '../../state/routing/engine-registry.js';
import { HomeRanking } from '../../state/routing/home-ranking.js';
import { CachedPrefixes } from '../../state/routing/cached-prefixes.js';
import { LoadTable } from '../../state/routing/load-table.js';
import { SendRate } from '../../state/routing/send-rate.js';
import { StoreEras } from '../../state/routing/store-eras.js';
import { StoreOutages } from '../../state/routing/store-outages.js';
import { TrafficSplit } from '../../state/routing/traffic-split.js';
import { WeightVersions } from '../../state/routing/weight-versions.js';
import { Directory } from './directory.js';
import type { CallerLocation } from './directory-addresses.js';
import { logClockJump } from './clock-jump-log.js';
import { logConfiguration } from './configuration-log.js';
import { createCoordinator } from './coordinator-setup.js';
import { buildRecordSource } from './build-record.js';
import type { CrashProtection } from './crash-protection.js';
import { createCrashProtection } from './crash-setup.js';
import { followKinds } from './followed-kinds.js';
import type { GatewayDependencies } from './gateway-dependencies.js';
import { type GatewayContext, ServiceRetryBudgets } from './gateway-context.js';
import { createRequestQueues } from './admission/request-queues.js';
import { DEFAULT_QUOTA_TOLERANCE, type GatewaySettings } from './gateway-settings.js';
import { GatewayStatistics } from './gateway-statistics.js';
import { GroupExchange } from './group-exchange.js';
import { GroupEventTarget } from './group-event-target.js';
import { type GroupMembership, SETTLING_MS } from './group-membership.js';
import { openGroup } from './group-setup.js';
import { createNoticeDiscoveries } from './engine-notices.js';
import { EngineAccess } from './engine-path/engine-access.js';
import type { EngineForwarding } from './engine-path/engine-forwarding.js';
import { LoadSharing } from './load-sharing.js';
import { type MemoryBudget, createMemoryBudget } from './memory-budget.js';
import { ListedEngines } from './listed-engines.js';
import { valueOrLog } from './object-decoder.js';
import { Rejections } from './rejections.js';
import { ResponseEndCheck } from './response-end-check.js';
import { rejectionOfHead } from './head-rejection.js';
import type { InboundRequest, Reply, RequestHead, RouterResponse } from './reply.js';
import { Shutdown, type ShutdownSchedule } from './shutdown.js';
import { RunningCalls } from './running-calls.js';
import { StoreFollowers } from './store-followers.js';
import { StoreRelay } from './store-relay/store-relay.js';
import { TrafficShare } from './traffic-share.js';
import { WeightVersionDiscovery } from './weight-version-discovery.js';
import type { WeightCoordinator } from './weight-coordinator.js';

const MAINTENANCE_PERIOD_MS = 1_000;
/** Cached prefixes of engines without a feed expire after one to two of these periods. */
const PREFIX_EXPIRY_PERIOD_MS = 6_000;

/** A router of the gateway. */
export class GatewayNode {
  readonly statistics = new GatewayStatistics();
  readonly configuration: ConfigurationState;
  private readonly listed: ListedEngines;
  private readonly registry: EngineRegistry;
  private readonly loads: LoadTable;
  private readonly health = new EngineHealth();
  private readonly cachedPrefixes = new CachedPrefixes();
  private readonly outages = new StoreOutages();
  private readonly versions: WeightVersions;
  private readonly requestRate = new SendRate();
  private readonly ownTokenRate = new SendRate();
  private readonly split = new TrafficSplit();
  private readonly sharing: LoadSharing;
  private readonly followers: StoreFollowers;
  private readonly calls = new RunningCalls();
  private readonly context: GatewayContext;
  private readonly crashes: CrashProtection;
  private readonly engineAccess: EngineAccess;
  private readonly exchange: GroupExchange;
  private readonly coordinator: WeightCoordinator;
  private readonly versionDiscovery: WeightVersionDiscovery;
  private readonly directory: Directory;
  private readonly timers: Timer[] = [];
  private isLeaving = false;
  private readonly trafficShare: TrafficShare;

  private constructor(
    private readonly settings: GatewaySettings,
    private readonly dependencies: GatewayDependencies,
    private readonly group: GroupMembership,
    private readonly relay: StoreRelay,
    forwarding: EngineForwarding,
    eras: StoreEras,
    events: GroupEventTarget,
  ) {
    const { clock, random, hasher, logger, engines } = dependencies;
    this.loads = events.loads;
    this.trafficShare = new TrafficShare(group, settings.capacity);
    this.configuration = new ConfigurationState(settings.proofLifetimeMs);
    this.listed = new ListedEngines({
      ...dependencies,
      configuration: this.configuration,
      health: this.health,
      cachedPrefixes: this.cachedPrefixes,
      group,
      statistics: this.statistics,
      drainMs: settings.drainMs,
      entryLifetimeMs: settings.entryLifetimeMs,
    });
    this.registry = this.listed.registry;
    this.listed.connect({
      onChanged: () => this.joinWhenReady(),
      onRestarted: (restart) => {
        this.coordinator.forgetIncarnation(restart.previous.id);
        this.crashes.handleRestart(restart);
      },
      onEntry: (record) => this.crashes.handleEntry(record),
      onLapsed: (record) => this.crashes.handleLapse(record),
      failPreviousIncarnation: (restart) => this.calls.failSendsToPreviousIncarnation(restart),
    });
    const { rollout, beginSlackMs } = settings;
    this.versions = new WeightVersions(rollout.graceMs, this.outages, beginSlackMs);
    this.followers = new StoreFollowers(relay.store, group, this.outages, clock, random, logger);
    this.crashes = createCrashProtection(settings, dependencies, {
      group,
      calls: this.calls,
      registry: this.registry,
      statistics: this.statistics,
      checkEngine: (endpoint) => this.engineAccess.checkEngine(endpoint),
    });
    const { registry, health, calls, statistics, outages } = this;
    this.engineAccess = new EngineAccess(
      { ...dependencies, registry, health, calls, group, statistics },
      forwarding,
    );
    const announce = (): void => group.reportNow();
    const notices = createNoticeDiscoveries({ health, statistics, clock, logger, announce });
    this.sharing = new LoadSharing({
      nodeId: group.own.nodeId,
      registry: this.registry,
      configuration: this.configuration,
      cachedPrefixes: this.cachedPrefixes,
      ownTokenRate: this.ownTokenRate,
      shareOfTraffic: () => this.trafficShare.now,
      disabled: settings.disabledFeatures ?? new Set(),
      statistics: this.statistics,
      clock,
      logger,
    });
    const homes = new HomeRanking(hasher);
    this.exchange = new GroupExchange({
      group,
      loads: this.loads,
      observations: this.sharing.observations,
      builds: buildRecordSource(settings, relay.store, eras, random),
      registry: this.registry,
      configuration: this.configuration,
      homes,
      tolerance: settings.quotaTolerance ?? DEFAULT_QUOTA_TOLERANCE,
      statistics: this.statistics,
      shareOfTraffic: () => this.trafficShare.now,
      clock,
      logger,
    });
    const hasPeers = (): boolean => group.responding.length > 1;
    const { speeds } = this.sharing.views;
    const rejections = new Rejections({ clock, random, outages, statistics, speeds, hasPeers });
    const shared = {
      clock,
      random,
      homes,
      logger,
      engines,
      enginePath: this.engineAccess.path,
      forwarding,
      group,
      configuration: this.configuration,
      ...this.listed.requestViews,
      loads: this.loads,
      health: this.health,
      ...notices,
      cachedPrefixes: this.cachedPrefixes,
      versions: this.versions,
      requestRate: this.requestRate,
      ownTokenRate: this.ownTokenRate,
      shareOfTraffic: () => this.trafficShare.now,
      slotView: () => ({ wallMs: clock.wallNow(), interval: this.trafficShare.interval }),
      split: this.split,
      retryBudgets: new ServiceRetryBudgets(settings.retryBudget),
      crashes: this.crashes,
      responseEnds: new ResponseEndCheck({ engines, clock, access: this.engineAccess }),
      rejections,
      ...this.exchange.requestViews,
      ...this.sharing.views,
      shutdown: new Shutdown(clock),
      statistics: this.statistics,
      memory: createMemoryBudget(settings, { clock, logger, statistics, rejections }),
      zone: settings.zone,
    };
    this.context = { ...shared, queues: createRequestQueues(settings, shared) };
    this.directory = new Directory(group, random, this.statistics, logger);
    this.coordinator = createCoordinator({
      settings,
      group,
      listed: this.listed,
      versions: this.versions,
      loads: this.loads,
      health: this.health,
      cachedPrefixes: this.cachedPrefixes,
      engines,
      store: relay.store,
      eras,
      requestRate: this.requestRate,
      shareOfTraffic: () => this.trafficShare.now,
      reachesEngines: () => this.hasEnginePath,
      statistics: this.statistics,
      clock,
      random,
      logger,
    });
    this.versionDiscovery = new WeightVersionDiscovery(
      {
        versions: this.versions,
        decoder: dependencies.decoder,
        startedMs: dependencies.startedMs ?? clock.now(),
        clock,
        logger,
      },
      settings.unseenVersionAgeMs,
      () => group.reportNow(),
    );
    const { coordinator, versionDiscovery, crashes } = this;
    events.connect({ coordinator, versionDiscovery, crashes, ...notices, forwarding });
  }

  /** Opens the group's socket and the store relay; call {@link start} next. */
  static async open(
    settings: GatewaySettings,
    dependencies: GatewayDependencies,
  ): Promise<GatewayNode> {
    const events = new GroupEventTarget();
    const group = await openGroup(settings, dependencies, events);
    const eras = new StoreEras(settings.isFirstStart);
    const relay = await StoreRelay.open(settings.relay, group, eras, dependencies);
    const { forwardingAddress } = settings;
    const forwarding = await EngineAccess.openForwarding(forwardingAddress, dependencies);
    return new GatewayNode(settings, dependencies, group, relay, forwarding, eras, events);
  }

  start(): void {
    followKinds(this.followers, this.settings, {
      configuration: {
        onList: (objects, proven) => {
          const applied = objects.filter((object) => this.applyConfiguration(object, proven));
          if (applied.length === 0) this.configuration.noteMissing();
        },
        onObject: (object, proven) => void this.applyConfiguration(object, proven),
        onResponse: (proven) => this.configuration.recordProof(proven),
      },
      engineList: this.listed.list,
      malformedEntries: this.listed.malformedEntries,
      versionDiscovery: this.versionDiscovery,
    });
    const { clock } = this.dependencies;
    this.timers.push(
      repeat(clock, MAINTENANCE_PERIOD_MS, () => this.runMaintenance()),
      repeat(clock, PREFIX_EXPIRY_PERIOD_MS, () => this.cachedPrefixes.expire()),
    );
    this.engineAccess.start();
    this.coordinator.start();
    this.exchange.start();
    this.crashes.start();
  }

  /** Whether callers should connect to this router. */
  get isReady(): boolean {
    return !this.isLeaving && this.configuration.current !== undefined && this.listed.list.isKnown;
  }

  /** Whether this router can open connections to engines. */
  get hasEnginePath(): boolean {
    return this.engineAccess.hasPath;
  }

  /** Connections to engines that this router forwards for others. */
  get forwardedConnections(): number {
    return this.engineAccess.forwarding.openConnections;
  }

  get runningCalls(): number {
    return this.calls.size;
  }

  /** Requests that wait in this router for capacity of engines. */
  get queuedCalls(): number {
    return this.context.queues?.size ?? 0;
  }

  /** Undefined if the bytes held for callers and engines are not bounded. */
  get memory(): MemoryBudget | undefined {
    return this.context.memory;
  }

  get limits(): IngressLimits | undefined {
    return this.configuration.current?.configuration.limits;
  }

  /** Addresses to which a caller may connect; empty until a configuration is loaded. */
  resolve(location: CallerLocation): string[] {
    if (this.configuration.current === undefined) return [];
    return this.directory.resolve(location, this.isReady);
  }

  /**
   * The rejection that the head of a request requires whatever its body is; undefined if its body may
   * be read. The configuration is asked again when it is complete.
   */
  rejectionOfHead(head: RequestHead): RouterResponse | undefined {
    return rejectionOfHead(head, this.context);
  }

  /** Serves one request. */
  handle(request: InboundRequest, reply: Reply): void {
    this.calls.start(request, reply, this.context);
  }

  /**
   * Handles a suspension of the machine or a change of its wall-clock time. The proof that the
   * configuration is current may have expired, so it is renewed without waiting for the pending
   * watch.
   */
  handleClockJump({ aheadMs }: ClockJump): void {
    const { clock, logger } = this.dependencies;
    this.statistics.clockJumps += 1;
    const lease = this.coordinator.heldLease;
    logClockJump(aheadMs, this.configuration, clock.elapsed(), lease?.revision, logger);
    if (aheadMs > 0) this.followers.renew(this.settings.kinds.configuration);
  }

  /**
   * Leaves the group, so that callers go to other routers. Running requests continue, and new ones are
   * served if they can end by the schedule.
   */
  leave(schedule: ShutdownSchedule): void {
    if (this.isLeaving) return;
    this.isLeaving = true;
    this.context.shutdown.begin(schedule);
    this.engineAccess.leave();
    this.group.leave();
    this.coordinator.leave();
  }

  /** Ends all running requests and releases all resources. */
  stop(): void {
    this.context.shutdown.end();
    this.context.queues?.stop();
    this.calls.endForShutdown();
    this.followers.stop();
    for (const timer of this.timers) timer.cancel();
    this.engineAccess.stop();
    this.coordinator.stop();
    this.exchange.stop();
    this.crashes.stop();
    this.listed.stop();
    this.relay.stop();
    this.group.stop();
  }

  /** @returns whether the object is a configuration, including a malformed one */
  private applyConfiguration(object: StoredObject, proven: ElapsedInstant): boolean {
    const { decoder, logger } = this.dependencies;
    const decoded = decoder.configuration(object);
    const configuration = valueOrLog(decoded, object, logger);
    if (!configuration) return decoded.kind === 'malformed';
    if (!this.configuration.apply(configuration, proven)) return true;
    this.split.retain(new Set(configuration.routes.map((route) => route.name)));
    logConfiguration(configuration, object.position, logger);
    this.joinWhenReady();
    return true;
  }

  private joinWhenReady(): void {
    if (!this.isReady || this.group.hasJoined) return;
    this.group.start();
    const { clock } = this.dependencies;
    this.timers.push(clock.setTimer(SETTLING_MS, () => this.listed.startFeeds()));
  }

  private runMaintenance(): void {
    this.engineAccess.maintain();
    this.loads.expire(this.dependencies.clock.now());
    this.crashes.expire();
    this.listed.updateFeeds();
  }
}
