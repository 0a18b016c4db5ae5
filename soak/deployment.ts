/** The processes of one soak: routers, engines, the store, and the proxies between them. */
import { type ChildProcess, fork } from 'node:child_process';
import { fileURLToPath } from 'node:url';
import { CALL_PATHS, type CallKind, type CallerKey } from './callers.js';
import { EngineFleet } from './engine-fleet.js';
import { findFreePorts } from './free-ports.js';
import { listeningPort } from './listening-port.js';
import type {
  EngineReport,
  ReportedLimit,
  ReportedNotice,
  ReportedRun,
  StoreCommand,
} from './messages.js';
import { ODD_NAME } from './odd-entries.js';
import { BOUNDS, RouterProcess } from './router-process.js';
import { TcpProxy } from './tcp-proxy.js';
import { HOST, MODEL, Service, WireKind, callJson } from './wire.js';

/** What engines and operator saw. */
export interface Observations {
  readonly runs: ReportedRun[];
  readonly arrivals: {
    readonly requestId: string;
    readonly engineId: string;
    readonly service: string;
    readonly atMs: number;
  }[];
  readonly notices: ReportedNotice[];
  readonly limits: ReportedLimit[];
  /** When the store took that an engine leaves. */
  readonly drains: Map<string, number>;
  readonly orders: Extract<EngineReport, { kind: 'order' }>[];
  /** Engines that a request has ended. */
  readonly crashes: Extract<EngineReport, { kind: 'crash' }>[];
  /** Requests that were sent to what an entry of another writer names. */
  readonly strays: Extract<EngineReport, { kind: 'stray' }>[];
  /** When the store took that a key is gone; undefined again once it is back. */
  readonly keyRemovals: {
    readonly key: string;
    readonly atMs: number;
    untilMs: number | undefined;
  }[];
  /** Spans in which some engine was not sound, or the way to it. */
  readonly engineTroubles: {
    readonly fromMs: number;
    readonly untilMs: number;
    /** Name of the engine to which the way was faulty; undefined where the engine itself was. */
    readonly wayTo: string | undefined;
  }[];
  /** Spans in which the store was not sound. */
  readonly storeTroubles: { readonly fromMs: number; untilMs: number | undefined }[];
}

/** Size of a soak. */
export interface DeploymentSize {
  readonly routers: number;
  readonly plainEngines: number;
  readonly generationEngines: number;
}

const STORE_PROGRAM = fileURLToPath(new URL('./store-program.js', import.meta.url));
const SEEDS = 3;
/** Host numbers of the routers' addresses begin here. */
const FIRST_HOST = 10;
/** For callers, the directory, readiness, and what routers say to each other. */
const PORTS_PER_ROUTER = 4;
const RETRY_MS = 100;
/** The operator writes again what a restored store lacks, so long after its return. */
const WRITTEN_AGAIN_MS = 100;

/** A running deployment. */
export class Deployment {
  readonly routers: RouterProcess[] = [];
  readonly observations: Observations = {
    runs: [],
    arrivals: [],
    notices: [],
    limits: [],
    drains: new Map(),
    orders: [],
    crashes: [],
    strays: [],
    keyRemovals: [],
    engineTroubles: [],
    storeTroubles: [],
  };
  private readonly storeProxies: TcpProxy[] = [];
  readonly fleet: EngineFleet;
  private configurationVersion = 0;
  private weightsVersion = 1;
  private oddEntries = 0;
  private readonly removedKeys = new Set<string>();
  private isOver = false;
  private lastWrite = Promise.resolve();
  private lastToggle = Promise.resolve();
  private startedMs = Infinity;

  private constructor(
    private readonly store: ChildProcess,
    private readonly storeAddress: string,
    private readonly keys: readonly CallerKey[],
  ) {
    this.fleet = new EngineFleet(storeAddress, this.observations, () => this.weightsVersion);
  }

  /**
   * @param folder for settings and logs
   * @param programs builds of the routers' program
   */
  static async start(
    size: DeploymentSize,
    keys: readonly CallerKey[],
    folder: string,
    programs: readonly string[],
  ): Promise<Deployment> {
    const store = fork(STORE_PROGRAM);
    const port = await listeningPort(store);
    const deployment = new Deployment(store, `127.0.0.1:${port}`, keys);
    await deployment.write(WireKind.weights, MODEL, { model: MODEL, version: 1 });
    await deployment.writeConfiguration();
    for (let index = 0; index < size.plainEngines; index += 1) {
      await deployment.fleet.add(Service.plain);
    }
    for (let index = 0; index < size.generationEngines; index += 1) {
      await deployment.fleet.add(Service.generation);
    }
    deployment.startedMs = Date.now();
    await deployment.startRouters(size.routers, folder, programs);
    return deployment;
  }

  get directories(): string[] {
    return this.routers.map(({ place }) => `${place.ip}:${place.ports.directory}`);
  }

  /** Newest version of the weights that was named. */
  get namedVersion(): number {
    return this.weightsVersion;
  }

  storeProxy(router: number): TcpProxy {
    return this.storeProxies[router % this.storeProxies.length] as TcpProxy;
  }

  tellStore(command: StoreCommand): void {
    this.store.send(command);
  }

  /** The store stops answering, or refuses, for a while. */
  troubleStore(condition: 'silent' | 'busy', forMs: number): void {
    const trouble = { fromMs: Date.now(), untilMs: undefined as number | undefined };
    this.observations.storeTroubles.push(trouble);
    this.tellStore({ kind: 'condition', condition });
    setTimeout(() => {
      this.tellStore({ kind: 'condition', condition: 'sound' });
      trouble.untilMs = Date.now();
    }, forMs);
  }

