/** Simulated deployment on a virtual clock: routers, store, engines, operator and callers. */
import { GatewayNode } from '../../coordination/gateway/gateway-node.js';
import type { GatewayStatistics } from '../../coordination/gateway/gateway-statistics.js';
import type { TenantLimit } from '../../state/routing/quota/tenant-limit.js';
import { type Hasher, createHasher } from '../../runtime/hasher.js';
import { NoopLogger } from '../../runtime/logger.js';
import { SeededRandom } from '../../runtime/random.js';
import { VirtualClock } from '../../runtime/virtual-clock.js';
import { HostClock } from '../simulation/host-clock.js';
import { SimulatedNetwork } from '../simulation/simulated-network.js';
import {
  SimulatedDatagramTransport,
  SimulatedFrameTransport,
  SimulatedSockets,
} from '../simulation/simulated-transports.js';
import { Disturbances } from './disturbances.js';
import { EngineLinks } from './engine-links.js';
import { expireEntries } from './entry-expiry.js';
import { RecordedReply } from './recorded-reply.js';
import { EngineObservations, type SimulatedEngine } from './simulated-engine.js';
import { SimulatedConfiguration } from './simulated-configuration.js';
import { SimulatedFleet } from './simulated-fleet.js';
import { SimulatedInference } from './simulated-inference.js';
import { SimulatedObjectStore } from './simulated-object-store.js';
import { SimulatedStorePort } from './simulated-store-port.js';
import { SimulatedForwarders } from './simulated-forwarding.js';
import {
  type RunningRouter,
  type Throttle,
  isReachable,
  runThrottled,
  sendStopSignal,
} from './router-stops.js';
import { SimulatedOperator } from './simulated-operator.js';
import {
  DECODER,
  type ContinuedStream,
  GENERATION_SERVICE,
  KEYS,
  PLAIN_SERVICE,
  REQUEST_BUDGET_MS,
  ROUTERS,
  type RequestKind,
  type SlowStream,
  inboundRequest,
  routerName,
  simulationSettings,
} from './simulation-fixtures.js';
import type { Acknowledgement, ObservedRequest, StoreRestoration } from './simulation-records.js';
import type { RouterView, SimulationMutation } from './simulation-mutation.js';

const GENERATION_ENGINES = 3;
const PLAIN_ENGINES = 2;
const STARTUP_MS = 1_500;
const RESTART_MS = 800;
const SETTLE_MS = 20_000;

/** A simulated deployment. */
export class GatewaySimulation {
  readonly clock = new VirtualClock();
  readonly store: SimulatedObjectStore;
  readonly fleet: SimulatedFleet;
  private readonly operator: SimulatedOperator;
  readonly observations = new EngineObservations();
  readonly requests: ObservedRequest[] = [];
  readonly acknowledgements: Acknowledgement[] = [];
  /** The configuration, as the operator writes it. */
  readonly configuration: SimulatedConfiguration;
  readonly disturbances = new Disturbances();
  readonly engineLinks = new EngineLinks(this.clock);
  private readonly network: SimulatedNetwork;
  private readonly sockets: SimulatedSockets;
  private readonly forwarders: SimulatedForwarders;
  private readonly routers = new Map<string, RunningRouter>();
  private readonly changeView: (view: RouterView) => RouterView;
  private seedCount = 0;

  private constructor(
    private readonly seed: number,
    private readonly hasher: Hasher,
    private readonly mutation: SimulationMutation,
  ) {
    this.store = new SimulatedObjectStore(this.clock);
    this.operator = new SimulatedOperator(this.store);
    this.configuration = new SimulatedConfiguration(
      this.store,
      this.operator,
      this.clock,
      this.acknowledgements,
    );
    this.fleet = new SimulatedFleet(this.clock, this.store, (subject) =>
      this.acknowledgements.push({ kind: 'engine-draining', subject, atMs: this.now }),
    );
    this.changeView = mutation.makeView?.(this.clock) ?? ((view) => view);
    this.network = new SimulatedNetwork(this.clock, new SeededRandom(seed));
    this.sockets = new SimulatedSockets(this.network);
    this.forwarders = new SimulatedForwarders(this.network, this.engineLinks);
  }

