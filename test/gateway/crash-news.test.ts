/** Crashes that different routers of a large group saw reach all of them, over a network that loses datagrams. */
import test from 'ava';
import { CrashGuard } from '../../src/coordination/gateway/crash-guard.js';
import { GatewayStatistics } from '../../src/coordination/gateway/gateway-statistics.js';
import { GroupMembership } from '../../src/coordination/gateway/group-membership.js';
import { HostClock } from '../../src/lab/simulation/host-clock.js';
import { SimulatedNetwork } from '../../src/lab/simulation/simulated-network.js';
import {
  SimulatedDatagramTransport,
  SimulatedSockets,
} from '../../src/lab/simulation/simulated-transports.js';
import { SilentLogger } from '../../src/runtime/logger.js';
import { SeededRandom } from '../../src/runtime/random.js';
import { VirtualClock } from '../../src/runtime/virtual-clock.js';
import { LoadTable } from '../../src/state/routing/load-table.js';
import { silentGroupEvents } from '../helpers/silent-group-events.js';

const ROUTERS = 60;
const JOINED_MS = 6_000;
const BYSTANDERS = 15;
const LOSS = 0.1;
/** A router is held to the quarantine 3 s after the third crash; a third of that must do. */
const SPREAD_MS = 1_000;
const STARTED_MS = 3_000;
const CAUSE = 'c'.repeat(32);

interface Peer {
  readonly guard: CrashGuard;
  readonly group: GroupMembership;
}

/** A group of routers with their crash guards. */
class CrashNewsWorld {
  readonly clock = new VirtualClock();
  readonly peers: Peer[] = [];
  readonly network = new SimulatedNetwork(this.clock, new SeededRandom(3));
  private readonly sockets = new SimulatedSockets(this.network);

  async start(): Promise<Peer> {
    const index = this.peers.length;
    const name = `router-${index}`;
    const host = new HostClock(this.clock);
    this.network.attach(name, host);
    const guard = new CrashGuard({
      policy: undefined,
      statistics: new GatewayStatistics(),
      clock: host,
      logger: new SilentLogger(),
      announce: () => group.reportNow(),
    });
    const events = {
      ...silentGroupEvents({
        takeCrashNews: () => guard.takeNews(),
        onCrashNews: (news) => guard.receive(news),
      }),
      get hasCrashNews(): boolean {
        return guard.hasNews;
      },
    };
    const address = `${name}:7000`;
    const group = await GroupMembership.open(
      {
        identity: {
          nodeId: name,
          zone: 'zone-a',
          region: 'region-a',
          capacity: 1_000,
          gossipAddress: address,
          peerAddress: `${name}:80`,
        },
        seeds: ['router-0:7000', 'router-1:7000'],
      },
      new SimulatedDatagramTransport(this.sockets, name),
      new LoadTable(),
      events,
      host,
      new SeededRandom(100 + index),
      new SilentLogger(),
    );
    group.start();
    const peer = { guard, group };
    this.peers.push(peer);
    return peer;
  }

  stop(): void {
    for (const { group } of this.peers) group.stop();
  }
}

/** One request under which an engine crashed, among others that were there by chance. */
function crashOf(engine: number): { engineId: string; fingerprints: string[] } {
  const bystanders = Array.from({ length: BYSTANDERS }, (_, index) =>
    (engine * BYSTANDERS + index).toString(16).padStart(32, '0'),
  );
  return { engineId: `engine-${engine}`, fingerprints: [...bystanders, CAUSE] };
}

test('all routers of a large group quarantine a request whose crashes three different ones saw', async (t) => {
  const world = new CrashNewsWorld();
  for (let index = 0; index < ROUTERS; index += 1) await world.start();
  await world.clock.advance(JOINED_MS);
  world.network.faults.datagramLoss = LOSS;
  [7, 25, 50].forEach((router, engine) =>
    (world.peers[router] as Peer).guard.noteCrash(crashOf(engine)),
  );
  await world.clock.advance(SPREAD_MS);
  t.is(world.peers.filter(({ guard }) => guard.isQuarantined(CAUSE)).length, ROUTERS);
  const blamed = world.peers.flatMap(({ guard }) => [...guard.quarantinedSince.keys()]);
  t.deepEqual(new Set(blamed), new Set([CAUSE]));

  const late = await world.start();
  await world.clock.advance(STARTED_MS);
  t.true(late.guard.isQuarantined(CAUSE));
  world.stop();
});

test('a good end at one router clears the request at all of them', async (t) => {
  const world = new CrashNewsWorld();
  for (let index = 0; index < ROUTERS; index += 1) await world.start();
  await world.clock.advance(JOINED_MS);
  world.network.faults.datagramLoss = LOSS;
  [0, 1, 2].forEach((router) => (world.peers[router] as Peer).guard.noteCrash(crashOf(router)));
  await world.clock.advance(SPREAD_MS);
  (world.peers[40] as Peer).guard.noteGoodEnd(CAUSE);
  await world.clock.advance(SPREAD_MS);
  t.is(world.peers.filter(({ guard }) => guard.isQuarantined(CAUSE)).length, 0);
  await world.clock.advance(JOINED_MS);
  t.is(world.peers.filter(({ guard }) => guard.isQuarantined(CAUSE)).length, 0);
  world.stop();
});
