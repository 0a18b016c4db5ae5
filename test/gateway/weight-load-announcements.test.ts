/** Guards against announcements that are lost, sent too often or overridden by older ones. */
import test from 'ava';
import fc from 'fast-check';
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
import { LoadTable } from '../../src/state/routing/load-table.js';
import {
  type WeightLoadAnnouncement,
  WeightLoadAnnouncements,
} from '../../src/state/routing/weight-load-announcements.js';
import type { DatagramTransport } from '../../src/transport/datagram-transport.js';
import { noopGroupEvents } from '../helpers/noop-group-events.js';

const MODEL = 'model-a';
const ROUTERS = 40;

function announcementOf(
  engineId: string,
  version: number,
  isLoading: boolean,
  ageMs = 0,
): WeightLoadAnnouncement {
  return { engineId, model: MODEL, version, isLoading, ageMs };
}

test('the latest state of an engine prevails in any order of arrival', (t) => {
  const step = fc.record({ version: fc.integer({ min: 1, max: 4 }), isLoading: fc.boolean() });
  const property = fc.property(fc.array(step, { minLength: 1, maxLength: 12 }), (steps) => {
    const announcements = new WeightLoadAnnouncements();
    for (const { version, isLoading } of steps) {
      announcements.record(announcementOf('engine', version, isLoading), 1_000);
    }
    const progress = ({ version, isLoading }: (typeof steps)[number]): number =>
      version * 2 + (isLoading ? 0 : 1);
    const last = steps.reduce((best, each) => (progress(each) > progress(best) ? each : best));
    const [relayed] = announcements.toRelay(1_000);
    t.is(relayed?.version, last.version);
    t.is(relayed?.isLoading, last.isLoading);
  });
  fc.assert(property, { seed: 3, numRuns: 200 });
});

test('announcements are relayed for a limited time, and renewed only by a load in progress', (t) => {
  const announcements = new WeightLoadAnnouncements();
  t.true(announcements.record(announcementOf('engine', 2, true), 0));
  t.false(announcements.record(announcementOf('engine', 2, true, 300), 300));
  t.true(announcements.record(announcementOf('engine', 2, true), 1_000));
  t.is(announcements.toRelay(2_000).length, 1);
  t.is(announcements.toRelay(2_600).length, 0);
  t.false(announcements.record(announcementOf('engine', 1, false), 2_700));
  t.true(announcements.record(announcementOf('engine', 2, false), 2_700));
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
  readonly received: WeightLoadAnnouncement[];
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
    const received: WeightLoadAnnouncement[] = [];
    const peer = { transport, received, own: [] as WeightLoadAnnouncement[] };
    const events = noopGroupEvents({
      weightLoadAnnouncements: () => peer.own,
      onWeightLoadAnnouncement: (announcement) => received.push(announcement),
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
      new NoopLogger(),
    );
    group.start();
    peers.push(Object.assign(peer, { group }));
  }
  await clock.advance(6_000);
  return peers;
}

test('in a large group an announcement reaches all routers, though its origin sends it to a few', async (t) => {
  const clock = new VirtualClock();
  const peers = await largeGroup(clock);
  const origin = peers[0] as Peer;
  t.is(origin.group.working.length, ROUTERS);
  const sentBefore = origin.transport.sent;
  const ENGINES = 16;
  for (let index = 0; index < ENGINES; index += 1) {
    origin.own = [...origin.own, announcementOf(`engine-${index}`, 2, true)];
    origin.group.reportNow();
  }
  await clock.advance(100);
  // One announcement for all sixteen loads, in addition to reports and probes.
  t.true(origin.transport.sent - sentBefore <= 20, `${origin.transport.sent - sentBefore}`);
  await clock.advance(500);
  for (const { received } of peers.slice(1)) t.is(received.length, ENGINES);
  for (const { group } of peers) group.stop();
});

test('a report requested before a router joined does not suppress later announcements', async (t) => {
  const clock = new VirtualClock();
  const sockets = new SimulatedSockets(new SimulatedNetwork(clock, new SeededRandom(1)));
  const host = new HostClock(clock);
  sockets.network.attach('router-0', host);
  const transport = new CountingTransport(new SimulatedDatagramTransport(sockets, 'router-0'));
  const events = noopGroupEvents();
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
    new NoopLogger(),
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
    new NoopLogger(),
  );
  sockets.network.attach('router-1', new HostClock(clock));
  group.reportNow();
  group.start();
  other.start();
  await clock.advance(1_000);
  const sentBefore = transport.sent;
  group.reportNow();
  await clock.advance(8);
  t.is(transport.sent, sentBefore + 1);
});
