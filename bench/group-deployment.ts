/**
 * A complete deployment of a given size in this process: production routers with simulated engines,
 * a simulated store and a simulated network. The clock is virtual, so a run takes processor time
 * only.
 */
import type { Hasher } from '../src/runtime/hasher.js';
import { GatewayNode } from '../src/coordination/gateway/gateway-node.js';
import { RecordedReply } from '../src/lab/gateway-simulation/recorded-reply.js';
import { EngineObservations } from '../src/lab/gateway-simulation/simulated-engine.js';
import { SimulatedFleet } from '../src/lab/gateway-simulation/simulated-fleet.js';
import { EngineLinks } from '../src/lab/gateway-simulation/engine-links.js';
import { SimulatedForwarders } from '../src/lab/gateway-simulation/simulated-forwarding.js';
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
import { NoopLogger } from '../src/runtime/logger.js';
import { SeededRandom } from '../src/runtime/random.js';
import { VirtualClock } from '../src/runtime/virtual-clock.js';
import { countingDatagrams } from '../test/helpers/counting-datagrams.js';

/** Engines per router, as in the larger deployments of docs/CAPACITY.md. */
const ENGINES_PER_ROUTER = 0.8;
const ZONES = 6;
/** Capacities assigned to the routers in rotation. */
const CAPACITIES = [250, 500, 1_000];
/** How the routers are organised to watch the store. */
const RELAY = { directGroupSize: 12, routersPerReader: 80, minimumReaders: 2 };
const START_SPREAD_MS = 300;
const GROUP_JOIN_MS = 6_000;
const TENANT = 'tenant-2';
const SEED = 11;

/** A simulated deployment whose processor time can be profiled. */
export class GroupDeployment {
  readonly clock = new VirtualClock();
  readonly store: SimulatedObjectStore;
  readonly nodes: GatewayNode[] = [];
  private readonly network: SimulatedNetwork;
  private readonly sockets: SimulatedSockets;
  private readonly observations = new EngineObservations();
  private readonly fleet: SimulatedFleet;
  private readonly random = new SeededRandom(SEED);
  private readonly links: EngineLinks;
  private readonly forwarders: SimulatedForwarders;
  private requests = 0;
  private datagrams = 0;

  private constructor(private readonly hasher: Hasher) {
    this.store = new SimulatedObjectStore(this.clock);
    this.network = new SimulatedNetwork(this.clock, new SeededRandom(SEED));
    this.sockets = new SimulatedSockets(this.network);
    this.fleet = new SimulatedFleet(this.clock, this.store, () => undefined);
    this.links = new EngineLinks(this.clock);
    this.forwarders = new SimulatedForwarders(this.network, this.links);
  }

  /** Starts all components and waits until the routers have joined their group. */
  static async start(routers: number, hasher: Hasher): Promise<GroupDeployment> {
    const deployment = new GroupDeployment(hasher);
    deployment.configure();
    const engines = Math.ceil(routers * ENGINES_PER_ROUTER);
    for (let index = 0; index < engines; index += 1) deployment.fleet.add(GENERATION_SERVICE);
    for (let index = 0; index < routers; index += 1) {
      await deployment.startRouter(index);
      await deployment.clock.advance(Math.max(1, Math.floor(START_SPREAD_MS / routers)));
    }
    await deployment.clock.advance(GROUP_JOIN_MS);
    return deployment;
  }

  /** Number of datagrams that the routers have sent to each other. */
  get sentDatagrams(): number {
    return this.datagrams;
  }

  /** Sends requests at an even rate to routers chosen at random, for a period of virtual time. */
  async sendTraffic(durationMs: number, requestsPerSecond: number): Promise<void> {
    if (requestsPerSecond === 0) {
      await this.clock.advance(durationMs);
      return;
    }
    const gapMs = 1_000 / requestsPerSecond;
    const endMs = this.clock.now() + durationMs;
    while (this.clock.now() < endMs) {
      this.sendRequest();
      await this.clock.advance(Math.min(gapMs, endMs - this.clock.now()));
    }
  }

  /** Crashes an engine with all its requests and restarts it as a new incarnation. */
  crashEngine(index: number): void {
    const engine = this.fleet.engine(index);
    if (engine.isRunning) engine.crashAndRestart();
  }

  stop(): void {
    for (const node of this.nodes) node.stop();
  }

  private sendRequest(): void {
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
    const { fleet, observations, clock } = this;
    const link = this.links.of(name);
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
        logger: new NoopLogger(),
        datagrams: countingDatagrams(transport, () => (this.datagrams += 1)),
        frames: new SimulatedFrameTransport(this.sockets, name, host),
        store: new SimulatedStorePort(this.store, name, host),
        engines: new SimulatedInference({ fleet, observations, clock, host, link }, name),
        forwarding: this.forwarders.portOf(name, host),
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