  static async create(seed: number, mutation: SimulationMutation = {}): Promise<GatewaySimulation> {
    const simulation = new GatewaySimulation(seed, await createHasher(), mutation);
    const limit = mutation.tenantLimit;
    for (const tenant of limit ? KEYS.keys() : [])
      simulation.configuration.limitChanges.push({ tenant, limit, atMs: 0 });
    simulation.configuration.write();
    simulation.operator.publishWeights();
    for (let index = 0; index < GENERATION_ENGINES; index += 1)
      simulation.fleet.add(GENERATION_SERVICE);
    for (let index = 0; index < PLAIN_ENGINES; index += 1) simulation.fleet.add(PLAIN_SERVICE);
    for (let index = 0; index < ROUTERS; index += 1) await simulation.startRouter(index, true);
    await simulation.clock.advance(STARTUP_MS);
    return simulation;
  }

  get routerCount(): number {
    return ROUTERS;
  }

  get routerNames(): string[] {
    return Array.from({ length: ROUTERS }, (_, index) => routerName(index));
  }

  get now(): number {
    return this.clock.now();
  }

  /**
   * Sends a request through a router, unless the router is down.
   *
   * @param body requests with the same body count as the same request; unique by default
   */
  request(
    routerIndex: number,
    kind: RequestKind,
    tenant: string,
    keyIndex: number,
    body?: string,
    continued?: ContinuedStream,
    slowStream?: SlowStream,
  ): void {
    const name = routerName(routerIndex);
    const router = this.routers.get(name);
    const key = KEYS.get(tenant)?.[keyIndex];
    if (!router || key === undefined) return;
    if (!isReachable(router) && !this.mutation.keepsRequestsOfPaused) return;
    const id = `request-${this.requests.length}`;
    const request: ObservedRequest = {
      ...{ id, kind, tenant, key, router: name, sentMs: this.now, continued },
      reply: new RecordedReply(this.clock),
      readMs: undefined,
      body,
      budgetMs: slowStream?.budgetMs ?? REQUEST_BUDGET_MS,
    };
    this.requests.push(request);
    router.host.deliver(() => {
      request.readMs = this.now;
      const inbound = inboundRequest(id, kind, key, this.now, body, continued, slowStream);
      router.node.handle(inbound, request.reply);
    });
  }

  /** Closes the caller's connection of one of the last requests. */
  disconnectCaller(back: number): void {
    this.requests.at(-1 - back)?.reply.disconnect();
  }

  /** Resets the callers' connections of a router that goes on running. */
  resetCallers(index: number): void {
    const name = routerName(index);
    this.interrupt(name, 0);
    for (const request of this.requests) if (request.router === name) request.reply.reset();
  }

  /** Sum of a counter over the running routers. */
  totalOf(counter: 'enginePausesObserved'): number {
    const routers = [...this.routers.values()];
    return routers.reduce((sum, { node }) => sum + node.statistics[counter], 0);
  }

  /** Counters of a running router. */
  statistics(index: number): GatewayStatistics {
    return this.nodeOf(index).statistics;
  }

  /** Requests that wait in a running router. */
  queuedCalls(index: number): number {
    return this.nodeOf(index).queuedCalls;
  }

  /** Ends a router's process in an orderly way; its callers get their responses. */
  endRouter(index: number): void {
    this.nodeOf(index).stop();
  }

  engine(index: number): SimulatedEngine {
    return this.fleet.engine(index);
  }

  /** Sets the limit of requests per second that an engine announces; undefined removes it. */
  limitEngine(index: number, perSecond: number | undefined): void {
    const engine = this.engine(index);
    if (!engine.isRunning) return;
    engine.limitPerSecond = perSecond;
    this.observations.limits.push({ engineId: engine.id, perSecond, atMs: this.now });
  }

  /** Removes a tenant's key or adds it again, as the operator. */
  toggleKey(tenant: string, keyIndex: number): void {
    this.configuration.toggleKey(tenant, keyIndex);
  }

