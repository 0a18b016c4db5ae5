/** The processes of one soak: routers, engines, the store, and the proxies between them. */
import { type ChildProcess, fork } from 'node:child_process';
import { fileURLToPath } from 'node:url';
import type { CallerKey } from './callers.js';
import {
  GENERATION_SLOTS,
  LONG_STREAM_SLOTS,
  deployedConfiguration,
} from './deployed-configuration.js';
import { EngineFleet } from './engine-fleet.js';
import { findFreePorts } from './free-ports.js';
import { listeningPort } from './listening-port.js';
import type {
  EngineCapacity,
  EngineReport,
  ReportedFall,
  ReportedLimit,
  ReportedNotice,
  ReportedRun,
  ReportedRunEnd,
  StoreCommand,
} from './messages.js';
import { MALFORMED_NAME_PREFIX } from './malformed-entries.js';
import { BOUNDS, RouterProcess } from './router-process.js';
import { TcpProxy } from './tcp-proxy.js';
import { LIMITED_TENANT, TENANT_LIMIT } from './tenant-quotas.js';
import { MODEL, Service, WireKind, callJson } from './wire.js';

/** Events reported by engines, and changes and faults made by the soak. */
export interface Observations {
  readonly runs: ReportedRun[];
  readonly runEnds: ReportedRunEnd[];
  /** Times at which processes of engines ended, by the name of the engine. */
  readonly engineExits: { readonly name: string; readonly atMs: number }[];
  readonly arrivals: {
    readonly requestId: string;
    readonly engineId: string;
    readonly service: string;
    readonly atMs: number;
  }[];
  readonly notices: ReportedNotice[];
  readonly limits: ReportedLimit[];
  /** Spans in which plain engines were brittle, and their number. */
  readonly brittlePeriods: {
    readonly fromMs: number;
    untilMs: number | undefined;
    readonly engines: number;
  }[];
  readonly falls: ReportedFall[];
  /** Time at which the store accepted that an engine drains, by incarnation. */
  readonly drains: Map<string, number>;
  readonly loadCommands: Extract<EngineReport, { kind: 'order' }>[];
  /** Requests that crashed an engine. */
  readonly crashes: Extract<EngineReport, { kind: 'crash' }>[];
  /** Requests that were addressed to an engine other than the one that received them. */
  readonly misdirectedRequests: Extract<EngineReport, { kind: 'stray' }>[];
  /** Removals of API keys; `untilMs` is set when the key is restored. */
  readonly keyRemovals: {
    readonly key: string;
    readonly atMs: number;
    untilMs: number | undefined;
  }[];
  /** Time-outs of all routes, from the time at which each may apply. */
  readonly routeTimeouts: { readonly timeoutMs: number; readonly atMs: number }[];
  /** Spans in which an engine, or the link to it, was faulty. */
  readonly engineFaults: {
    readonly fromMs: number;
    readonly untilMs: number;
    /** Engine whose link was faulty; undefined if the engine itself was. */
    readonly linkTo: string | undefined;
  }[];
  /** Changes of tenants' isolation: when each may apply, and when the store had accepted it. */
  readonly isolationChanges: {
    readonly tenant: string;
    readonly isIsolated: boolean;
    readonly writtenMs: number;
    readonly atMs: number;
  }[];
  /** Spans in which the store was faulty. */
  readonly storeFaults: { readonly fromMs: number; untilMs: number | undefined }[];
}

/** Size of a soak. */
export interface DeploymentSize {
  readonly routers: number;
  readonly plainEngines: number;
  readonly generationEngines: number;
  readonly plainCapacity: EngineCapacity;
  /** See {@link EngineFleetParts.hasUniformEngines}. */
  readonly hasUniformEngines: boolean;
  /** See {@link EngineFleetParts.hasReleases}. */
  readonly hasReleases: boolean;
  /** Whether a tenant has a limit. */
  readonly hasTenantQuotas: boolean;
  /** Whether streams last for seconds, and routers are killed at the end of their grace period. */
  readonly hasLongStreams: boolean;
}

