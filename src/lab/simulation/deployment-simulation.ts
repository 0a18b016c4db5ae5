/** A small deployment in one process, on a virtual clock and a simulated network. */
import type { AgentNode } from '../../coordination/agent/agent-node.js';
import { identifierForKey } from '../../coordination/agent/idempotency-keys.js';
import { TEMPLATES_OBJECT } from '../../coordination/router/platform-reader.js';
import type { RouterNode } from '../../coordination/router/router-node.js';
import { ALL_PROTECTIONS } from '../../coordination/router/settings.js';
import { repeat } from '../../runtime/clock.js';
import { createHasher } from '../../runtime/hasher.js';
import { randomInteger } from '../../runtime/random.js';
import type { VirtualClock } from '../../runtime/virtual-clock.js';
import type { BackendCore, BackendStore } from '../backend/backend-core.js';
import type { EngineCore } from '../engine/engine-core.js';
import { DEFAULT_ENGINE_SETTINGS } from '../engine/settings.js';
import { type TokenModel, createTokenModel } from '../engine/token-model.js';
import type { ObjectStore } from '../platform/object-store.js';
import type { HostClock } from './host-clock.js';
import { ObservedRequest } from './observed-request.js';
import {
  type HostedProcess,
  SimulatedCluster,
  type SimulatedNodeSettings,
} from './simulated-cluster.js';
import type { SimulatedNetwork } from './simulated-network.js';
import type { SimulatedLocation, FakeFleet } from './fake-fleet.js';
import {
  SIMULATION_AGENTS,
  SIMULATION_BACKENDS,
  SIMULATION_ENGINES,
  SIMULATION_MODEL,
  SIMULATION_ROUTERS,
  SIMULATION_SERVICE,
  SIMULATION_WEIGHTS,
  SIMULATION_ZONES,
  type SimulationVersion,
  simulationTemplates,
} from './simulation-settings.js';

const MACHINE_LIST_LAG_MS = 500;
const REGION = 'region';

/** A generation that an engine accepted. */
export interface EngineAcceptance {
  readonly engineId: string;
  readonly engineRequestId: string;
  readonly atMs: number;
  /** Start of the fault-free period that includes `atMs`; Infinity if a fault was active. */
  readonly undisturbedSinceMs: number;
}

/** A forbidden reuse of a cached block. */
export interface ReuseViolation {
  readonly usedBy: string;
  readonly createdBy: string;
  readonly reason: string;
}

/** A simulated deployment, its injected faults and the record that the oracle checks. */
export class DeploymentSimulation {
  readonly clock: VirtualClock;
  readonly network: SimulatedNetwork;
  readonly store: ObjectStore;
  readonly engines: readonly EngineCore[];
  readonly backends: readonly BackendCore[];
  readonly backendStore: BackendStore;
  readonly routers: HostedProcess<RouterNode>[] = [];
  readonly agents: HostedProcess<AgentNode>[] = [];
  readonly requests: ObservedRequest[] = [];
  readonly acceptances: EngineAcceptance[] = [];
  readonly reuseViolations: ReuseViolation[] = [];
  /** Times at which engines were marked as leaving on the machine list. */
  readonly leavingSinceMs = new Map<string, number>();
  /** Descriptions of nodes whose configuration returned to an older revision. */
  readonly regressions: string[] = [];
  private readonly seenRevisions = new Map<HostClock, bigint>();
  /** Start of the current period without cuts, pauses or outages; Infinity during one. */
  private undisturbedSinceMs = 0;
  private readonly cluster: SimulatedCluster;
  private readonly fleet: FakeFleet;
  private readonly tenantOfRequest = new Map<string, string>();
  private promptCount = 0;

  private constructor(cluster: SimulatedCluster) {
    this.cluster = cluster;
    this.fleet = cluster.fleet;
    this.clock = cluster.clock;
    this.network = cluster.network;
    this.store = cluster.fleet.store;
    this.engines = cluster.fleet.engines;
    this.backends = cluster.fleet.backends;
    this.backendStore = cluster.fleet.backendStore;
  }