  /**
   * The store is away for a while and back from a copy that lacks what was written last. The operator writes that
   * again; the engines do with their next heartbeats.
   */
  restoreStore(awayMs: number, lostMs: number): void {
    this.troubleStore('silent', awayMs);
    // No copy is older than the deployment.
    const sinceStartMs = Date.now() - this.startedMs;
    this.tellStore({ kind: 'restore', lostMs: Math.min(lostMs, sinceStartMs) });
    setTimeout(() => void this.writeAgain(), awayMs + WRITTEN_AGAIN_MS);
  }

  /**
   * Another writer leaves an entry among those of the engines.
   *
   * @param name the engine whose entry is overwritten; undefined: a name that is no engine's
   */
  async writeOddEntry(spec: unknown, name?: string): Promise<void> {
    this.oddEntries += 1;
    await this.write(WireKind.engines, name ?? `${ODD_NAME}${this.oddEntries}`, spec);
  }

  /** Takes a key away, or gives it back; one change after the other, so that each removal gets its own end. */
  toggleKey(key: string): Promise<void> {
    this.lastToggle = this.lastToggle.then(() => this.toggleNow(key));
    return this.lastToggle;
  }

  private async toggleNow(key: string): Promise<void> {
    const isRemoval = !this.removedKeys.has(key);
    if (isRemoval) this.removedKeys.add(key);
    else this.removedKeys.delete(key);
    const last = this.observations.keyRemovals.findLast((removal) => removal.key === key);
    // From the moment of asking the key may be honoured again.
    if (!isRemoval && last) last.untilMs = Date.now();
    await this.writeConfiguration();
    if (isRemoval) {
      this.observations.keyRemovals.push({ key, atMs: Date.now(), untilMs: undefined });
    }
  }

  async nameWeights(): Promise<void> {
    this.weightsVersion += 1;
    await this.write(WireKind.weights, MODEL, { model: MODEL, version: this.weightsVersion });
  }

  private async writeAgain(): Promise<void> {
    const version = this.weightsVersion;
    await this.write(WireKind.weights, MODEL, { model: MODEL, version });
    await this.writeConfiguration();
  }

  /** Ends every process that was started. */
  async end(): Promise<void> {
    this.isOver = true;
    await Promise.all(this.routers.map((router) => router.end()));
    this.fleet.end();
    for (const proxy of this.storeProxies) proxy.close();
    this.store.kill('SIGKILL');
  }

  private async startRouters(
    count: number,
    folder: string,
    programs: readonly string[],
  ): Promise<void> {
    const ips = Array.from({ length: count }, (_, index) => `127.0.0.${FIRST_HOST + index}`);
    // Routers use the same ports, each at an address of its own; of seeds only the host counts.
    const portBase = await findFreePorts(ips, PORTS_PER_ROUTER);
    const seeds = ips.slice(0, SEEDS).map((ip) => `${ip}:1`);
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
      });
      this.routers.push(router);
      router.start();
    }
  }

  /** An operator writes one version after the other: an older one never overwrites a newer one. */
  private writeConfiguration(): Promise<void> {
    this.lastWrite = this.lastWrite.then(() => {
      this.configurationVersion += 1;
      return this.write(WireKind.configuration, 'main', this.configuration());
    });
    return this.lastWrite;
  }

  /** Writes until the store has taken it. */
  private async write(kind: string, name: string, spec: unknown): Promise<void> {
    const path = `/objects/${kind}/${name}`;
    while (!this.isOver) {
      const answer = await callJson(this.storeAddress, 'PUT', path, {
        metadata: { name },
        spec,
      }).catch(() => undefined);
      if (answer?.status === 200) return;
      await new Promise((resolve) => setTimeout(resolve, RETRY_MS));
    }
  }

  private configuration(): object {
    const tenants = [...new Set(this.keys.map(({ tenant }) => tenant))].map((name) => ({
      name,
      api_keys: this.keys
        .filter(({ tenant, key }) => tenant === name && !this.removedKeys.has(key))
        .map(({ key }) => key),
    }));
    return {
      version: this.configurationVersion,
      routes: (Object.keys(CALL_PATHS) as CallKind[]).map(routeOf),
      services: [
        { name: Service.plain, max_connections: 200 },
        {
          name: Service.generation,
          max_connections: 200,
          engine: {
            slots: 32,
            kv_capacity_tokens: 100_000,
            kv_token_bytes: 100,
            link_mbps: 10_000,
            max_in_flight: 12,
          },
        },
      ],
      tenants,
      limits: {
        max_header_bytes: 16_384,
        max_body_bytes: 1_000_000,
        header_timeout_ms: 3_000,
        idle_timeout_ms: 15_000,
      },
    };
  }
}

function routeOf(kind: CallKind): object {
  const isStream = kind.startsWith('stream');
  return {
    name: kind,
    host: HOST,
    path_prefix: CALL_PATHS[kind],
    service: isStream ? Service.generation : Service.plain,
    kind: isStream ? 'streaming' : kind === 'plain-safe' ? 'safe' : 'unsafe',
    resumable: kind === 'stream-resumable',
    timeout_ms: 3_000,
    target_latency_ms: 400,
    priority: isStream ? 1 : 0,
    max_attempts: 3,
  };
}

/** Bounds that the oracle judges by. */
export { BOUNDS };
