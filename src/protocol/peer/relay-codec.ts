/** Encodes and decodes the frames by which a router follows the store through another. */
import { create, fromBinary, toBinary } from '@bufbuild/protobuf';
import type { ObjectEvent, StoredObject } from '../object-store/port.js';
import {
  type ObjectAnswer,
  ObjectAnswerSchema,
  type ObjectChange,
  ObjectChangeSchema,
  type ObjectQuery,
  ObjectQuerySchema,
  type RelayFrame,
  RelayFrameSchema,
} from './generated/cluster_pb.js';
import type { Contents } from './cluster-codec.js';

/** A query in the product's words; times in milliseconds. */
export interface RelayQuery {
  /** Names the query on its connection. */
  readonly number: number;
  readonly kind: string;
  /** 0 asks for all objects. */
  readonly revision: number;
  readonly waitMs: number;
}

/** An answer in the product's words; times in milliseconds. */
export interface RelayAnswer {
  readonly number: number;
  readonly isKnown: boolean;
  readonly events: readonly ObjectEvent[];
  readonly revision: number;
  readonly proofAgeMs: number;
  readonly heldMs: number;
}

/** A decoded frame. */
export type RelayMessage =
  | { readonly kind: 'query'; readonly query: RelayQuery }
  | { readonly kind: 'answer'; readonly answer: RelayAnswer };

/** Largest age a frame can tell; whatever is older proves nothing anyway. */
const MAXIMUM_AGE_MS = 0xffff_ffff;

const encoder = new TextEncoder();
const decoder = new TextDecoder();

export function encodeRelayQuery(query: RelayQuery): Uint8Array {
  const { number, kind, revision, waitMs } = query;
  const fields = { number, kind, revision: BigInt(revision), waitMs: Math.round(waitMs) };
  const value = create(ObjectQuerySchema, fields satisfies Contents<ObjectQuery>);
  return toBinary(RelayFrameSchema, create(RelayFrameSchema, { body: { case: 'query', value } }));
}

export function encodeRelayAnswer(answer: RelayAnswer): Uint8Array {
  const fields: Contents<ObjectAnswer> = {
    number: answer.number,
    isKnown: answer.isKnown,
    changes: answer.events.map(encodeChange),
    revision: BigInt(answer.revision),
    // Rounded up and down so that an answer never seems younger than it is.
    proofAgeMs: Math.min(MAXIMUM_AGE_MS, Math.ceil(answer.proofAgeMs)),
    heldMs: Math.floor(answer.heldMs),
  };
  const value = create(ObjectAnswerSchema, fields);
  return toBinary(RelayFrameSchema, create(RelayFrameSchema, { body: { case: 'answer', value } }));
}

/** Undefined where the frame is malformed. */
export function decodeRelayFrame(frame: Uint8Array): RelayMessage | undefined {
  try {
    return toMessage(fromBinary(RelayFrameSchema, frame).body);
  } catch {
    return undefined;
  }
}

function toMessage(body: RelayFrame['body']): RelayMessage | undefined {
  switch (body.case) {
    case 'query': {
      const { number, kind, revision, waitMs } = body.value;
      return { kind: 'query', query: { number, kind, revision: Number(revision), waitMs } };
    }
    case 'answer': {
      const { number, isKnown, changes, revision, proofAgeMs, heldMs } = body.value;
      const events = changes.map(decodeChange);
      const answer = { number, isKnown, events, revision: Number(revision), proofAgeMs, heldMs };
      return { kind: 'answer', answer };
    }
    case undefined:
      return undefined;
  }
}

function encodeChange({ object, isGone }: ObjectEvent): ObjectChange {
  return create(ObjectChangeSchema, {
    name: object.name,
    revision: BigInt(object.revision),
    contents: isGone ? new Uint8Array() : encoder.encode(JSON.stringify(object.spec)),
    isGone,
  });
}

/** Throws where the contents are not JSON. */
function decodeChange({ name, revision, contents, isGone }: ObjectChange): ObjectEvent {
  const spec: unknown = isGone ? undefined : JSON.parse(decoder.decode(contents));
  const object: StoredObject = { name, revision: Number(revision), spec };
  return { object, isGone };
}
