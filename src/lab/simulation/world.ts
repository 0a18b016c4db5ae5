/** A whole small deployment in one process, on a virtual clock and a simulated network. */
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
import { type Hosted, SimulatedCluster, type SimulatedNodeSettings } from './simulated-cluster.js';
import type { SimulatedNetwork } from './simulated-network.js';
import type { SimulatedPlace, StandInFleet } from './stand-in-fleet.js';
import {
  WORLD_AGENTS,
  WORLD_BACKENDS,
  WORLD_ENGINES,
  WORLD_MODEL,
  WORLD_ROUTERS,
  WORLD_SERVICE,
  WORLD_WEIGHTS,
  WORLD_ZONES,
  type WorldVersion,
  worldTemplates,
} from './world-settings.js';

const MACHINE_LIST_LAG_MS = 500;
const REGION = 'region';

/** A generation taken by an engine. */
export interface EngineAcceptance {
  readonly engineId: string;
  readonly engineRequestId: string;
  readonly atMs: number;
  /** Since when the deployment was undisturbed at that moment; Infinity while it was not. */
  readonly quietSinceMs: number;
}

/** A use of kept cache that must not be. */
export interface ReuseViolation {
  readonly usedBy: string;
  readonly createdBy: string;
  readonly reason: string;
}

/** The deployment. */
export class World {
  readonly clock: VirtualClock;
  readonly network: SimulatedNetwork;
  readonly store: ObjectStore;
  readonly engines: readonly EngineCore[];
  readonly backends: readonly BackendCore[];
  readonly backendStore: BackendStore;
  readonly routers: Hosted<RouterNode>[] = [];
  readonly agents: Hosted<AgentNode>[] = [];
  readonly requests: ObservedRequest[] = [];
  readonly acceptances: EngineAcceptance[] = [];
  readonly reuseViolations: ReuseViolation[] = [];
  /** When the machine list was told that an engine leaves. */
  readonly leavingSinceMs = new Map<string, number>();
  /** Nodes whose configuration fell back. */
  readonly regressions: string[] = [];
  private readonly seenRevisions = new Map<HostClock, bigint>();
  /** Since when nothing is cut, paused or down; Infinity while something is. */
  private quietSinceMs = 0;
  private readonly cluster: SimulatedCluster;
  private readonly fleet: StandInFleet;
  private readonly tenantOfRequest = new Map<string, string>();
  private prompts = 0;

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

  /** Builds the deployment and lets it come up. */
  static async create(seed: number, protections = ALL_PROTECTIONS): Promise<World> {
    const hasher = await createHasher();
    const model = await createTokenModel();
    const cluster = new SimulatedCluster(seed, protections, hasher, model, MACHINE_LIST_LAG_MS);
    const world = new World(cluster);
    world.createPlatform();
    for (let index = 0; index < WORLD_ROUTERS; index += 1) {
      world.routers.push(world.startRouter(index));
    }
    for (let index = 0; index < WORLD_AGENTS; index += 1) {
      world.agents.push(world.startAgent(index));
    }
    const OBSERVATION_MS = 50;
    repeat(world.clock, OBSERVATION_MS, () => world.observeRevisions());
    const SETTLING_MS = 3_000;
    await world.clock.advance(SETTLING_MS);
    return world;
  }

  /** Crashes a router: its process is gone, its connections break. */
  crashRouter(index: number): void {
    const router = this.routers[index];
    if (!router || router.host.isStopped) return;
    this.cluster.crash(router);
  }

  /** Brings a crashed or stopped router back, empty. */
  restartRouter(index: number): void {
    if (!this.routers[index]?.host.isStopped) return;
    this.routers[index] = this.startRouter(index);
  }

  /** Stops a router by plan; its host ends when it is done. */
  stopRouter(index: number): Promise<void> {
    const router = this.routers[index];
    return router ? this.cluster.stopByPlan(router) : Promise.resolve();
  }

