/** Errors of the protocol layer, and their conversion from transport errors. */
import type { StorePosition } from '../runtime/store-position.js';
import { TransportFailure, describeTransportError } from '../transport/errors.js';

/** Errors in calls to a peer or an external system. */
export type ProtocolError =
  /** No connection could be made; nothing was sent. */
  | { readonly kind: 'unreachable'; readonly address: string; readonly reason: string }
  /** The connection failed after sending; whether the call took effect is unknown. */
  | { readonly kind: 'interrupted'; readonly address: string; readonly reason: string }
  /** The response is larger than the caller accepts. */
  | { readonly kind: 'too-large'; readonly address: string; readonly maximumBytes: number }
  /** The other side responded with an error status. */
  | { readonly kind: 'rejected'; readonly status: number; readonly reason: string }
  /** The response does not conform to the protocol. */
  | { readonly kind: 'malformed'; readonly reason: string }
  | { readonly kind: 'version-mismatch'; readonly theirs: number; readonly ours: number }
  /** The response has an older store position than an earlier response. */
  | {
      readonly kind: 'outdated';
      readonly position: StorePosition;
      readonly knownPosition: StorePosition;
    }
  /** A conditional write expected another version than the stored one. */
  | { readonly kind: 'conflict'; readonly presentVersion: number };

/** Carries a protocol error through promise rejections. */
export class ProtocolFailure extends Error {
  constructor(readonly error: ProtocolError) {
    super(describeProtocolError(error));
    this.name = 'ProtocolFailure';
  }
}

/** Formats an error as one line for logs. */
export function describeProtocolError(error: ProtocolError): string {
  switch (error.kind) {
    case 'unreachable':
      return `${error.address} is unreachable: ${error.reason}`;
    case 'interrupted':
      return `exchange with ${error.address} was interrupted: ${error.reason}`;
    case 'too-large':
      return `response of ${error.address} is larger than ${error.maximumBytes} bytes`;
    case 'rejected':
      return `rejected with status ${error.status}: ${error.reason}`;
    case 'malformed':
      return `malformed response: ${error.reason}`;
    case 'version-mismatch':
      return `peer uses protocol version ${error.theirs}, this node uses ${error.ours}`;
    case 'outdated':
      return `response at position ${String(error.position)} is older than known position ${String(error.knownPosition)}`;
    case 'conflict':
      return `write conflict: the current version is ${error.presentVersion}`;
  }
}

/** Converts an error thrown by a lower layer to a protocol error. */
export function toProtocolError(cause: unknown, address: string): ProtocolError {
  if (cause instanceof ProtocolFailure) return cause.error;
  if (cause instanceof TransportFailure) {
    return { kind: 'unreachable', address, reason: describeTransportError(cause.error) };
  }
  const reason = cause instanceof Error ? cause.message : String(cause);
  return { kind: 'interrupted', address, reason };
}
