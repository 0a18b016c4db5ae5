/** How news of weights spread in a large group, and which of two news counts. */
import test from 'ava';
import fc from 'fast-check';
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
import {
  type WeightLoadAnnouncement,
  WeightLoadAnnouncements,
} from '../../src/state/routing/weight-load-announcements.js';
import type { DatagramTransport } from '../../src/transport/datagram-transport.js';
import { silentGroupEvents } from '../helpers/silent-group-events.js';

const MODEL = 'model-a';
const ROUTERS = 40;

function newsOf(
  engineId: string,
  version: number,
  isLoading: boolean,
  ageMs = 0,
): WeightLoadAnnouncement {
  return { engineId, model: MODEL, version, isLoading, ageMs };
}

test('whatever the order of arrival, the last step of an engine stays', (t) => {
  const step = fc.record({ version: fc.integer({ min: 1, max: 4 }), isLoading: fc.boolean() });
  const property = fc.property(fc.array(step, { minLength: 1, maxLength: 12 }), (steps) => {
    const board = new WeightLoadAnnouncements();
    for (const { version, isLoading } of steps) {
      board.take(newsOf('engine', version, isLoading), 1_000);
    }
    const rank = ({ version, isLoading }: (typeof steps)[number]): number =>
      version * 2 + (isLoading ? 0 : 1);
    const last = steps.reduce((best, each) => (rank(each) > rank(best) ? each : best));
    const [told] = board.toTell(1_000);
    t.is(told?.version, last.version);
    t.is(told?.isLoading, last.isLoading);
  });
  fc.assert(property, { seed: 3, numRuns: 200 });
});

test('news are told for a while, and the same news again only from a load that lasts', (t) => {
  const board = new WeightLoadAnnouncements();
  t.true(board.take(newsOf('engine', 2, true), 0));
  t.false(board.take(newsOf('engine', 2, true, 300), 300));
  t.true(board.take(newsOf('engine', 2, true), 1_000));
  t.is(board.toTell(2_000).length, 1);
  t.is(board.toTell(2_600).length, 0);
  t.false(board.take(newsOf('engine', 1, false), 2_700));
  t.true(board.take(newsOf('engine', 2, false), 2_700));
});

/** Counts the datagrams that one router sends. */
class CountingTransport implements DatagramTransport {
  sent = 0;

  constructor(private readonly inner: DatagramTransport) {}

  async bind(
    ...[address, receive]: Parameters<DatagramTransport['bind']>
  ): ReturnType<DatagramTransport['bind']> {
    const socket = await this.inner.bind(address, receive);
    return {
      ...socket,
      send: (target, datagram) => {
        this.sent += 1;
        socket.send(target, datagram);
      },
      close: () => {
        socket.close();
      },
    };
  }
}

interface Peer {
  readonly group: GroupMembership;
  readonly transport: CountingTransport;
  readonly heard: WeightLoadAnnouncement[];
  own: WeightLoadAnnouncement[];
}

async function largeGroup(clock: VirtualClock): Promise<Peer[]> {
  const network = new SimulatedNetwork(clock, new SeededRandom(1));
  const sockets = new SimulatedSockets(network);
  const peers: Peer[] = [];
  for (let index = 0; index < ROUTERS; index += 1) {
    const name = `router-${index}`;
    network.attach(name, new HostClock(clock));
    const transport = new CountingTransport(new SimulatedDatagramTransport(sockets, name));
    const heard: WeightLoadAnnouncement[] = [];
    const peer = { transport, heard, own: [] as WeightLoadAnnouncement[] };
    const events = silentGroupEvents({
      weightsNews: () => peer.own,
      onWeightsNews: (news) => heard.push(news),
    });
    const address = `${name}:7000`;
    const identity = {
      nodeId: name,
      zone: 'zone-a',
      region: 'region-a',
      capacity: 1_000,
      gossipAddress: address,
      peerAddress: address,
    };
    const group = await GroupMembership.open(
      { identity, seeds: ['router-0:7000', 'router-1:7000'] },
      transport,
      new LoadTable(),
      events,
      clock,
      new SeededRandom(100 + index),
      new SilentLogger(),
    );
    group.start();
    peers.push(Object.assign(peer, { group }));
  }
  await clock.advance(6_000);
  return peers;
}

test('in a large group all hear of a load soon, though its origin tells only a few', async (t) => {
  const clock = new VirtualClock();
  const peers = await largeGroup(clock);
  const origin = peers[0] as Peer;
  t.is(origin.group.working.length, ROUTERS);
  const sentBefore = origin.transport.sent;
  const ENGINES = 16;
  for (let index = 0; index < ENGINES; index += 1) {
    origin.own = [...origin.own, newsOf(`engine-${index}`, 2, true)];
    origin.group.reportNow();
  }
  await clock.advance(100);
  // One announcement for all sixteen orders, beside reports and probes of that time.
  t.true(origin.transport.sent - sentBefore <= 20, `${origin.transport.sent - sentBefore}`);
  await clock.advance(500);
  for (const { heard } of peers.slice(1)) t.is(heard.length, ENGINES);
  for (const { group } of peers) group.stop();
});

test('what was to be told before a router joined does not keep it from telling news later', async (t) => {
  const clock = new VirtualClock();
  const sockets = new SimulatedSockets(new SimulatedNetwork(clock, new SeededRandom(1)));
  const host = new HostClock(clock);
  sockets.network.attach('router-0', host);
  const transport = new CountingTransport(new SimulatedDatagramTransport(sockets, 'router-0'));
  const events = silentGroupEvents();
  const group = await GroupMembership.open(
    {
      identity: {
        nodeId: 'router-0',
        zone: 'zone-a',
        region: 'region-a',
        capacity: 1_000,
        gossipAddress: 'router-0:7000',
        peerAddress: 'router-0:80',
      },
      seeds: ['router-1:7000'],
    },
    transport,
    new LoadTable(),
    events,
    clock,
    new SeededRandom(2),
    new SilentLogger(),
  );
  const other = await GroupMembership.open(
    {
      identity: {
        nodeId: 'router-1',
        zone: 'zone-a',
        region: 'region-a',
        capacity: 1_000,
        gossipAddress: 'router-1:7000',
        peerAddress: 'router-1:80',
      },
      seeds: ['router-0:7000'],
    },
    new SimulatedDatagramTransport(sockets, 'router-1'),
    new LoadTable(),
    events,
    clock,
    new SeededRandom(3),
    new SilentLogger(),
  );
  sockets.network.attach('router-1', new HostClock(clock));
  group.reportNow();
  group.start();
  other.start();
  await clock.advance(1_000);
  const before = transport.sent;
  group.reportNow();
  await clock.advance(8);
  t.is(transport.sent, before + 1);
});
