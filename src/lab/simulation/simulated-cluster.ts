/** Runs real routers and agents on simulated hosts, in one process on a virtual clock. */
import 'reflect-metadata';
import { type DependencyContainer, container as rootContainer } from 'tsyringe';
import type { AgentNode } from '../../coordination/agent/agent-node.js';
import { createAgent } from '../../coordination/agent/create-agent.js';
import { createRouter } from '../../coordination/router/create-router.js';
import type { RouterNode } from '../../coordination/router/router-node.js';
import type { Protections } from '../../coordination/router/settings.js';
import {
  BACKEND_PORT,
  ENGINE_PORT,
  MACHINE_LIST_PORT,
  OBJECT_API_PORT,
} from '../../coordination/router/tokens.js';
import type { EnginePort } from '../../protocol/engine/port.js';
import type { Hasher } from '../../runtime/hasher.js';
import { NoopLogger } from '../../runtime/logger.js';
import { SeededRandom, randomInteger } from '../../runtime/random.js';
import * as tokens from '../../runtime/injection-tokens.js';
import { VirtualClock } from '../../runtime/virtual-clock.js';
import { CLOCK_TOLERANCE_MS } from '../../state/claim-table.js';
import type { TokenModel } from '../engine/token-model.js';
import { HostClock } from './host-clock.js';
import { SimulatedEnginePort } from './simulated-engine-port.js';
import { SimulatedNetwork } from './simulated-network.js';
import {
  SimulatedBackendPort,
  SimulatedMachineList,
  SimulatedObjectApi,
} from './simulated-platform-ports.js';
import {
  SimulatedDatagramTransport,
  SimulatedFrameTransport,
  SimulatedSockets,
} from './simulated-transports.js';
import { SIMULATED_PORT, FakeFleet } from './fake-fleet.js';

const SEED_RANGE = 0x7fffffff;
const CLUSTER_KEY = 'simulated-cluster-key';

/** A router or agent and its simulated host. */
export interface HostedProcess<T> {
  readonly name: string;
  readonly host: HostClock;
  readonly node: T;
  /** Whether a graceful stop has begun. */
  stopping: boolean;
}

/** Location of a simulated node, and the routers it contacts first. */
export interface SimulatedNodeSettings {
  readonly name: string;
  readonly zone: string;
  readonly region: string;
  /** Host names of the seed routers. */
  readonly contacts: readonly string[];
}

/** Hosts, network and fake services of one simulated deployment. */
export class SimulatedCluster {
  readonly clock = new VirtualClock();
  readonly random: SeededRandom;
  readonly network: SimulatedNetwork;
  readonly sockets: SimulatedSockets;
  readonly fleet: FakeFleet;
  /** Creates the engine port of a host instead of the default; set by scale runs. */
  createEnginePort: ((name: string, host: HostClock) => EnginePort) | undefined;

  constructor(
    seed: number,
    private readonly protections: Protections,
    private readonly hasher: Hasher,
    tokenModel: TokenModel,
    machineListLagMs: number,
  ) {
    this.random = new SeededRandom(seed);
    this.network = new SimulatedNetwork(this.clock, this.random);
    this.sockets = new SimulatedSockets(this.network);
    const { clock, random } = this;
    this.fleet = new FakeFleet(clock, random, hasher, tokenModel, machineListLagMs);
  }

  startRouter(settings: SimulatedNodeSettings): HostedProcess<RouterNode> {
    const { name, zone, region, contacts } = settings;
    const { host, container } = this.createHost(name);
    this.registerPorts(container, name, host);
    const node = createRouter(
      container,
      {
        nodeId: name,
        zone,
        region,
        peerAddress: addressOf(name),
        gossipAddress: addressOf(name),
        seeds: contacts.map(addressOf),
        clusterKey: CLUSTER_KEY,
      },
      this.protections,
    );
    void node.start();
    return { name, host, node, stopping: false };
  }

  startAgent(settings: SimulatedNodeSettings): HostedProcess<AgentNode> {
    const { name, zone, contacts } = settings;
    const { host, container } = this.createHost(name);
    const DEADLINE_MS = 10_000;
    const node = createAgent(container, {
      nodeId: name,
      zone,
      routers: contacts.map(addressOf),
      defaultDeadlineMs: DEADLINE_MS,
    });
    node.start();
    return { name, host, node, stopping: false };
  }

  /** Terminates the process at once and resets its connections. */
  crash(hosted: HostedProcess<unknown>): void {
    hosted.host.stop();
    this.sockets.resetConnections(hosted.name);
    this.sockets.removeListeners(hosted.name);
  }

  /** Stops the process gracefully, then its host. */
  async stopGracefully(hosted: HostedProcess<{ stop(): Promise<void> }>): Promise<void> {
    if (hosted.stopping || !hosted.host.isRunning) return;
    hosted.stopping = true;
    await hosted.node.stop();
    this.crash(hosted);
  }

  private registerPorts(container: DependencyContainer, name: string, host: HostClock): void {
    const { network, fleet } = this;
    const { store, machines } = fleet;
    const findEngine = (id: string): ReturnType<FakeFleet['findEngine']> => fleet.findEngine(id);
    const findBackend = (id: string): ReturnType<FakeFleet['findBackend']> => fleet.findBackend(id);
    const enginePort =
      this.createEnginePort?.(name, host) ??
      new SimulatedEnginePort(network, name, host, findEngine);
    container.register(ENGINE_PORT, { useValue: enginePort });
    container.register(BACKEND_PORT, {
      useValue: new SimulatedBackendPort(network, name, host, findBackend),
    });
    container.register(OBJECT_API_PORT, {
      useValue: new SimulatedObjectApi(network, name, host, store),
    });
    container.register(MACHINE_LIST_PORT, {
      useValue: new SimulatedMachineList(network, name, host, machines, store),
    });
  }

  private createHost(name: string): { host: HostClock; container: DependencyContainer } {
    const skewMs = (this.random.next() - 0.5) * CLOCK_TOLERANCE_MS;
    const host = new HostClock(this.clock, { wallSkewMs: skewMs });
    this.network.attach(name, host);
    const container = rootContainer.createChildContainer();
    const seed = randomInteger(this.random, SEED_RANGE);
    container.register(tokens.CLOCK, { useValue: host });
    container.register(tokens.RANDOM, { useValue: new SeededRandom(seed) });
    container.register(tokens.HASHER, { useValue: this.hasher });
    container.register(tokens.LOGGER, { useValue: new NoopLogger() });
    container.register(tokens.FRAME_TRANSPORT, {
      useValue: new SimulatedFrameTransport(this.sockets, name, host),
    });
    container.register(tokens.DATAGRAM_TRANSPORT, {
      useValue: new SimulatedDatagramTransport(this.sockets, name),
    });
    return { host, container };
  }
}

function addressOf(name: string): string {
  return `${name}:${SIMULATED_PORT}`;
}