const STORE_PROGRAM = fileURLToPath(new URL('./store-program.js', import.meta.url));
const SEED_COUNT = 3;
/** Last octet of the first router's address. */
const FIRST_HOST_NUMBER = 10;
/** Frontend, directory, readiness, gossip and forwarded connections. */
const PORTS_PER_ROUTER = 5;
const WRITE_RETRY_MS = 100;
/** Delay from the return of a restored store to the operator's rewrite of lost objects. */
const REWRITE_DELAY_MS = 100;

const ROUTE_TIMEOUT_MS = 3_000;
/** Exceeds the length of each stream. */
const LONG_ROUTE_TIMEOUT_MS = 12_000;
const IDLE_TIMEOUT_MS = 15_000;

/** A running deployment of routers, engines and a store. */
export class Deployment {
  readonly routers: RouterProcess[] = [];
  readonly observations: Observations = {
    runs: [],
    runEnds: [],
    engineExits: [],
    arrivals: [],
    notices: [],
    limits: [],
    brittlePeriods: [],
    falls: [],
    drains: new Map(),
    loadCommands: [],
    crashes: [],
    misdirectedRequests: [],
    keyRemovals: [],
    routeTimeouts: [],
    engineFaults: [],
    isolationChanges: [],
    storeFaults: [],
  };
  private readonly storeProxies: TcpProxy[] = [];
  readonly fleet: EngineFleet;
  private readonly hasTenantQuotas: boolean;
  private readonly hasLongStreams: boolean;
  private configurationVersion = 0;
  private idleTimeoutMs = IDLE_TIMEOUT_MS;
  private weightsVersion = 1;
  private malformedEntryCount = 0;
  private readonly removedKeys = new Set<string>();
  private readonly isolatedTenants = new Set<string>();
  private isEnded = false;
  private lastWrite = Promise.resolve();
  private lastToggle = Promise.resolve();
  private startedMs = Infinity;

  private constructor(
    private readonly store: ChildProcess,
    private readonly storeAddress: string,
    private readonly keys: readonly CallerKey[],
    size: DeploymentSize,
  ) {
    const { plainCapacity, hasUniformEngines, hasReleases, hasTenantQuotas, hasLongStreams } = size;
    const { observations } = this;
    this.hasTenantQuotas = hasTenantQuotas;
    this.hasLongStreams = hasLongStreams;
    const timeoutMs = hasLongStreams ? LONG_ROUTE_TIMEOUT_MS : ROUTE_TIMEOUT_MS;
    observations.routeTimeouts.push({ timeoutMs, atMs: 0 });
    const publishedVersion = (): number => this.weightsVersion;
    const parts = { storeAddress, observations, publishedVersion };
    const generationSlots = hasLongStreams ? LONG_STREAM_SLOTS : GENERATION_SLOTS;
    const capacities = { plainCapacity, generationSlots };
    this.fleet = new EngineFleet({ ...parts, ...capacities, hasUniformEngines, hasReleases });
  }

  /**
   * Starts the processes.
   *
   * @param folder directory of settings and logs
   * @param programs files of the builds that the routers run
   */
  static async start(
    size: DeploymentSize,
    keys: readonly CallerKey[],
    folder: string,
    programs: readonly string[],
  ): Promise<Deployment> {
    const store = fork(STORE_PROGRAM);
    const port = await listeningPort(store);
    const deployment = new Deployment(store, `127.0.0.1:${port}`, keys, size);
    await deployment.write(WireKind.weights, MODEL, { model: MODEL, version: 1 });
    await deployment.writeConfiguration();
    for (let index = 0; index < size.plainEngines; index += 1) {
      await deployment.fleet.add(Service.plain);
    }
    for (let index = 0; index < size.generationEngines; index += 1) {
      await deployment.fleet.add(Service.generation);
    }
    deployment.startedMs = Date.now();
    await deployment.startRouters(size, folder, programs);
    return deployment;
  }

  get directories(): string[] {
    return this.routers.map(({ options }) => `${options.ip}:${options.ports.directory}`);
  }