  /** Creates the deployment and waits until it has started. */
  static async create(seed: number, protections = ALL_PROTECTIONS): Promise<DeploymentSimulation> {
    const hasher = await createHasher();
    const model = await createTokenModel();
    const cluster = new SimulatedCluster(seed, protections, hasher, model, MACHINE_LIST_LAG_MS);
    const simulation = new DeploymentSimulation(cluster);
    simulation.createPlatform();
    for (let index = 0; index < SIMULATION_ROUTERS; index += 1) {
      simulation.routers.push(simulation.startRouter(index));
    }
    for (let index = 0; index < SIMULATION_AGENTS; index += 1) {
      simulation.agents.push(simulation.startAgent(index));
    }
    const OBSERVATION_INTERVAL_MS = 50;
    repeat(simulation.clock, OBSERVATION_INTERVAL_MS, () => simulation.observeRevisions());
    const STARTUP_MS = 3_000;
    await simulation.clock.advance(STARTUP_MS);
    return simulation;
  }

  /** Terminates a router and resets its connections. */
  crashRouter(index: number): void {
    const router = this.routers[index];
    if (!router || router.host.isStopped) return;
    this.cluster.crash(router);
  }

  /** Restarts a crashed or stopped router without its earlier state. */
  restartRouter(index: number): void {
    if (!this.routers[index]?.host.isStopped) return;
    this.routers[index] = this.startRouter(index);
  }

  /** Stops a router gracefully, then its host. */
  stopRouter(index: number): Promise<void> {
    const router = this.routers[index];
    return router ? this.cluster.stopGracefully(router) : Promise.resolve();
  }

  /** Stops an agent gracefully, then its host. */
  stopAgent(index: number): Promise<void> {
    const agent = this.agents[index];
    return agent ? this.cluster.stopGracefully(agent) : Promise.resolve();
  }

  restartAgent(index: number): void {
    if (!this.agents[index]?.host.isStopped) return;
    this.agents[index] = this.startAgent(index);
  }

  /** Writes a configuration as an operator would; returns its version. */
  writeTemplates(version: SimulationVersion, priority: number): number {
    const currentVersion = this.store.read(TEMPLATES_OBJECT)?.version ?? 0;
    const content = JSON.stringify({ configuration: simulationTemplates(version, priority) });
    const result = this.store.write(TEMPLATES_OBJECT, content, currentVersion);
    return result.kind === 'written' ? result.version : currentVersion;
  }

  get tokenModel(): TokenModel {
    return this.fleet.tokenModel;
  }

  weightsOf(version: SimulationVersion): string {
    return SIMULATION_WEIGHTS[version];
  }

  get configurationVersion(): number {
    return this.store.read(TEMPLATES_OBJECT)?.version ?? 0;
  }

  /** Loads other weights into a running engine without clearing its cache. */
  loadWeights(engineIndex: number, version: SimulationVersion): void {
    const core = this.engines[engineIndex];
    if (core) core.settings.weightsDigest = SIMULATION_WEIGHTS[version];
  }

  setLeaving(engineIndex: number, leaving: boolean): void {
    const engineId = this.engines[engineIndex]?.settings.engineId;
    if (engineId === undefined) return;
    this.fleet.machines.setLeaving(engineId, leaving);
    if (leaving) this.leavingSinceMs.set(engineId, this.clock.now());
    else this.leavingSinceMs.delete(engineId);
  }

  /** Cuts the link between two hosts. */
  cut(left: string, right: string): void {
    this.network.cut(left, right);
    this.undisturbedSinceMs = Number.POSITIVE_INFINITY;
  }

  /** Freezes a router until {@link heal}. */
  pauseRouter(index: number): void {
    this.routers[index]?.host.pause();
    this.undisturbedSinceMs = Number.POSITIVE_INFINITY;
  }

