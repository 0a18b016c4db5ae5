/** Encodes and authenticates membership datagrams. */
import { createHmac, timingSafeEqual } from 'node:crypto';
import { create, fromBinary, toBinary } from '@bufbuild/protobuf';
import {
  type DocumentRevision,
  type GossipDatagram,
  GossipDatagramSchema,
} from './generated/peer_pb.js';

/** Length of the keyed hash, a truncated HMAC-SHA-256. */
const AUTHENTICATION_BYTES = 16;

/** Fields of a datagram without its authentication. */
export type GossipContents = Omit<GossipDatagram, '$typeName' | '$unknown' | 'authentication'>;

/** Encodes a datagram and adds a keyed hash over all other fields. */
export function encodeGossip(contents: GossipContents, clusterKey: string): Uint8Array {
  const unsigned = toBinary(GossipDatagramSchema, create(GossipDatagramSchema, contents));
  const authentication = authenticate(unsigned, clusterKey);
  return toBinary(
    GossipDatagramSchema,
    create(GossipDatagramSchema, { ...contents, authentication }),
  );
}

/** Decodes a datagram; undefined if it is malformed or its keyed hash does not match. */
export function decodeGossip(datagram: Uint8Array, clusterKey: string): GossipDatagram | undefined {
  let decoded: GossipDatagram;
  try {
    decoded = fromBinary(GossipDatagramSchema, datagram);
  } catch {
    return undefined;
  }
  const claimed = decoded.authentication;
  const unsigned = toBinary(
    GossipDatagramSchema,
    create(GossipDatagramSchema, { ...decoded, authentication: new Uint8Array() }),
  );
  const expected = authenticate(unsigned, clusterKey);
  if (claimed.length !== expected.length || !timingSafeEqual(claimed, expected)) return undefined;
  return decoded;
}

function authenticate(bytes: Uint8Array, clusterKey: string): Uint8Array {
  const digest = createHmac('sha256', clusterKey).update(bytes).digest();
  return new Uint8Array(digest.subarray(0, AUTHENTICATION_BYTES));
}

export type { DocumentRevision };
