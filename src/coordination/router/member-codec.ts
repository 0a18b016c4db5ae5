/** Encodes membership messages for the peer protocol and decodes them. */
import { create } from '@bufbuild/protobuf';
import {
  GossipKind as WireKind,
  MemberStatus as WireStatus,
  type MemberUpdate as WireUpdate,
  MemberUpdateSchema,
} from '../../protocol/peer/generated/peer_pb.js';
import { type GossipKind, MemberStatus, type MemberUpdate } from '../../state/membership.js';

const STATUS_TO_WIRE: Record<MemberStatus, WireStatus> = {
  [MemberStatus.Alive]: WireStatus.ALIVE,
  [MemberStatus.Suspect]: WireStatus.SUSPECT,
  [MemberStatus.Dead]: WireStatus.DEAD,
  [MemberStatus.Leaving]: WireStatus.LEAVING,
};

const STATUS_FROM_WIRE: Partial<Record<WireStatus, MemberStatus>> = {
  [WireStatus.ALIVE]: MemberStatus.Alive,
  [WireStatus.SUSPECT]: MemberStatus.Suspect,
  [WireStatus.DEAD]: MemberStatus.Dead,
  [WireStatus.LEAVING]: MemberStatus.Leaving,
};

const KIND_TO_WIRE: Record<GossipKind, WireKind> = {
  ping: WireKind.PING,
  ack: WireKind.ACK,
  'ping-request': WireKind.PING_REQUEST,
};

const KIND_FROM_WIRE: Partial<Record<WireKind, GossipKind>> = {
  [WireKind.PING]: 'ping',
  [WireKind.ACK]: 'ack',
  [WireKind.PING_REQUEST]: 'ping-request',
};

export function encodeMemberUpdate(update: MemberUpdate): WireUpdate {
  return create(MemberUpdateSchema, {
    nodeId: update.nodeId,
    status: STATUS_TO_WIRE[update.status],
    incarnation: BigInt(update.incarnation),
    peerAddress: update.peerAddress,
    gossipAddress: update.gossipAddress,
    zone: update.zone,
    region: update.region,
    capacity: update.capacity,
  });
}

/** Decodes a member update. An unknown status becomes suspect, which the member can refute. */
export function decodeMemberUpdate(wire: WireUpdate): MemberUpdate {
  return {
    nodeId: wire.nodeId,
    status: STATUS_FROM_WIRE[wire.status] ?? MemberStatus.Suspect,
    incarnation: Number(wire.incarnation),
    peerAddress: wire.peerAddress,
    gossipAddress: wire.gossipAddress,
    zone: wire.zone,
    region: wire.region,
    capacity: wire.capacity,
  };
}

export function encodeGossipKind(kind: GossipKind): WireKind {
  return KIND_TO_WIRE[kind];
}

export function decodeGossipKind(kind: WireKind): GossipKind | undefined {
  return KIND_FROM_WIRE[kind];
}
