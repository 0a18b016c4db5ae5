/** Encodes and decodes the datagrams between routers. */
import { create, fromBinary, toBinary } from '@bufbuild/protobuf';
import {
  type ClusterDatagram,
  ClusterDatagramSchema,
  type LoadReport,
} from './generated/cluster_pb.js';
import type { GossipDatagram } from './generated/peer_pb.js';

/** Contents of a message without the library's own fields. */
export type Contents<Message> = Omit<Message, '$typeName' | '$unknown'>;

export function encodeClusterGossip(gossip: GossipDatagram): Uint8Array {
  return toBinary(
    ClusterDatagramSchema,
    create(ClusterDatagramSchema, { body: { case: 'gossip', value: gossip } }),
  );
}

export function encodeLoadReport(report: LoadReport): Uint8Array {
  return toBinary(
    ClusterDatagramSchema,
    create(ClusterDatagramSchema, { body: { case: 'loadReport', value: report } }),
  );
}

/** Undefined where the datagram is malformed. */
export function decodeClusterDatagram(datagram: Uint8Array): ClusterDatagram['body'] | undefined {
  try {
    return fromBinary(ClusterDatagramSchema, datagram).body;
  } catch {
    return undefined;
  }
}
