/** Encodes and decodes the datagrams between routers. */
import { create, fromBinary, toBinary } from '@bufbuild/protobuf';
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
import type { GossipDatagram } from './generated/peer_pb.js';

/** Contents of a message without the library's own fields. */
export type Contents<Message> = Omit<Message, '$typeName' | '$unknown'>;

/** The datagrams with which routers of a large group tell each other their work. */
export type WorkDatagram = Extract<ClusterDatagram['body'], { case: 'workReport' | 'workSummary' }>;

/** The datagrams with which routers keep the limits of tenants together. */
export type QuotaDatagram = Extract<
  ClusterDatagram['body'],
  { case: 'quotaQuestion' | 'quotaAnswer' | 'quotaNotice' }
>;

export function encodeClusterGossip(gossip: GossipDatagram): Uint8Array {
  return encodeBody({ case: 'gossip', value: gossip });
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
