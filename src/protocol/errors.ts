/** Errors of the protocol layer and how it turns those of the transport. */
import type { StorePosition } from '../runtime/store-position.js';
import { TransportFailure, describeTransportError } from '../transport/errors.js';

/** What can go wrong in talking to a peer or an outside system. */
export type ProtocolError =
  /** Nothing was sent. */
  | { readonly kind: 'unreachable'; readonly address: string; readonly reason: string }
  /** Something was sent; what became of it is not known. */
  | { readonly kind: 'interrupted'; readonly address: string; readonly reason: string }
  /** The other side answered with a refusal. */
  | { readonly kind: 'rejected'; readonly status: number; readonly reason: string }
  /** The answer does not follow the protocol. */
  | { readonly kind: 'malformed'; readonly reason: string }
  | { readonly kind: 'version-mismatch'; readonly theirs: number; readonly ours: number }
  /** The answer shows an older state than one that was seen before. */
  | {
      readonly kind: 'outdated';
      readonly position: StorePosition;
      readonly knownPosition: StorePosition;
    }
  /** A write met another version than it expected. */
  | { readonly kind: 'conflict'; readonly presentVersion: number };

/** Carries a protocol error through promise rejections. */
export class ProtocolFailure extends Error {
  constructor(readonly error: ProtocolError) {
    super(describeProtocolError(error));
    this.name = 'ProtocolFailure';
  }
}

/** One line for logs. */
export function describeProtocolError(error: ProtocolError): string {
  switch (error.kind) {
    case 'unreachable':
      return `${error.address} is unreachable: ${error.reason}`;
    case 'interrupted':
      return `exchange with ${error.address} was interrupted: ${error.reason}`;
    case 'rejected':
      return `refused with status ${error.status}: ${error.reason}`;
    case 'malformed':
      return `malformed answer: ${error.reason}`;
    case 'version-mismatch':
      return `peer speaks protocol version ${error.theirs}, this node ${error.ours}`;
    case 'outdated':
      return `answer at position ${String(error.position)}, though ${String(error.knownPosition)} was seen`;
    case 'conflict':
      return `present version is ${error.presentVersion}`;
  }
}

/** Turns whatever a lower layer threw into a protocol error. */
export function toProtocolError(cause: unknown, address: string): ProtocolError {
  if (cause instanceof ProtocolFailure) return cause.error;
  if (cause instanceof TransportFailure) {
    return { kind: 'unreachable', address, reason: describeTransportError(cause.error) };
  }
  const reason = cause instanceof Error ? cause.message : String(cause);
  return { kind: 'interrupted', address, reason };
}