  /** Stops an agent by plan. */
  stopAgent(index: number): Promise<void> {
    const agent = this.agents[index];
    return agent ? this.cluster.stopByPlan(agent) : Promise.resolve();
  }

  restartAgent(index: number): void {
    if (!this.agents[index]?.host.isStopped) return;
    this.agents[index] = this.startAgent(index);
  }

  /** Writes a configuration as an operator would; answers its version. */
  writeTemplates(version: WorldVersion, priority: number): number {
    const present = this.store.read(TEMPLATES_OBJECT)?.version ?? 0;
    const content = JSON.stringify({ configuration: worldTemplates(version, priority) });
    const result = this.store.write(TEMPLATES_OBJECT, content, present);
    return result.kind === 'written' ? result.version : present;
  }

  get tokenModel(): TokenModel {
    return this.fleet.tokenModel;
  }

  weightsOf(version: WorldVersion): string {
    return WORLD_WEIGHTS[version];
  }

  get configurationVersion(): number {
    return this.store.read(TEMPLATES_OBJECT)?.version ?? 0;
  }

  /** Loads other weights into a running engine, which keeps the cache it has. */
  loadWeights(engineIndex: number, version: WorldVersion): void {
    const core = this.engines[engineIndex];
    if (core) core.settings.weightsDigest = WORLD_WEIGHTS[version];
  }

  setLeaving(engineIndex: number, leaving: boolean): void {
    const engineId = this.engines[engineIndex]?.settings.engineId;
    if (engineId === undefined) return;
    this.fleet.machines.setLeaving(engineId, leaving);
    if (leaving) this.leavingSinceMs.set(engineId, this.clock.now());
    else this.leavingSinceMs.delete(engineId);
  }

  /** Cuts the way between two hosts. */
  cut(left: string, right: string): void {
    this.network.cut(left, right);
    this.quietSinceMs = Number.POSITIVE_INFINITY;
  }

  /** Freezes a router. */
  pauseRouter(index: number): void {
    this.routers[index]?.host.pause();
    this.quietSinceMs = Number.POSITIVE_INFINITY;
  }

  setPlatformDown(down: boolean): void {
    this.store.faults.down = down;
    if (down) this.quietSinceMs = Number.POSITIVE_INFINITY;
    else this.noteIfQuiet();
  }

  /** Ends all cuts and pauses. */
  heal(): void {
    this.network.heal();
    for (const { host } of this.routers) host.unpause();
    this.noteIfQuiet();
  }

