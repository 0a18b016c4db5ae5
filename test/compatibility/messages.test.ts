/**
 * Routers of the build before an upgrade read what those of the present build send, and the other way round: each field
 * that both know arrives as it was sent, whatever else a message holds.
 */
import { execFileSync } from 'node:child_process';
import { mkdirSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import {
  type DescField,
  type DescMessage,
  type JsonObject,
  type JsonValue,
  ScalarType,
  createFileRegistry,
  fromBinary,
  fromJson,
  toBinary,
  toJson,
} from '@bufbuild/protobuf';
import { FileDescriptorSetSchema } from '@bufbuild/protobuf/wkt';
import test from 'ava';
import fc from 'fast-check';
import { productionCommit } from '../../soak/earlier-build.js';
import {
  ClusterDatagramSchema,
  RelayFrameSchema,
} from '../../src/protocol/peer/generated/cluster_pb.js';

const FILES = ['buf.yaml', 'proto/cluster.proto', 'proto/peer.proto'];
const PRESENT: readonly DescMessage[] = [ClusterDatagramSchema, RelayFrameSchema];
const MAXIMUM_DEPTH = 4;

/** Sources of the earlier build's messages, in a folder of their own. */
function earlierSources(): string {
  const folder = mkdtempSync(join(tmpdir(), 'peatspan-messages-'));
  mkdirSync(join(folder, 'proto'));
  for (const file of FILES) {
    writeFileSync(
      join(folder, file),
      execFileSync('git', ['show', `${productionCommit()}:${file}`]),
    );
  }
  return folder;
}

function buf(...args: string[]): void {
  execFileSync('node_modules/.bin/buf', args, { stdio: 'pipe' });
}

/** The earlier build's message of a name. */
function earlierMessages(folder: string): (name: string) => DescMessage {
  const image = join(folder, 'image.binpb');
  buf('build', folder, '--as-file-descriptor-set', '-o', image);
  const registry = createFileRegistry(fromBinary(FileDescriptorSetSchema, readFileSync(image)));
  return (name) => {
    const message = registry.getMessage(name);
    if (!message) throw new Error(`the earlier build has no ${name}`);
    return message;
  };
}

const FOLDER = earlierSources();
const earlier = earlierMessages(FOLDER);

/** A value of a field in the JSON form of its message. */
function fieldValue(field: DescField, depth: number): fc.Arbitrary<JsonValue> {
  switch (field.fieldKind) {
    case 'message':
      return messageJson(field.message, depth + 1);
    case 'list':
      return fc.array(
        field.listKind === 'message'
          ? messageJson(field.message, depth + 1)
          : scalarValue(field.listKind === 'scalar' ? field.scalar : ScalarType.INT32),
        { maxLength: 3 },
      );
    case 'scalar':
      return scalarValue(field.scalar);
    case 'enum':
      return fc.constantFrom(...field.enum.values.map(({ name }) => name));
    default:
      throw new Error(`no values for ${field.toString()}`);
  }
}

function scalarValue(type: ScalarType): fc.Arbitrary<JsonValue> {
  switch (type) {
    case ScalarType.STRING:
      return fc.string({ maxLength: 8 });
    case ScalarType.BOOL:
      return fc.boolean();
    case ScalarType.BYTES:
      return fc.uint8Array({ maxLength: 16 }).map((bytes) => Buffer.from(bytes).toString('base64'));
    case ScalarType.DOUBLE:
      return fc.double({ noNaN: true, noDefaultInfinity: true });
    case ScalarType.FLOAT:
      return fc.float({ noNaN: true, noDefaultInfinity: true });
    case ScalarType.UINT64:
      return fc.bigInt({ min: 0n, max: 2n ** 64n - 1n }).map(String);
    case ScalarType.SINT64:
      return fc.bigInt({ min: -(2n ** 63n), max: 2n ** 63n - 1n }).map(String);
    default:
      return fc.nat({ max: 2 ** 31 - 1 });
  }
}

/** Any message in its JSON form, with one field at most of each group of which one may be set. */
function messageJson(message: DescMessage, depth = 0): fc.Arbitrary<JsonObject> {
  if (depth > MAXIMUM_DEPTH) return fc.constant({});
  const alone = message.fields.filter(({ oneof }) => oneof === undefined);
  const values = fc.record(
    Object.fromEntries(alone.map((field) => [field.jsonName, fieldValue(field, depth)])),
    { requiredKeys: [] },
  );
  const choices = message.oneofs.map(({ fields }) =>
    fc.oneof(
      ...fields.map((field) =>
        fieldValue(field, depth).map((value) => ({ [field.jsonName]: value })),
      ),
    ),
  );
  return fc.tuple(values, ...choices).map((parts) => Object.assign({}, ...parts) as JsonObject);
}

/** What of a message in its JSON form another build knows. */
function knownTo(message: DescMessage, json: JsonObject): JsonObject {
  const known = message.fields.filter(({ jsonName }) => json[jsonName] !== undefined);
  return Object.fromEntries(
    known.map((field) => [field.jsonName, knownValue(field, json[field.jsonName] as JsonValue)]),
  );
}

function knownValue(field: DescField, value: JsonValue): JsonValue {
  if (!field.message) return value;
  if (!Array.isArray(value)) return knownTo(field.message, value as JsonObject);
  const { message } = field;
  return value.map((each) => knownTo(message, each as JsonObject));
}

/** What the reader takes of a message that the writer has made of `json`, and what it should take. */
function pass(json: JsonObject, writer: DescMessage, reader: DescMessage): [JsonValue, JsonValue] {
  const written = fromJson(writer, json);
  const read = fromBinary(reader, toBinary(writer, written));
  return [toJson(reader, read), knownTo(reader, toJson(writer, written) as JsonObject)];
}

for (const present of PRESENT) {
  test(`the earlier build reads the present one's ${present.name}`, (t) => {
    const property = fc.property(messageJson(present), (json) => {
      t.deepEqual(...pass(json, present, earlier(present.typeName)));
    });
    fc.assert(property, { seed: 1, numRuns: 400 });
  });

  test(`the present build reads the earlier one's ${present.name}`, (t) => {
    const before = earlier(present.typeName);
    const property = fc.property(messageJson(before), (json) => {
      t.deepEqual(...pass(json, before, present));
    });
    fc.assert(property, { seed: 2, numRuns: 400 });
  });
}

test.after(() => rmSync(FOLDER, { recursive: true }));

test('no field has changed its number or its type, or gone', (t) => {
  t.notThrows(() => buf('breaking', '.', '--against', FOLDER));
});
