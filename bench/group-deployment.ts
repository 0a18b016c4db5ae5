/**
 * A whole deployment of a given size in this process: routers as they run in production before simulated
 * engines, one simulated store and a simulated network. Its clock is virtual, so what it spends is
 * processor time alone.
 */
import type { Hasher } from '../src/runtime/hasher.js';
import { GatewayNode } from '../src/coordination/gateway/gateway-node.js';
import { RecordedReply } from '../src/lab/gateway-simulation/recorded-reply.js';
import { EngineObservations } from '../src/lab/gateway-simulation/simulated-engine.js';
import { SimulatedFleet } from '../src/lab/gateway-simulation/simulated-fleet.js';
import { SimulatedInference } from '../src/lab/gateway-simulation/simulated-inference.js';
import { SimulatedObjectStore } from '../src/lab/gateway-simulation/simulated-object-store.js';
import { SimulatedStorePort } from '../src/lab/gateway-simulation/simulated-store-port.js';
import {
  DECODER,
  GENERATION_SERVICE,
  KEYS,
  KINDS,
  SIMULATION_MODEL,
  inboundRequest,
  simulationConfiguration,
  simulationSettings,
} from '../src/lab/gateway-simulation/simulation-fixtures.js';
import { HostClock } from '../src/lab/simulation/host-clock.js';
import { SimulatedNetwork } from '../src/lab/simulation/simulated-network.js';
import {
  SimulatedDatagramTransport,
  SimulatedFrameTransport,
  SimulatedSockets,
} from '../src/lab/simulation/simulated-transports.js';
import { SilentLogger } from '../src/runtime/logger.js';
import { SeededRandom } from '../src/runtime/random.js';
import { VirtualClock } from '../src/runtime/virtual-clock.js';
import { countingDatagrams } from '../test/helpers/counting-datagrams.js';

/** Engines for each router, as in the larger deployments of docs/CAPACITY.md. */
const ENGINES_PER_ROUTER = 0.8;
const ZONES = 6;
/** The most capable routers of a deployment have several times the share of the least capable ones. */
const CAPACITIES = [250, 500, 1_000];
/** How the routers of a deployment follow its store. */
const RELAY = { directGroupSize: 12, routersPerReader: 80, minimumReaders: 2 };
const START_SPREAD_MS = 300;
const JOINED_MS = 6_000;
const TENANT = 'tenant-2';
const SEED = 11;

/** The deployment. */
export class GroupDeployment {
  readonly clock = new VirtualClock();
  readonly store: SimulatedObjectStore;
  readonly nodes: GatewayNode[] = [];
  private readonly network: SimulatedNetwork;
  private readonly sockets: SimulatedSockets;
  private readonly observations = new EngineObservations();
  private readonly fleet: SimulatedFleet;
  private readonly random = new SeededRandom(SEED);
  private requests = 0;
  private datagrams = 0;

  private constructor(private readonly hasher: Hasher) {
    this.store = new SimulatedObjectStore(this.clock);
    this.network = new SimulatedNetwork(this.clock, new SeededRandom(SEED));
    this.sockets = new SimulatedSockets(this.network);
    this.fleet = new SimulatedFleet(this.clock, this.store, () => undefined);
  }

  /** Starts all parts and waits until the routers have joined their group. */
  static async start(routers: number, hasher: Hasher): Promise<GroupDeployment> {
    const deployment = new GroupDeployment(hasher);
    deployment.configure();
    const engines = Math.ceil(routers * ENGINES_PER_ROUTER);
    for (let index = 0; index < engines; index += 1) deployment.fleet.add(GENERATION_SERVICE);
    for (let index = 0; index < routers; index += 1) {
      await deployment.startRouter(index);
      await deployment.clock.advance(Math.max(1, Math.floor(START_SPREAD_MS / routers)));
    }
    await deployment.clock.advance(JOINED_MS);
    return deployment;
  }

  /** Datagrams that routers have sent each other. */
  get sentDatagrams(): number {
    return this.datagrams;
  }

  /** Lets callers send for a while, evenly spread over the routers and the time. */
  async play(forMs: number, requestsPerSecond: number): Promise<void> {
    if (requestsPerSecond === 0) {
      await this.clock.advance(forMs);
      return;
    }
    const gapMs = 1_000 / requestsPerSecond;
    const untilMs = this.clock.now() + forMs;
    while (this.clock.now() < untilMs) {
      this.sendOne();
      await this.clock.advance(Math.min(gapMs, untilMs - this.clock.now()));
    }
  }

  /** An engine crashes under all it runs, and comes back as another incarnation. */
  crashEngine(index: number): void {
    const engine = this.fleet.engine(index);
    if (engine.isRunning) engine.crashAndRestart();
  }

  stop(): void {
    for (const node of this.nodes) node.stop();
  }

  private sendOne(): void {
    const node = this.nodes[Math.floor(this.random.next() * this.nodes.length)];
    const key = KEYS.get(TENANT)?.[0];
    if (!node || key === undefined) return;
    this.requests += 1;
    const id = `request-${this.requests}`;
    const request = inboundRequest(id, 'stream-resumable', key, this.clock.now());
    node.handle(request, new RecordedReply());
  }

  private configure(): void {
    const tenants = [...KEYS].map(([name, keys]) => ({ name, keys: [...keys] }));
    this.store.put(KINDS.configuration, 'main', simulationConfiguration(1, tenants));
    this.store.put(KINDS.weightVersions, SIMULATION_MODEL, { model: SIMULATION_MODEL, version: 1 });
  }

  private async startRouter(index: number): Promise<void> {
    const name = `router-${index}`;
    const host = new HostClock(this.clock);
    this.network.attach(name, host);
    const settings = simulationSettings(name);
    const transport = new SimulatedDatagramTransport(this.sockets, name);
    const node = await GatewayNode.open(
      {
        ...settings,
        nodeId: name,
        zone: zoneOf(index),
        capacity: CAPACITIES[index % CAPACITIES.length] as number,
        frontendAddress: `${name}:80`,
        gossipAddress: `${name}:7000`,
        relay: { ...settings.relay, ...RELAY },
      },
      {
        clock: host,
        random: new SeededRandom(SEED * 1_000 + index),
        hasher: this.hasher,
        logger: new SilentLogger(),
        datagrams: countingDatagrams(transport, () => (this.datagrams += 1)),
        frames: new SimulatedFrameTransport(this.sockets, name, host),
        store: new SimulatedStorePort(this.store, name, host),
        engines: new SimulatedInference(this.fleet, this.observations, this.clock, host, name),
        decoder: DECODER,
      },
    );
    this.nodes.push(node);
    node.start();
  }
}

function zoneOf(index: number): string {
  return `zone-${index % ZONES}`;
}
