/** Encodes and decodes the frames by which a router follows the store through another. */
import { create, fromBinary, toBinary } from '@bufbuild/protobuf';
import { BinaryWriter, WireType } from '@bufbuild/protobuf/wire';
import type { ObjectEvent, StoredObject } from '../object-store/port.js';
import {
  type ObjectAnswer,
  ObjectAnswerSchema,
  type ObjectChange,
  type ObjectQuery,
  ObjectQuerySchema,
  type RelayFrame,
  RelayFrameSchema,
} from './generated/cluster_pb.js';
import type { Contents } from './cluster-codec.js';
import { type EncodedChanges, inflateChanges } from './encoded-changes.js';

/** A query in the product's words; times in milliseconds. */
export interface RelayQuery {
  /** Names the query on its connection. */
  readonly number: number;
  readonly kind: string;
  /** 0 asks for all objects. */
  readonly revision: number;
  readonly waitMs: number;
  /** Whether the answer may carry its changes deflated; builds before this one do not say so. */
  readonly acceptsDeflated: boolean;
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

const decoder = new TextDecoder();

/** What an answer says beside its changes. */
export type RelayAnswerHead = Omit<RelayAnswer, 'events'>;

export function encodeRelayQuery(query: RelayQuery): Uint8Array {
  const { number, kind, revision, waitMs, acceptsDeflated } = query;
  const fields: Contents<ObjectQuery> = {
    number,
    kind,
    revision: BigInt(revision),
    waitMs: Math.round(waitMs),
    acceptsDeflated,
  };
  const value = create(ObjectQuerySchema, fields);
  return toBinary(RelayFrameSchema, create(RelayFrameSchema, { body: { case: 'query', value } }));
}

/** An answer whose changes go to several routers, and so are encoded once. */
export function encodeRelayAnswer(head: RelayAnswerHead, changes: EncodedChanges): Uint8Array {
  const fields: Contents<ObjectAnswer> = {
    number: head.number,
    isKnown: head.isKnown,
    changes: [],
    revision: BigInt(head.revision),
    // Rounded up and down so that an answer never seems younger than it is.
    proofAgeMs: Math.min(MAXIMUM_AGE_MS, Math.ceil(head.proofAgeMs)),
    heldMs: Math.floor(head.heldMs),
    deflatedChanges: changes.kind === 'deflated' ? changes.bytes : new Uint8Array(),
  };
  const writer = new BinaryWriter();
  writer.tag(RelayFrameSchema.field.answer.number, WireType.LengthDelimited).fork();
  writer.raw(toBinary(ObjectAnswerSchema, create(ObjectAnswerSchema, fields)));
  const { number } = ObjectAnswerSchema.field.changes;
  const plain = changes.kind === 'plain' ? changes.changes : [];
  for (const change of plain) writer.tag(number, WireType.LengthDelimited).bytes(change);
  return writer.join().finish();
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
      const { number, kind, revision, waitMs, acceptsDeflated } = body.value;
      const query = { number, kind, revision: Number(revision), waitMs, acceptsDeflated };
      return { kind: 'query', query };
    }
    case 'answer': {
      const { number, isKnown, changes, revision, proofAgeMs, heldMs, deflatedChanges } =
        body.value;
      const events = [...changes, ...inflateChanges(deflatedChanges)].map(decodeChange);
      const answer = { number, isKnown, events, revision: Number(revision), proofAgeMs, heldMs };
      return { kind: 'answer', answer };
    }
    case undefined:
      return undefined;
  }
}

/** Throws where the contents are not JSON. */
function decodeChange({ name, revision, contents, isGone }: ObjectChange): ObjectEvent {
  const spec: unknown = isGone ? undefined : JSON.parse(decoder.decode(contents));
  const object: StoredObject = { name, revision: Number(revision), spec };
  return { object, isGone };
}
