/** Guards against gossip datagrams that differ when they are assembled from encoded updates. */
import test from 'ava';
import { create, toBinary } from '@bufbuild/protobuf';
import fc from 'fast-check';
import {
  decodeClusterDatagram,
  encodeClusterGossip,
  encodeUpdate,
} from '../../src/protocol/peer/cluster-codec.js';
import { ClusterDatagramSchema } from '../../src/protocol/peer/generated/cluster_pb.js';
import {
  GossipDatagramSchema,
  GossipKind,
  MemberStatus,
  MemberUpdateSchema,
} from '../../src/protocol/peer/generated/peer_pb.js';

const anyUpdate = fc.record({
  nodeId: fc.string(),
  status: fc.constantFrom(MemberStatus.ALIVE, MemberStatus.SUSPECT, MemberStatus.DEAD),
  incarnation: fc.bigInt({ min: 0n, max: 2n ** 53n }),
  peerAddress: fc.string(),
  gossipAddress: fc.string({ maxLength: 300 }),
  zone: fc.string(),
  region: fc.string(),
  capacity: fc.nat(),
});

test('a datagram assembled from encoded updates equals one encoded as a whole', (t) => {
  const property = fc.property(
    fc.string(),
    fc.nat(),
    fc.string(),
    fc.array(anyUpdate, { maxLength: 10 }),
    (sender, sequence, subject, contents) => {
      const updates = contents.map((content) => create(MemberUpdateSchema, content));
      const head = { sender, sequence, subject, kind: GossipKind.PING };
      const whole = create(GossipDatagramSchema, { ...head, updates });
      const datagram = encodeClusterGossip(
        create(GossipDatagramSchema, head),
        updates.map(encodeUpdate),
      );
      t.deepEqual(decodeClusterDatagram(datagram), { case: 'gossip', value: whole });
      const body = { case: 'gossip', value: whole } as const;
      const expected = toBinary(ClusterDatagramSchema, create(ClusterDatagramSchema, { body }));
      t.deepEqual(datagram, expected);
    },
  );
  fc.assert(property, { seed: 9, numRuns: 200 });
});
