/** Encodes and decodes the datagrams between routers. */
import { create, fromBinary, toBinary } from '@bufbuild/protobuf';
import { BinaryWriter, WireType } from '@bufbuild/protobuf/wire';
import {
  type ClusterDatagram,
  ClusterDatagramSchema,
  type LoadReport,
  type QuotaAnswer,
  type QuotaNotice,
  type QuotaQuestion,
  type WorkReport,
  type WorkSummary,
} from './generated/cluster_pb.js';
import {
  type GossipDatagram,
  GossipDatagramSchema,
  type MemberUpdate,
  MemberUpdateSchema,
} from './generated/peer_pb.js';

/** Contents of a message without the library's own fields. */
export type Contents<Message> = Omit<Message, '$typeName' | '$unknown'>;

/** The datagrams with which routers of a large group tell each other their work. */
export type WorkDatagram = Extract<ClusterDatagram['body'], { case: 'workReport' | 'workSummary' }>;

/** The datagrams with which routers keep the limits of tenants together. */
export type QuotaDatagram = Extract<
  ClusterDatagram['body'],
  { case: 'quotaQuestion' | 'quotaAnswer' | 'quotaNotice' }
>;

/** One statement about a member, for {@link encodeClusterGossip}. */
export function encodeUpdate(update: MemberUpdate): Uint8Array {
  return toBinary(MemberUpdateSchema, update);
}

/**
 * Encodes gossip around statements that are encoded already: each is sent many times, and encoding them
 * was the larger part of what a datagram costs.
 *
 * @param head the other fields of the datagram
 */
export function encodeClusterGossip(
  head: GossipDatagram,
  updates: readonly Uint8Array[],
): Uint8Array {
  const writer = new BinaryWriter();
  writer.tag(ClusterDatagramSchema.field.gossip.number, WireType.LengthDelimited).fork();
  writer.raw(toBinary(GossipDatagramSchema, head));
  for (const update of updates) {
    writer.tag(GossipDatagramSchema.field.updates.number, WireType.LengthDelimited).bytes(update);
  }
  return writer.join().finish();
}

export function encodeLoadReport(report: LoadReport): Uint8Array {
  return encodeBody({ case: 'loadReport', value: report });
}

export function encodeQuotaQuestion(question: QuotaQuestion): Uint8Array {
  return encodeBody({ case: 'quotaQuestion', value: question });
}

export function encodeQuotaAnswer(answer: QuotaAnswer): Uint8Array {
  return encodeBody({ case: 'quotaAnswer', value: answer });
}

export function encodeQuotaNotice(notice: QuotaNotice): Uint8Array {
  return encodeBody({ case: 'quotaNotice', value: notice });
}

export function encodeWorkReport(report: WorkReport): Uint8Array {
  return encodeBody({ case: 'workReport', value: report });
}

export function encodeWorkSummary(summary: WorkSummary): Uint8Array {
  return encodeBody({ case: 'workSummary', value: summary });
}

function encodeBody(body: ClusterDatagram['body']): Uint8Array {
  return toBinary(ClusterDatagramSchema, create(ClusterDatagramSchema, { body }));
}

/** Undefined where the datagram is malformed. */
export function decodeClusterDatagram(datagram: Uint8Array): ClusterDatagram['body'] | undefined {
  try {
    return fromBinary(ClusterDatagramSchema, datagram).body;
  } catch {
    return undefined;
  }
}
