/** Encodes and decodes the frames by which a router follows the store through another. */
import { create, fromBinary, toBinary } from '@bufbuild/protobuf';
import { BinaryWriter, WireType } from '@bufbuild/protobuf/wire';
import { StorePosition } from '../../runtime/store-position.js';
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
import { decodePosition, encodeEra } from './position-codec.js';
import { type EncodedChanges, inflateChanges } from './encoded-changes.js';

/** A query in the product's words; times in milliseconds. */
export interface RelayQuery {
  /** Names the query on its connection. */
  readonly number: number;
  readonly kind: string;
  /** Changes after it are wanted; undefined asks for all objects. */
  readonly position: StorePosition | undefined;
  readonly waitMs: number;
  /** Whether the answer may carry its changes deflated; builds before this one do not say so. */
  readonly acceptsDeflated: boolean;
}

/** An answer in the product's words; times in milliseconds. */
export interface RelayAnswer {
  readonly number: number;
  readonly isKnown: boolean;
  readonly events: readonly ObjectEvent[];
  /** Of an unknown era where the answering router's build sends none. */
  readonly position: StorePosition;
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
  const { number, kind, position, waitMs, acceptsDeflated } = query;
  const fields: Contents<ObjectQuery> = {
    number,
    kind,
    revision: BigInt(position?.revision ?? 0),
    ...encodeEra(position?.era),
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
    revision: BigInt(head.position.revision),
    ...encodeEra(head.position.era),
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
      const { number, kind, revision, era, waitMs, acceptsDeflated } = body.value;
      const asked = decodePosition(revision, era);
      const position = asked.revision === 0 ? undefined : asked;
      const query = { number, kind, position, waitMs, acceptsDeflated };
      return { kind: 'query', query };
    }
    case 'answer': {
      const { number, isKnown, changes, revision, era, proofAgeMs, heldMs, deflatedChanges } =
        body.value;
      const position = decodePosition(revision, era);
      const events = [...changes, ...inflateChanges(deflatedChanges)].map((change) =>
        decodeChange(change, position.era),
      );
      const answer = { number, isKnown, events, position, proofAgeMs, heldMs };
      return { kind: 'answer', answer };
    }
    case undefined:
      return undefined;
  }
}

/** Throws where the contents are not JSON. */
function decodeChange(
  { name, revision, contents, isGone }: ObjectChange,
  era: number,
): ObjectEvent {
  const spec: unknown = isGone ? undefined : JSON.parse(decoder.decode(contents));
  const position = new StorePosition(era, Number(revision));
  const object: StoredObject = { name, position, spec };
  return { object, isGone };
}
