/** A group of routers with their directories, on simulated hosts that can lose power. */
import { Directory } from '../../src/coordination/gateway/directory.js';
import { GatewayStatistics } from '../../src/coordination/gateway/gateway-statistics.js';
import { GroupEventTarget } from '../../src/coordination/gateway/group-event-target.js';
import { GroupMembership } from '../../src/coordination/gateway/group-membership.js';
import { HostClock } from '../../src/lab/simulation/host-clock.js';
import { SimulatedNetwork } from '../../src/lab/simulation/simulated-network.js';
import {
  SimulatedDatagramTransport,
  SimulatedSockets,
} from '../../src/lab/simulation/simulated-transports.js';
import { NoopLogger } from '../../src/runtime/logger.js';
import { SeededRandom } from '../../src/runtime/random.js';
import { VirtualClock } from '../../src/runtime/virtual-clock.js';

/** All routers start within this time. */
const START_SPREAD_MS = 300;
const ZONES = 4;
const SEEDS = 3;

/** A router of the group; `host` is its current process. */
export interface GroupRouter {
  readonly name: string;
  host: HostClock;
  group: GroupMembership;
  directory: Directory;
}

/** Runs a group of routers on a simulated network. */
export class GroupHarness {
  readonly clock = new VirtualClock();
  readonly network: SimulatedNetwork;
  readonly routers: GroupRouter[] = [];
  /** Time of a router's loss of power, by its address in the directory. */
  private readonly poweredOffAtMs = new Map<string, number>();
  private readonly sockets: SimulatedSockets;
  private starts = 0;

  private constructor(private readonly seed: number) {
    this.network = new SimulatedNetwork(this.clock, new SeededRandom(seed));
    this.sockets = new SimulatedSockets(this.network);
  }

  static async create(routers: number, seed: number): Promise<GroupHarness> {
    const harness = new GroupHarness(seed);
    for (let index = 0; index < routers; index += 1) {
      await harness.start(index);
      await harness.clock.advance(Math.floor(START_SPREAD_MS / routers));
    }
    return harness;
  }

  get running(): GroupRouter[] {
    return this.routers.filter(({ host }) => host.isRunning);
  }

  /** Ends the process of a router without notice; its address becomes unreachable. */
  powerOff(index: number): void {
    const router = this.routers[index] as GroupRouter;
    router.host.stop();
    this.sockets.removeListeners(router.name);
    this.poweredOffAtMs.set(addressOf(router.name), this.clock.now());
  }

  /** Starts a router, for the first time or again. */
  async start(index: number): Promise<void> {
    const name = `router-${index}`;
    this.starts += 1;
    const host = new HostClock(this.clock);
    this.network.attach(name, host);
    this.poweredOffAtMs.delete(addressOf(name));
    const random = new SeededRandom(this.seed * 1_000 + this.starts);
    const events = new GroupEventTarget();
    const group = await GroupMembership.open(
      { identity: identityOf(index), seeds: seedAddresses() },
      new SimulatedDatagramTransport(this.sockets, name),
      events.loads,
      events,
      host,
      random,
      new NoopLogger(),
    );
    group.start();
    const statistics = new GatewayStatistics();
    const directory = new Directory(group, random, statistics, new NoopLogger());
    this.routers[index] = { name, host, group, directory };
  }

  /** Longest time since the loss of power among the routers that any directory returns, or 0. */
  longestStaleEntryMs(): number {
    const now = this.clock.now();
    let longestMs = 0;
    for (const { directory, group } of this.running) {
      const locations = zoneNames().map((zone) => ({ zone, region: group.own.region }));
      const addresses = locations.flatMap((location) => directory.resolve(location, true));
      const offMs = addresses.map((address) => now - (this.poweredOffAtMs.get(address) ?? now));
      longestMs = Math.max(longestMs, ...offMs);
    }
    return longestMs;
  }
}

function zoneNames(): string[] {
  return Array.from({ length: ZONES }, (_, index) => `zone-${index}`);
}

function addressOf(name: string): string {
  return `${name}:80`;
}

function identityOf(index: number) {
  const name = `router-${index}`;
  return {
    nodeId: name,
    zone: `zone-${index % ZONES}`,
    region: 'region-a',
    capacity: 1_000,
    peerAddress: addressOf(name),
    gossipAddress: `${name}:7000`,
  };
}

function seedAddresses(): string[] {
  return Array.from({ length: SEEDS }, (_, index) => `router-${index}:7000`);
}