  /** Ends every fault, brings everything back and waits until nothing is under way. */
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
    const ALL_ENDED_LIMIT_MS = 25_000;
    const STEP_MS = 250;
    const ended = (): boolean => this.requests.every((request) => request.isEnded);
    await this.clock.advanceUntil(ended, ALL_ENDED_LIMIT_MS, STEP_MS);
    // Planned stops end soon after the last request; those processes come back too.
    const STOPS_MS = 1_000;
    await this.clock.advance(STOPS_MS);
    this.restartAll();
    const CONVERGENCE_MS = 8_000;
    await this.clock.advance(CONVERGENCE_MS);
  }

  /** Asks for a generation over a prompt with a shared beginning. */
  generate(agentIndex: number, tenant: string, branch: number, deadlineMs: number): void {
    const agent = this.agents[agentIndex];
    if (!agent || agent.stopping || !agent.host.isRunning) return;
    this.prompts += 1;
    const SHARED = 40;
    const BRANCH = 20;
    // The same text for both tenants, so that only the salt keeps their caches apart.
    const text =
      'shared beginning of all prompts. '.repeat(SHARED) +
      `branch ${branch} of them. `.repeat(BRANCH) +
      `question ${this.prompts}`;
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
      routeKey: agent.node.routeKeyOf(tenant, WORLD_MODEL, prompt, requestId),
      model: WORLD_MODEL,
      prompt,
      maxTokens: MINIMUM_TOKENS + randomInteger(this.cluster.random, TOKEN_RANGE),
    });
  }

  /** Asks for an operation, perhaps under an idempotency key that others use too. */
  operate(
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
      service: WORLD_SERVICE,
      operation,
      payload: new TextEncoder().encode('{}'),
      repeatable: operation === 'menu',
    });
  }

  private observeRevisions(): void {
    for (const { name, host, node } of [...this.routers, ...this.agents]) {
      const { revision } = node.configuration;
      const seen = this.seenRevisions.get(host) ?? 0n;
      if (revision < seen) this.regressions.push(`${name} fell from ${seen} to ${revision}`);
      this.seenRevisions.set(host, revision);
    }
  }

  private restartAll(): void {
    for (const index of this.routers.keys()) this.restartRouter(index);
    for (const index of this.agents.keys()) this.restartAgent(index);
  }

  private noteIfQuiet(): void {
    const paused = this.routers.some(({ host }) => !host.isRunning && !host.isStopped);
    if (this.store.faults.down || paused || this.network.hasCuts) return;
    if (this.quietSinceMs === Number.POSITIVE_INFINITY) this.quietSinceMs = this.clock.now();
  }

  private submit(agent: AgentNode, request: ObservedRequest['request']): void {
    const observed = new ObservedRequest(request, this.clock.now(), () => this.clock.now());
    this.requests.push(observed);
    this.tenantOfRequest.set(request.requestId, request.tenant);
    observed.handle = agent.submit(request, observed);
  }

  private createPlatform(): void {
    this.writeTemplates('v1', 0);
    for (let index = 0; index < WORLD_ENGINES; index += 1) this.createEngine(index);
    for (let index = 0; index < WORLD_BACKENDS; index += 1) this.createBackend(index);
  }

  private createEngine(index: number): void {
    const engineId = `engine-${index}`;
    const CACHE_BLOCKS = 200;
    const core = this.fleet.addEngine(
      {
        ...DEFAULT_ENGINE_SETTINGS,
        engineId,
        model: WORLD_MODEL,
        weightsDigest: WORLD_WEIGHTS.v1,
        cacheBlocks: CACHE_BLOCKS,
      },
      placeOf(index),
    );
    core.onAccept = ({ engineRequestId }) =>
      this.acceptances.push({
        engineId,
        engineRequestId,
        atMs: this.clock.now(),
        quietSinceMs: this.quietSinceMs,
      });
    core.onReuse = (audit) => this.auditReuse(audit);
  }

  private createBackend(index: number): void {
    const WORK_MS = 30;
    this.fleet.addBackend(`backend-${index}`, WORK_MS, [WORLD_SERVICE], placeOf(index));
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

  /** Tenant of the request an engine's identifier belongs to. */
  private tenantOf(engineRequestId: string): string | undefined {
    return this.tenantOfRequest.get(requestIdOf(engineRequestId));
  }

  private startRouter(index: number): Hosted<RouterNode> {
    return this.cluster.startRouter(nodeSettings(`router-${index}`, index));
  }

  private startAgent(index: number): Hosted<AgentNode> {
    return this.cluster.startAgent(nodeSettings(`agent-${index}`, index));
  }
}

function placeOf(index: number): SimulatedPlace {
  return WORLD_ZONES[index % WORLD_ZONES.length] ?? WORLD_ZONES[0];
}

function nodeSettings(name: string, index: number): SimulatedNodeSettings {
  const contacts = Array.from({ length: WORLD_ROUTERS }, (_, other) => `router-${other}`);
  return { name, zone: placeOf(index).zone, region: REGION, contacts };
}

/** The request that an engine's identifier `REQUEST.ROUTER-ATTEMPT.ENGINE-ATTEMPT` belongs to. */
export function requestIdOf(engineRequestId: string): string {
  return engineRequestId.slice(0, engineRequestId.indexOf('.'));
}