  /** Changes a tenant's limit, as the operator; undefined removes it. */
  limitTenant(tenant: string, limit: TenantLimit | undefined): void {
    this.configuration.limitTenant(tenant, limit);
  }

  publishWeights(): void {
    if (this.store.isDown) return;
    const subject = `${this.operator.publishWeights()}`;
    this.acknowledgements.push({ kind: 'weights-published', subject, atMs: this.now });
  }

  /** Kills a router's process and restarts it after `downMs`. */
  killRouter(index: number, downMs: number): void {
    const name = routerName(index);
    const router = this.routers.get(name);
    if (!router) return;
    this.interrupt(name, downMs);
    this.endProcess(index, router, downMs);
  }

  /** Ends a router's process, which restarts after `downMs`. */
  private endProcess(index: number, router: RunningRouter, downMs: number): void {
    const name = routerName(index);
    this.routers.delete(name);
    router.host.stop();
    router.inference.breakAll();
    this.forwarders.closeOf(name);
    this.sockets.removeListeners(name);
    for (const request of this.requests) {
      if (request.router === name) request.reply.abortIfOpen();
    }
    this.clock.setTimer(downMs, () => void this.startRouter(index, false));
  }

  /**
   * Stops a router as planned: it leaves the group as soon as it notices its signal, serves, ends its
   * requests in time, and restarts after `graceMs`.
   *
   * @param noticedAfterMs time until it handles its signal, as on a busy machine
   */
  stopRouter(index: number, graceMs: number, noticedAfterMs = 0): void {
    const name = routerName(index);
    const router = this.routers.get(name);
    if (!router || router.isStopping || !isReachable(router)) return;
    router.isStopping = true;
    this.disturbances.recordStop(name, this.now, graceMs);
    const { shutdown: change } = this.mutation;
    sendStopSignal(router, { sentMs: this.now, graceMs, change }, noticedAfterMs, this.clock);
    this.clock.setTimer(graceMs, () => {
      if (this.routers.get(name) !== router) return;
      this.disturbances.recordPlannedInterruption(name, this.now, RESTART_MS);
      this.endProcess(index, router, RESTART_MS);
    });
  }

  /**
   * Leaves a router's process short of processor time for a while: it does not run in a part of each
   * period, and handles what happened then afterwards.
   */
  throttleRouter(index: number, throttle: Throttle, forMs: number): void {
    const name = routerName(index);
    const router = this.routers.get(name);
    if (!router?.host.isRunning || router.isThrottled) return;
    this.disturbances.recordPlannedInterruption(name, this.now, forMs);
    runThrottled(router, throttle, this.now + forMs, this.clock);
  }

  /** Newest published version of the weights. */
  get publishedVersion(): number {
    return this.operator.publishedVersion;
  }

  freezeRouter(index: number, forMs: number): void {
    const name = routerName(index);
    const router = this.routers.get(name);
    if (!router?.host.isRunning) return;
    this.interrupt(name, forMs);
    router.host.pause();
    this.clock.setTimer(forMs, () => router.host.unpause());
  }

  /** Suspends a router's machine, which stops its monotonic clock and timers. */
  suspendRouter(index: number, forMs: number): void {
    const name = routerName(index);
    const router = this.routers.get(name);
    if (!router?.host.isRunning) return;
    this.interrupt(name, forMs);
    router.host.suspend();
    this.clock.setTimer(forMs, () => router.host.wake());
  }

  cutFromStore(index: number, forMs: number): void {
    const name = routerName(index);
    this.disturb(name, forMs);
    this.store.unreachableFor.add(name);
    this.clock.setTimer(forMs, () => this.store.unreachableFor.delete(name));
  }

  /** Partitions a router from all others and from the store; callers still reach it. */
  isolateRouter(index: number, forMs: number): void {
    this.cutFromStore(index, forMs);
    this.partitionRouters([index], forMs);
  }

