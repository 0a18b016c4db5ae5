/** Encodes and decodes datagrams between routers. */
import { create, fromBinary, toBinary } from '@bufbuild/protobuf';
import { BinaryWriter, WireType } from '@bufbuild/protobuf/wire';
import {
  type ClusterDatagram,
  ClusterDatagramSchema,
  type LoadReport,
  type Observations,
  type QuotaAnswer,
  type QuotaNotice,
  type QuotaQuestion,
  type StreamOriginAnswer,
  type StreamOriginNotice,
  type StreamOriginQuestion,
  type WorkReport,
  type WorkSummary,
} from './generated/cluster_pb.js';
import {
  type GossipDatagram,
  GossipDatagramSchema,
  type MemberUpdate,
  MemberUpdateSchema,
} from './generated/peer_pb.js';

/** Fields of a message without those of the protobuf library. */
export type Contents<Message> = Omit<Message, '$typeName' | '$unknown'>;

/** Datagrams by which routers of a large group announce their load to each other. */
export type WorkDatagram = Extract<ClusterDatagram['body'], { case: 'workReport' | 'workSummary' }>;

/** Datagrams by which routers enforce the quotas of tenants together. */
export type QuotaDatagram = Extract<
  ClusterDatagram['body'],
  { case: 'quotaQuestion' | 'quotaAnswer' | 'quotaNotice' }
>;

/** Datagrams by which routers find the engines' build that began a stream. */
export type StreamOriginDatagram = Extract<
  ClusterDatagram['body'],
  { case: 'streamOriginNotice' | 'streamOriginQuestion' | 'streamOriginAnswer' }
>;

/** Datagrams by which routers share what they observe of engines, prompts and tenants. */
export type ObservationDatagram = Extract<
  ClusterDatagram['body'],
  { case: 'observationReport' | 'observationSummary' }
>;

/** Encodes one member update for {@link encodeClusterGossip}. */
export function encodeUpdate(update: MemberUpdate): Uint8Array {
  return toBinary(MemberUpdateSchema, update);
}

/**
 * Encodes a gossip datagram from encoded member updates. Each update is sent many times, so that
 * its encoding is reused.
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

export function encodeObservationReport(observations: Observations): Uint8Array {
  return encodeBody({ case: 'observationReport', value: observations });
}

export function encodeObservationSummary(observations: Observations): Uint8Array {
  return encodeBody({ case: 'observationSummary', value: observations });
}

export function encodeStreamOriginNotice(notice: StreamOriginNotice): Uint8Array {
  return encodeBody({ case: 'streamOriginNotice', value: notice });
}

export function encodeStreamOriginQuestion(question: StreamOriginQuestion): Uint8Array {
  return encodeBody({ case: 'streamOriginQuestion', value: question });
}

export function encodeStreamOriginAnswer(answer: StreamOriginAnswer): Uint8Array {
  return encodeBody({ case: 'streamOriginAnswer', value: answer });
}

function encodeBody(body: ClusterDatagram['body']): Uint8Array {
  return toBinary(ClusterDatagramSchema, create(ClusterDatagramSchema, { body }));
}

/** Returns undefined if the datagram is malformed. */
export function decodeClusterDatagram(datagram: Uint8Array): ClusterDatagram['body'] | undefined {
  try {
    return fromBinary(ClusterDatagramSchema, datagram).body;
  } catch {
    return undefined;
  }
}