  setPlatformDown(down: boolean): void {
    this.store.faults.down = down;
    if (down) this.undisturbedSinceMs = Number.POSITIVE_INFINITY;
    else this.updateUndisturbedSince();
  }

  /** Ends all network cuts and pauses. */
  heal(): void {
    this.network.heal();
    for (const { host } of this.routers) host.unpause();
    this.updateUndisturbedSince();
  }

  /** Ends all faults, restarts all processes, and waits for requests and configurations. */
  async settle(): Promise<void> {
    this.setPlatformDown(false);
    this.store.faults.delayMs = 0;
    this.heal();
    Object.assign(this.network.faults, { jitterMs: 1, datagramLoss: 0, datagramDuplication: 0 });
    for (const core of this.engines) {
      core.setStalled(false);
      if (!core.isAlive) core.restart();
    }
    for (const core of this.backends) if (!core.isAlive) core.restart();
    this.restartAll();
    const REQUESTS_TIMEOUT_MS = 25_000;
    const STEP_MS = 250;
    const ended = (): boolean => this.requests.every((request) => request.isEnded);
    await this.clock.advanceUntil(ended, REQUESTS_TIMEOUT_MS, STEP_MS);
    // Graceful stops finish shortly after the last request; then those processes restart too.
    const SHUTDOWN_MS = 1_000;
    await this.clock.advance(SHUTDOWN_MS);
    this.restartAll();
    const CONVERGENCE_MS = 8_000;
    await this.clock.advance(CONVERGENCE_MS);
  }

  /** Submits a generation whose prompt shares a prefix with the others. */
  submitGeneration(agentIndex: number, tenant: string, branch: number, deadlineMs: number): void {
    const agent = this.agents[agentIndex];
    if (!agent || agent.stopping || !agent.host.isRunning) return;
    this.promptCount += 1;
    const SHARED_REPETITIONS = 40;
    const BRANCH_REPETITIONS = 20;
    // Both tenants use the same text, so that only the salt separates their cached blocks.
    const text =
      'shared beginning of all prompts. '.repeat(SHARED_REPETITIONS) +
      `branch ${branch} of them. `.repeat(BRANCH_REPETITIONS) +
      `question ${this.promptCount}`;
    const prompt = new TextEncoder().encode(text);
    const requestId = agent.node.createRequestId();
    const MINIMUM_TOKENS = 3;
    const TOKEN_RANGE = 60;
    this.submit(agent.node, {
      kind: 'generation',
      requestId,
      tenant,
      deadlineMs,
      priority: 0,
      keyed: false,
      routeKey: agent.node.routeKeyOf(tenant, SIMULATION_MODEL, prompt, requestId),
      model: SIMULATION_MODEL,
      prompt,
      maxTokens: MINIMUM_TOKENS + randomInteger(this.cluster.random, TOKEN_RANGE),
    });
  }

  /** Submits an operation, optionally with an idempotency key that other requests use too. */
  submitOperation(
    agentIndex: number,
    tenant: string,
    operation: 'menu' | 'hold',
    key: string | undefined,
    deadlineMs: number,
  ): void {
    const agent = this.agents[agentIndex];
    if (!agent || agent.stopping || !agent.host.isRunning) return;
    const isKeyed = key !== undefined && operation === 'hold';
    const requestId = isKeyed
      ? identifierForKey(tenant, operation, key)
      : agent.node.createRequestId();
    this.submit(agent.node, {
      kind: 'operation',
      requestId,
      tenant,
      deadlineMs,
      priority: 0,
      keyed: isKeyed,
      routeKey: agent.node.operationKeyOf(requestId),
      service: SIMULATION_SERVICE,
      operation,
      payload: new TextEncoder().encode('{}'),
      repeatable: operation === 'menu',
    });
  }

  private observeRevisions(): void {
    for (const { name, host, node } of [...this.routers, ...this.agents]) {
      const { revision } = node.configuration;
      const seen = this.seenRevisions.get(host) ?? 0n;
      if (revision < seen)
        this.regressions.push(`${name} returned from revision ${seen} to ${revision}`);
      this.seenRevisions.set(host, revision);
    }
  }

