/**
 * Encodes changes of objects for frames between routers. A router that relays the store sends the
 * same changes to many others, so that each object is encoded once and each series of changes
 * compressed once: a list of 3,000 engines is 783 KB as it is and 75 KB compressed.
 */
import { deflateRawSync, inflateRawSync } from 'node:zlib';
import { create, fromBinary, toBinary } from '@bufbuild/protobuf';
import { BinaryWriter, WireType } from '@bufbuild/protobuf/wire';
import type { ObjectEvent, StoredObject } from '../object-store/port.js';
import {
  type ObjectChange,
  ObjectChangeSchema,
  ObjectChangesSchema,
} from './generated/cluster_pb.js';

/** The encoded changes of one response. */
export type EncodedChanges =
  | { readonly kind: 'plain'; readonly changes: readonly Uint8Array[] }
  | { readonly kind: 'deflated'; readonly bytes: Uint8Array };

/** The encoding of no changes. */
export const NO_CHANGES: EncodedChanges = { kind: 'plain', changes: [] };

/** Smaller changes are sent uncompressed. */
const MINIMUM_DEFLATED_BYTES = 1_024;
/** The fastest level; higher ones save little and cost much more processor time. */
const DEFLATE_LEVEL = 1;
/** Bounds the memory that a malformed or malicious frame can take. */
const MAXIMUM_INFLATED_BYTES = 64 * 1_024 * 1_024;

const textEncoder = new TextEncoder();

/** JSON text of the contents of an object that can't be encoded, which makes it malformed. */
const NO_CONTENTS = 'null';

/** Encodes changes. Encoded objects are cached, since a `StoredObject` is immutable. */
export class ChangeEncoder {
  private readonly encoded = new WeakMap<StoredObject, Uint8Array>();

  /** @param onUnencodable called once for each object that is encoded without its contents */
  constructor(
    private readonly onUnencodable: (object: StoredObject, error: unknown) => void = () =>
      undefined,
  ) {}

  encode(events: readonly ObjectEvent[]): Uint8Array[] {
    return events.map(({ object, isGone }) => (isGone ? encodeRemoval(object) : this.get(object)));
  }

  private get(object: StoredObject): Uint8Array {
    let bytes = this.encoded.get(object);
    if (!bytes) {
      bytes = encodeChange(object, textEncoder.encode(this.textOf(object)), false);
      this.encoded.set(object, bytes);
    }
    return bytes;
  }

  /** An object that can't be written must not keep the others from the followers. */
  private textOf(object: StoredObject): string {
    try {
      return JSON.stringify(object.spec);
    } catch (error) {
      this.onUnencodable(object, error);
      return NO_CONTENTS;
    }
  }
}

/** Compresses the changes unless they are small. */
export function deflateChanges(changes: readonly Uint8Array[]): EncodedChanges {
  const size = changes.reduce((sum, { length }) => sum + length, 0);
  if (size < MINIMUM_DEFLATED_BYTES) return { kind: 'plain', changes };
  const { number } = ObjectChangesSchema.field.changes;
  const writer = new BinaryWriter();
  for (const change of changes) writer.tag(number, WireType.LengthDelimited).bytes(change);
  const bytes = deflateRawSync(writer.finish(), { level: DEFLATE_LEVEL });
  return { kind: 'deflated', bytes: new Uint8Array(bytes) };
}

/** Throws if the bytes are not compressed changes. */
export function inflateChanges(deflated: Uint8Array): readonly ObjectChange[] {
  if (deflated.length === 0) return [];
  const bytes = inflateRawSync(deflated, { maxOutputLength: MAXIMUM_INFLATED_BYTES });
  return fromBinary(ObjectChangesSchema, bytes).changes;
}

function encodeRemoval(object: StoredObject): Uint8Array {
  return encodeChange(object, new Uint8Array(), true);
}

function encodeChange(
  { name, position }: StoredObject,
  contents: Uint8Array<ArrayBuffer>,
  isGone: boolean,
): Uint8Array {
  const revision = BigInt(position.revision);
  const change = create(ObjectChangeSchema, { name, revision, contents, isGone });
  return toBinary(ObjectChangeSchema, change);
}
