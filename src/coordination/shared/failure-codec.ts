/** Encodes call failures for the peer protocol and decodes them. */
import { create } from '@bufbuild/protobuf';
import {
  type CallFailed,
  CallFailedSchema,
  FailureKind,
} from '../../protocol/peer/generated/peer_pb.js';
import { type CallFailure, type FailedCall, retryAfterOf } from '../errors.js';

const KINDS: Record<CallFailure['kind'], FailureKind> = {
  overloaded: FailureKind.OVERLOADED,
  unavailable: FailureKind.UNAVAILABLE,
  deadline: FailureKind.DEADLINE,
  forbidden: FailureKind.FORBIDDEN,
  invalid: FailureKind.INVALID,
  'outcome-unknown': FailureKind.OUTCOME_UNKNOWN,
  'try-another-router': FailureKind.TRY_ANOTHER_ROUTER,
};

/** Encodes a failure for the node that started the call. */
export function encodeFailure(
  callNumber: number,
  requestId: string,
  failed: FailedCall,
): CallFailed {
  return create(CallFailedSchema, {
    callNumber,
    requestId,
    kind: KINDS[failed.failure.kind],
    message: failed.failure.message,
    notRun: failed.notRun,
    retryAfterMs: Math.round(retryAfterOf(failed.failure)),
  });
}

/** Decodes a failure. An unknown kind is decoded as an unknown outcome. */
export function decodeFailure(message: CallFailed): FailedCall {
  return { failure: failureOf(message), notRun: message.notRun };
}

function failureOf(message: CallFailed): CallFailure {
  const text = message.message;
  switch (message.kind) {
    case FailureKind.OVERLOADED:
      return { kind: 'overloaded', message: text, retryAfterMs: message.retryAfterMs };
    case FailureKind.UNAVAILABLE:
      return { kind: 'unavailable', message: text, retryAfterMs: message.retryAfterMs };
    case FailureKind.DEADLINE:
      return { kind: 'deadline', message: text };
    case FailureKind.FORBIDDEN:
      return { kind: 'forbidden', message: text };
    case FailureKind.INVALID:
      return { kind: 'invalid', message: text };
    case FailureKind.TRY_ANOTHER_ROUTER:
      return { kind: 'try-another-router', message: text };
    default:
      return { kind: 'outcome-unknown', message: text };
  }
}