  private restartAll(): void {
    for (const index of this.routers.keys()) this.restartRouter(index);
    for (const index of this.agents.keys()) this.restartAgent(index);
  }

  private updateUndisturbedSince(): void {
    const paused = this.routers.some(({ host }) => !host.isRunning && !host.isStopped);
    if (this.store.faults.down || paused || this.network.hasCuts) return;
    if (this.undisturbedSinceMs === Number.POSITIVE_INFINITY)
      this.undisturbedSinceMs = this.clock.now();
  }

  private submit(agent: AgentNode, request: ObservedRequest['request']): void {
    const observed = new ObservedRequest(request, this.clock.now(), () => this.clock.now());
    this.requests.push(observed);
    this.tenantOfRequest.set(request.requestId, request.tenant);
    observed.handle = agent.submit(request, observed);
  }

  private createPlatform(): void {
    this.writeTemplates('v1', 0);
    for (let index = 0; index < SIMULATION_ENGINES; index += 1) this.createEngine(index);
    for (let index = 0; index < SIMULATION_BACKENDS; index += 1) this.createBackend(index);
  }

  private createEngine(index: number): void {
    const engineId = `engine-${index}`;
    const CACHE_BLOCKS = 200;
    const core = this.fleet.addEngine(
      {
        ...DEFAULT_ENGINE_SETTINGS,
        engineId,
        model: SIMULATION_MODEL,
        weightsDigest: SIMULATION_WEIGHTS.v1,
        cacheBlocks: CACHE_BLOCKS,
      },
      locationOf(index),
    );
    core.onAccept = ({ engineRequestId }) =>
      this.acceptances.push({
        engineId,
        engineRequestId,
        atMs: this.clock.now(),
        undisturbedSinceMs: this.undisturbedSinceMs,
      });
    core.onReuse = (audit) => this.auditReuse(audit);
  }

  private createBackend(index: number): void {
    const WORK_MS = 30;
    this.fleet.addBackend(`backend-${index}`, WORK_MS, [SIMULATION_SERVICE], locationOf(index));
  }

  private auditReuse(audit: Parameters<NonNullable<EngineCore['onReuse']>>[0]): void {
    const { usedBy, createdBy, createdWeights, usedWeights } = audit;
    if (createdWeights !== usedWeights) {
      this.reuseViolations.push({ usedBy, createdBy, reason: 'older weights' });
    }
    if (this.tenantOf(usedBy) !== this.tenantOf(createdBy)) {
      this.reuseViolations.push({ usedBy, createdBy, reason: 'another tenant' });
    }
  }

  /** Returns the tenant of the request that an engine's request identifier belongs to. */
  private tenantOf(engineRequestId: string): string | undefined {
    return this.tenantOfRequest.get(requestIdOf(engineRequestId));
  }

  private startRouter(index: number): HostedProcess<RouterNode> {
    return this.cluster.startRouter(nodeSettings(`router-${index}`, index));
  }

  private startAgent(index: number): HostedProcess<AgentNode> {
    return this.cluster.startAgent(nodeSettings(`agent-${index}`, index));
  }
}

function locationOf(index: number): SimulatedLocation {
  return SIMULATION_ZONES[index % SIMULATION_ZONES.length] ?? SIMULATION_ZONES[0];
}

function nodeSettings(name: string, index: number): SimulatedNodeSettings {
  const contacts = Array.from({ length: SIMULATION_ROUTERS }, (_, other) => `router-${other}`);
  return { name, zone: locationOf(index).zone, region: REGION, contacts };
}

/** Returns REQUEST from an engine's identifier `REQUEST.ROUTER-ATTEMPT.ENGINE-ATTEMPT`. */
export function requestIdOf(engineRequestId: string): string {
  return engineRequestId.slice(0, engineRequestId.indexOf('.'));
}
