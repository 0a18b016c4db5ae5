/** Encodes and decodes frames by which a router watches the store through another router. */
import { create, fromBinary, toBinary } from '@bufbuild/protobuf';
import { BinaryWriter, WireType } from '@bufbuild/protobuf/wire';
import { StorePosition } from '../../runtime/store-position.js';
import { limitJsonDepth } from '../json-depth.js';
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

/** A decoded query. */
export interface RelayQuery {
  /** Identifies the query on its connection. */
  readonly number: number;
  readonly kind: string;
  /** Requests the changes after this position; undefined requests all objects. */
  readonly position: StorePosition | undefined;
  readonly waitMs: number;
  /** Whether the response may have compressed changes; false in queries of older versions. */
  readonly acceptsDeflated: boolean;
}

/** A decoded response. */
export interface RelayResponse {
  /** Number of the query. */
  readonly number: number;
  /** False if the responding router lacks some of the changes, or is behind the position. */
  readonly isKnown: boolean;
  readonly events: readonly ObjectEvent[];
  /** Its era is unknown if the responding router's version does not send one. */
  readonly position: StorePosition;
  /** Age of the request to the store that proved the position to be current. */
  readonly proofAgeMs: number;
  /** Time from the receipt of the query to the response. */
  readonly heldMs: number;
}

/** A decoded frame. */
export type RelayMessage =
  | { readonly kind: 'query'; readonly query: RelayQuery }
  | { readonly kind: 'answer'; readonly answer: RelayResponse };

/** Largest value of the 32-bit age field. */
const MAXIMUM_AGE_MS = 0xffff_ffff;

const decoder = new TextDecoder();

/** Fields of a response without its changes. */
export type RelayResponseHead = Omit<RelayResponse, 'events'>;

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

/** Encodes a response around encoded changes, which several responses can share. */
export function encodeRelayResponse(head: RelayResponseHead, changes: EncodedChanges): Uint8Array {
  const fields: Contents<ObjectAnswer> = {
    number: head.number,
    isKnown: head.isKnown,
    changes: [],
    revision: BigInt(head.position.revision),
    ...encodeEra(head.position.era),
    // The age is rounded up and the wait down, so that a response never appears newer than it is.
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

/** Returns undefined if the frame is malformed. */
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
      const requested = decodePosition(revision, era);
      const position = requested.revision === 0 ? undefined : requested;
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

function decodeChange(
  { name, revision, contents, isGone }: ObjectChange,
  era: number,
): ObjectEvent {
  const spec = isGone ? undefined : parseContents(contents);
  const position = new StorePosition(era, Number(revision));
  const object: StoredObject = { name, position, spec };
  return { object, isGone };
}

/** Contents that are not JSON are null, so that they make only their own object malformed. */
function parseContents(contents: Uint8Array): unknown {
  try {
    // A reader of an earlier version doesn't limit the depth.
    return JSON.parse(limitJsonDepth(decoder.decode(contents)));
  } catch {
    return null;
  }
}
