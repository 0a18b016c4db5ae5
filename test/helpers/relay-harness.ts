/** Routers with one simulated store, each with a client and a server of the relay. */
import { ObjectMirrors } from '../../src/coordination/gateway/store-relay/object-mirrors.js';
import { RelayClient } from '../../src/coordination/gateway/store-relay/relay-client.js';
import { RelayServer } from '../../src/coordination/gateway/store-relay/relay-server.js';
import {
  type RelaySettings,
  RelayedObjectStore,
} from '../../src/coordination/gateway/store-relay/relayed-object-store.js';
import { SimulatedObjectStore } from '../../src/lab/gateway-simulation/simulated-object-store.js';
import { SimulatedStorePort } from '../../src/lab/gateway-simulation/simulated-store-port.js';
import { HostClock } from '../../src/lab/simulation/host-clock.js';
import { SimulatedNetwork } from '../../src/lab/simulation/simulated-network.js';
import {
  SimulatedFrameTransport,
  SimulatedSockets,
} from '../../src/lab/simulation/simulated-transports.js';
import { NoopLogger } from '../../src/runtime/logger.js';
import { SeededRandom } from '../../src/runtime/random.js';
import { VirtualClock } from '../../src/runtime/virtual-clock.js';
import { StoreEras } from '../../src/state/routing/store-eras.js';
import { MemberStatus, type MemberUpdate } from '../../src/state/membership.js';

export const KIND = 'things';
export const SETTINGS: RelaySettings = {
  directGroupSize: 1,
  routersPerReader: 40,
  minimumReaders: 1,
  watchMs: 600,
  maximumProofAgeMs: 1_400,
};

/** Update of a working router; all routers are in the same zone. */
export function member(nodeId: string): MemberUpdate {
  return {
    nodeId,
    zone: 'zone-a',
    region: 'region-a',
    capacity: 1_000,
    peerAddress: `${nodeId}:80`,
    gossipAddress: `${nodeId}:7000`,
    status: MemberStatus.Alive,
    incarnation: 1,
  };
}

/** Routers with one store. With the default settings `node-0` is the only reader. */
export class RelayHarness {
  readonly clock = new VirtualClock();
  readonly network = new SimulatedNetwork(this.clock, new SeededRandom(5));
  readonly sockets = new SimulatedSockets(this.network);
  readonly store = new SimulatedObjectStore(this.clock);
  readonly hosts: HostClock[] = [];
  readonly stores: RelayedObjectStore[] = [];
  /** Watch calls to the store, by router. */
  readonly calls: number[] = [];

  private constructor(private readonly settings: RelaySettings) {}

  static async create(routers: number, settings = SETTINGS): Promise<RelayHarness> {
    const harness = new RelayHarness(settings);
    const working = Array.from({ length: routers }, (_, index) => member(`node-${index}`));
    for (const [index, own] of working.entries()) await harness.addRouter(index, own, working);
    return harness;
  }

  /** Advances the clock until a call ends; returns an error after `limitMs`. */
  async run<Result>(call: Promise<Result>, limitMs = 10_000): Promise<Result | Error> {
    let outcome: Result | Error | undefined;
    call.then(
      (result) => (outcome = result),
      (error: Error) => (outcome = error),
    );
    for (let spentMs = 0; outcome === undefined && spentMs < limitMs; spentMs += 10) {
      await this.clock.advance(10);
    }
    return outcome ?? new Error('call did not end within the limit');
  }

  private async addRouter(
    index: number,
    own: MemberUpdate,
    working: MemberUpdate[],
  ): Promise<void> {
    const host = new HostClock(this.clock);
    this.hosts.push(host);
    this.calls.push(0);
    this.network.attach(own.nodeId, host);
    const port = new SimulatedStorePort(this.store, own.nodeId, host);
    const frames = new SimulatedFrameTransport(this.sockets, own.nodeId, host);
    const mirrors = new ObjectMirrors();
    const logger = new NoopLogger();
    const server = new RelayServer(mirrors, SETTINGS.maximumProofAgeMs, host, logger);
    const client = new RelayClient(frames, host);
    await frames.listen(own.gossipAddress, (connection) => server.accept(connection));
    const counted = Object.create(port) as SimulatedStorePort;
    counted.watch = (kind, position, waitMs) => {
      this.calls[index] = (this.calls[index] ?? 0) + 1;
      return port.watch(kind, position, waitMs);
    };
    const group = { working, seeds: working.map((each) => each.gossipAddress) };
    const random = new SeededRandom(100 + index);
    const eras = new StoreEras(true);
    const parts = {
      store: counted,
      mirrors,
      client,
      server,
      group,
      eras,
      clock: host,
      random,
      logger,
    };
    this.stores.push(new RelayedObjectStore(own, this.settings, parts));
  }
}