  /** Newest version of the weights that the operator published. */
  get publishedVersion(): number {
    return this.weightsVersion;
  }

  storeProxy(router: number): TcpProxy {
    return this.storeProxies[router % this.storeProxies.length] as TcpProxy;
  }

  sendToStore(command: StoreCommand): void {
    this.store.send(command);
  }

  /** Makes the store unresponsive or busy for a while. */
  disruptStore(condition: 'silent' | 'busy', forMs: number): void {
    const fault = { fromMs: Date.now(), untilMs: undefined as number | undefined };
    this.observations.storeFaults.push(fault);
    this.sendToStore({ kind: 'condition', condition });
    setTimeout(() => {
      this.sendToStore({ kind: 'condition', condition: 'sound' });
      fault.untilMs = Date.now();
    }, forMs);
  }

  /** Lets the store refuse the writes of all routers for a while. */
  refuseWrites(forMs: number): void {
    const fault = { fromMs: Date.now(), untilMs: undefined as number | undefined };
    this.observations.storeFaults.push(fault);
    this.sendToStore({ kind: 'refuse-writes', isRefusing: true });
    setTimeout(() => {
      this.sendToStore({ kind: 'refuse-writes', isRefusing: false });
      fault.untilMs = Date.now();
    }, forMs);
  }

  /**
   * Makes the store unavailable for a while and restores it from a copy that lacks the last writes.
   * The operator rewrites the lost objects; engines rewrite theirs with their next heartbeats.
   */
  restoreStore(outageMs: number, lostMs: number): void {
    this.disruptStore('silent', outageMs);
    // The copy must not be older than the deployment.
    const sinceStartMs = Date.now() - this.startedMs;
    this.sendToStore({ kind: 'restore', lostMs: Math.min(lostMs, sinceStartMs) });
    setTimeout(() => void this.rewriteLostObjects(), outageMs + REWRITE_DELAY_MS);
  }

  /**
   * Writes a malformed entry among those of the engines, as another program might.
   *
   * @param name engine whose entry is overwritten; by default a name that no engine has
   */
  async writeMalformedEntry(spec: unknown, name?: string): Promise<void> {
    this.malformedEntryCount += 1;
    await this.write(
      WireKind.engines,
      name ?? `${MALFORMED_NAME_PREFIX}${this.malformedEntryCount}`,
      spec,
    );
  }

  /**
   * Removes an API key, or restores a removed one. Changes run one after the other, so that the
   * end of each removal is recorded.
   */
  toggleKey(key: string): Promise<void> {
    this.lastToggle = this.lastToggle.then(() => this.applyKeyToggle(key));
    return this.lastToggle;
  }

  private async applyKeyToggle(key: string): Promise<void> {
    const isRemoval = !this.removedKeys.has(key);
    if (isRemoval) this.removedKeys.add(key);
    else this.removedKeys.delete(key);
    const lastRemoval = this.observations.keyRemovals.findLast((removal) => removal.key === key);
    // Routers may accept the key from the start of the write.
    if (!isRemoval && lastRemoval) lastRemoval.untilMs = Date.now();
    await this.writeConfiguration();
    if (isRemoval) {
      this.observations.keyRemovals.push({ key, atMs: Date.now(), untilMs: undefined });
    }
  }

  /** Isolates a tenant, or lets it share cached prompts again; changes run one after the other. */
  isolateTenant(tenant: string, isIsolated: boolean): Promise<void> {
    this.lastToggle = this.lastToggle.then(async () => {
      const writtenMs = Date.now();
      if (isIsolated) this.isolatedTenants.add(tenant);
      else this.isolatedTenants.delete(tenant);
      await this.writeConfiguration();
      const change = { tenant, isIsolated, writtenMs, atMs: Date.now() };
      this.observations.isolationChanges.push(change);
    });
    return this.lastToggle;
  }

  /** Changes the time-out of all routes. */
  setRouteTimeout(timeoutMs: number): Promise<void> {
    this.observations.routeTimeouts.push({ timeoutMs, atMs: Date.now() });
    return this.writeConfiguration();
  }