  /** Partitions routers from all others, but not from each other, the store, callers and engines. */
  partitionRouters(indices: readonly number[], forMs: number): void {
    const names = indices.map(routerName);
    for (const name of names) {
      this.disturbances.recordPartition(name, this.now, forMs);
      this.disturb(name, forMs);
      const others = this.routerNames.filter((other) => !names.includes(other));
      for (const other of others) this.network.cut(name, other);
      this.clock.setTimer(forMs, () => this.network.reconnect(name));
    }
  }

  stopStore(forMs: number): void {
    this.disturbAll(forMs);
    this.store.isDown = true;
    this.clock.setTimer(forMs, () => {
      this.store.isDown = false;
    });
  }

  /** Lets the store refuse the writes of all routers; reads and other writes succeed. */
  refuseWrites(forMs: number): void {
    this.disturbAll(forMs);
    this.store.refusesWrites = true;
    this.clock.setTimer(forMs, () => {
      this.store.refusesWrites = false;
    });
  }

  /** Stops the store and expires all engine entries; running engines write theirs again. */
  expireEntries(forMs: number, rewriteDelayMs: number): void {
    this.stopStore(forMs);
    expireEntries(this.store, this.fleet, this.clock, forMs + rewriteDelayMs);
  }

  /**
   * Stops the store and restores it from an older copy. Then the operator rewrites lost objects,
   * and engines rewrite their entries with the next heartbeats.
   */
  restoreStore({ lostMs, awayMs, writtenAgainMs }: StoreRestoration): void {
    this.stopStore(awayMs);
    // Copies are made only after start-up.
    this.store.restore(Math.max(STARTUP_MS, this.now - lostMs));
    this.clock.setTimer(awayMs, () => this.fleet.rewriteEntries());
    this.clock.setTimer(awayMs + writtenAgainMs, () => this.operator.rewriteLost());
  }

  /** Ends all faults and waits until the deployment is stable. */
  async settle(): Promise<void> {
    this.store.heal();
    this.network.heal();
    this.engineLinks.heal();
    this.fleet.loadCommandFaults.length = 0;
    this.fleet.heal();
    for (const { host } of this.routers.values()) {
      host.unpause();
      host.wake();
    }
    await this.clock.advance(SETTLE_MS);
  }

  private nodeOf(index: number): GatewayNode {
    const name = routerName(index);
    const router = this.routers.get(name);
    if (!router) throw new Error(`${name} does not run`);
    return router.node;
  }

  private interrupt(router: string, forMs: number): void {
    this.disturbances.recordInterruption(router, this.now, forMs);
  }

  private disturb(router: string, forMs: number): void {
    this.disturbances.recordDisturbance(router, this.now, forMs);
  }

  private disturbAll(forMs: number): void {
    for (let index = 0; index < ROUTERS; index += 1) this.disturb(routerName(index), forMs);
  }

  private async startRouter(index: number, isFirstStart: boolean): Promise<void> {
    const name = routerName(index);
    const { countsSuspensions = true, seesEras = true } = this.mutation;
    const host = new HostClock(this.clock, { countsSuspensions });
    this.network.attach(name, host);
    this.seedCount += 1;
    const random = new SeededRandom(this.seed * 1_000 + this.seedCount);
    const link = this.engineLinks.of(name);
    const { fleet, observations, clock, forwarders } = this;
    const parts = { fleet, observations, clock, host, link, forwarders };
    const inference = new SimulatedInference(parts, name);
    const decoder = this.mutation.decoder?.(DECODER) ?? DECODER;
    const view = { engines: inference, decoder };
    const datagrams = new SimulatedDatagramTransport(this.sockets, name);
    const node = await GatewayNode.open(
      { ...simulationSettings(name), isFirstStart, ...this.mutation.settings },
      {
        clock: host,
        random,
        hasher: this.hasher,
        logger: this.mutation.logger ?? new NoopLogger(),
        datagrams: this.mutation.datagrams?.(datagrams) ?? datagrams,
        frames: new SimulatedFrameTransport(this.sockets, name, host),
        forwarding: forwarders.portOf(name, host),
        store: new SimulatedStorePort(this.store, name, host, seesEras),
        ...this.changeView(view),
      },
    );
    this.routers.set(name, { node, host, inference, isStopping: false, isThrottled: false });
    node.start();
  }
}
