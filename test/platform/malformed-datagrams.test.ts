/**
 * Guards against datagrams of peers that end the router: addresses that can't be sent to, flipped bits,
 * and contents that a handler does not expect.
 */
import { create } from '@bufbuild/protobuf';
import test, { type ExecutionContext } from 'ava';
import { GroupEventTarget } from '../../src/coordination/gateway/group-event-target.js';
import { GroupMembership } from '../../src/coordination/gateway/group-membership.js';
import {
  encodeClusterGossip,
  encodeStreamOriginQuestion,
  encodeUpdate,
} from '../../src/protocol/peer/cluster-codec.js';
import { StreamOriginQuestionSchema } from '../../src/protocol/peer/generated/cluster_pb.js';
import {
  GossipDatagramSchema,
  GossipKind,
  MemberStatus,
  MemberUpdateSchema,
} from '../../src/protocol/peer/generated/peer_pb.js';
import { SystemClock } from '../../src/runtime/clock.js';
import { NoopLogger } from '../../src/runtime/logger.js';
import { SeededRandom } from '../../src/runtime/random.js';
import type { DatagramSocket } from '../../src/transport/datagram-transport.js';
import { UdpDatagramTransport } from '../../src/transport/udp-datagram-transport.js';
import { withFlippedBits } from '../helpers/flipped-bits.js';
import { wait, waitUntil } from '../helpers/socket-router.js';

const UNUSABLE_ADDRESSES = ['', ':', 'x', '127.0.0.1', '127.0.0.1:0', '127.0.0.1:99999', 'a:b'];
/** Longer than the period in which a router probes a member. */
const PROBES_MS = 700;

async function bind(t: ExecutionContext): Promise<DatagramSocket> {
  const socket = await new UdpDatagramTransport().bind('127.0.0.1:0', () => undefined);
  t.teardown(() => socket.close());
  return socket;
}

async function startGroup(t: ExecutionContext): Promise<GroupMembership> {
  const events = new GroupEventTarget();
  const identity = {
    nodeId: 'router-0',
    zone: 'zone-a',
    region: 'region-a',
    capacity: 1_000,
    peerAddress: '127.0.0.1:1',
    gossipAddress: '127.0.0.1:0',
  };
  const group = await GroupMembership.open(
    { identity, seeds: [] },
    new UdpDatagramTransport(),
    events.loads,
    events,
    new SystemClock(),
    new SeededRandom(3),
    new NoopLogger(),
  );
  t.teardown(() => group.stop());
  group.start();
  return group;
}

/** A ping that introduces a member with the address. */
function pingOf(nodeId: string, gossipAddress: string): Uint8Array {
  const contents = { sender: nodeId, sequence: 1, kind: GossipKind.PING };
  const update = create(MemberUpdateSchema, {
    nodeId,
    status: MemberStatus.ALIVE,
    incarnation: 1n,
    peerAddress: gossipAddress,
    gossipAddress,
    zone: 'zone-a',
    region: 'region-a',
  });
  return encodeClusterGossip(create(GossipDatagramSchema, contents), [encodeUpdate(update)]);
}

test('a datagram to an address that does not exist is lost', async (t) => {
  const socket = await bind(t);
  for (const address of UNUSABLE_ADDRESSES)
    t.notThrows(() => socket.send(address, Buffer.from('x')), address);
});

test('members whose addresses do not exist do not end the router', async (t) => {
  const group = await startGroup(t);
  const peer = await bind(t);
  for (const [index, address] of UNUSABLE_ADDRESSES.entries())
    peer.send(group.boundAddress, pingOf(`member-${index}`, address));
  await waitUntil(() => group.working.length > 1);
  await wait(PROBES_MS);
  t.true(group.hasJoined);
});

test('no flipped bit of a datagram ends the router', async (t) => {
  const group = await startGroup(t);
  const peer = await bind(t);
  const question = create(StreamOriginQuestionSchema, { attemptId: 'a', replyTo: peer.address });
  for (const datagram of [pingOf('member-1', peer.address), encodeStreamOriginQuestion(question)]) {
    for (const flipped of withFlippedBits(datagram)) peer.send(group.boundAddress, flipped);
    await wait(PROBES_MS);
  }
  t.true(group.hasJoined);
});

test('a datagram whose handler throws does not end the router', async (t) => {
  const group = await startGroup(t);
  const peer = await bind(t);
  let calls = 0;
  group.onStreamOriginDatagram = () => {
    calls += 1;
    throw new TypeError('thrown by the test');
  };
  const question = create(StreamOriginQuestionSchema, { attemptId: 'a', replyTo: '' });
  for (let sent = 0; sent < 2; sent += 1) {
    peer.send(group.boundAddress, encodeStreamOriginQuestion(question));
    await waitUntil(() => calls > sent);
  }
  t.is(calls, 2);
});