  /** Changes the time after which routers close idle connections. */
  setIdleTimeout(timeoutMs: number): Promise<void> {
    this.idleTimeoutMs = timeoutMs;
    return this.writeConfiguration();
  }

  async publishWeights(): Promise<void> {
    this.weightsVersion += 1;
    await this.write(WireKind.weights, MODEL, { model: MODEL, version: this.weightsVersion });
  }

  private async rewriteLostObjects(): Promise<void> {
    const version = this.weightsVersion;
    await this.write(WireKind.weights, MODEL, { model: MODEL, version });
    await this.writeConfiguration();
  }

  /** Ends all processes. */
  async end(): Promise<void> {
    this.isEnded = true;
    await Promise.all(this.routers.map((router) => router.end()));
    this.fleet.end();
    for (const proxy of this.storeProxies) proxy.close();
    this.store.kill('SIGKILL');
  }

  private async startRouters(
    { routers, hasReleases, hasLongStreams }: DeploymentSize,
    folder: string,
    programs: readonly string[],
  ): Promise<void> {
    const ips = Array.from(
      { length: routers },
      (_, index) => `127.0.0.${FIRST_HOST_NUMBER + index}`,
    );
    // Routers use the same ports at different addresses. The port of a seed is ignored.
    const portBase = await findFreePorts(ips, PORTS_PER_ROUTER);
    const seeds = ips.slice(0, SEED_COUNT).map((ip) => `${ip}:1`);
    for (const [index, ip] of ips.entries()) {
      const proxy = await TcpProxy.open();
      proxy.targetPort = Number(this.storeAddress.split(':')[1]);
      this.storeProxies.push(proxy);
      const router = new RouterProcess({
        name: `router-${index}`,
        ip,
        ports: { frontend: portBase, directory: portBase + 1, ready: portBase + 2 },
        gossipPort: portBase + 3,
        storeAddress: proxy.address,
        seeds,
        folder,
        programs: [
          ...programs.slice(index % programs.length),
          ...programs.slice(0, index % programs.length),
        ],
        isKilledAfterGrace: hasLongStreams,
        // Only then has the record of builds a beginning within a short soak.
        isFirstStart: hasReleases,
      });
      this.routers.push(router);
      router.start();
    }
  }

  /** Writes versions one after the other, so that an older one never overwrites a newer one. */
  private writeConfiguration(): Promise<void> {
    this.lastWrite = this.lastWrite.then(() => {
      this.configurationVersion += 1;
      return this.write(WireKind.configuration, 'main', this.configuration());
    });
    return this.lastWrite;
  }

  /** Retries the write until the store accepts it. */
  private async write(kind: string, name: string, spec: unknown): Promise<void> {
    const path = `/objects/${kind}/${name}`;
    while (!this.isEnded) {
      const response = await callJson(this.storeAddress, 'PUT', path, {
        metadata: { name },
        spec,
      }).catch(() => undefined);
      if (response?.status === 200) return;
      await new Promise((resolve) => setTimeout(resolve, WRITE_RETRY_MS));
    }
  }

  private configuration(): object {
    const tenants = [...new Set(this.keys.map(({ tenant }) => tenant))].map((name) => ({
      name,
      api_keys: this.keys
        .filter(({ tenant, key }) => tenant === name && !this.removedKeys.has(key))
        .map(({ key }) => key),
      isolated: this.isolatedTenants.has(name),
      ...(this.hasTenantQuotas && name === LIMITED_TENANT ? TENANT_LIMIT : {}),
    }));
    const { timeoutMs = ROUTE_TIMEOUT_MS } = this.observations.routeTimeouts.at(-1) ?? {};
    return deployedConfiguration({
      version: this.configurationVersion,
      tenants,
      timeoutMs,
      idleTimeoutMs: this.idleTimeoutMs,
      hasLongStreams: this.hasLongStreams,
    });
  }
}

/** Bounds that the oracle checks. */
export { BOUNDS };
