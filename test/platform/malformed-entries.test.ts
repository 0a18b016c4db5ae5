/** Guards against malformed store entries that become usable engines or hide valid entries. */
import { type Server, createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import test, { type ExecutionContext } from 'ava';
import fc from 'fast-check';
import { platformDecoder } from '../../platform/formats.js';
import { ObjectStoreClient } from '../../platform/object-store-client.js';
import { valueOrLog } from '../../src/coordination/gateway/object-decoder.js';
import { ListFreshness } from '../../src/protocol/object-store/port.js';
import { parseAddress } from '../../src/transport/address.js';
import { EngineListHarness } from '../helpers/engine-list-harness.js';
import { positionAt } from '../helpers/positions.js';

const SEED = { seed: 4_343, numRuns: 500 };
const STARTED_AT_MS = 1_764_720_000_123;
const VALID_SPEC = {
  service: 'llm',
  address: '10.0.0.1:8080',
  zone: 'zone-a',
  slots: 8,
  state: 'ready',
  born: STARTED_AT_MS,
  models: [{ name: 'model-a', version: 3, adapters: [] }],
};

const MALFORMED_SPECS: readonly [what: string, spec: unknown][] = [
  ['no spec', null],
  ['a text as spec', '\u0000\ufffd\u0001'],
  ['a list as spec', [VALID_SPEC]],
  ['no address', { ...VALID_SPEC, address: undefined }],
  ['an address without a port', { ...VALID_SPEC, address: '10.0.0.1' }],
  ['an address with a port out of range', { ...VALID_SPEC, address: '10.0.0.1:70000' }],
  ['an address with a control character', { ...VALID_SPEC, address: '10.0.0.1\u0000:8080' }],
  ['an address outside ASCII', { ...VALID_SPEC, address: 'łódź:8080' }],
  ['an address of another type', { ...VALID_SPEC, address: 8_080 }],
  ['an unknown state', { ...VALID_SPEC, state: 'warming' }],
  ['no state', { ...VALID_SPEC, state: undefined }],
  ['a state of another type', { ...VALID_SPEC, state: true }],
  ['slots of another type', { ...VALID_SPEC, slots: '8' }],
  ['zero slots', { ...VALID_SPEC, slots: 0 }],
  ['a start time of another type', { ...VALID_SPEC, born: String(STARTED_AT_MS) }],
  ['a start time that is not an integer', { ...VALID_SPEC, born: STARTED_AT_MS + 0.5 }],
  ['a start time that is null', { ...VALID_SPEC, born: null }],
  ['models of another type', { ...VALID_SPEC, models: { 'model-a': 3 } }],
  ['a version of another type', { ...VALID_SPEC, models: [{ name: 'model-a', version: '3' }] }],
];

test('an entry contains the incarnation of its engine', (t) => {
  const decoded = platformDecoder.engine({
    name: 'i-1',
    position: positionAt(1),
    spec: VALID_SPEC,
  });
  t.like(decoded, {
    kind: 'value',
    value: { id: `i-1@${STARTED_AT_MS}`, name: 'i-1', startedAtMs: STARTED_AT_MS },
  });
  const { born, ...older } = VALID_SPEC;
  const undated = platformDecoder.engine({ name: 'i-1', position: positionAt(1), spec: older });
  t.is(born, STARTED_AT_MS);
  t.like(undated, { kind: 'value', value: { id: 'i-1', name: 'i-1', startedAtMs: undefined } });
});

for (const [what, spec] of MALFORMED_SPECS) {
  test(`an entry with ${what} removes only its own engine, until the next valid entry`, (t) => {
    const harness = new EngineListHarness({ decoder: platformDecoder });
    const other = {
      name: 'i-2',
      position: positionAt(2),
      spec: { ...VALID_SPEC, address: '10.0.0.2:8080' },
    };
    harness.list.applyAll([{ name: 'i-1', position: positionAt(1), spec: VALID_SPEC }, other]);
    const malformed = { name: 'i-1', position: positionAt(3), spec };
    harness.list.apply(malformed);
    harness.list.apply(malformed);
    harness.list.applyAll([malformed, other]);
    t.deepEqual([...harness.registry.names], ['i-2']);
    t.is(harness.statistics.oddEntries, 1);
    t.deepEqual(
      harness.log.of('entry_odd').map(({ key, revision }) => [key, revision]),
      [['i-1', 3]],
    );
    harness.list.apply({ name: 'i-1', position: positionAt(4), spec: VALID_SPEC });
    t.is(harness.registry.names.size, 2);
  });
}

test('an entry without a start time is malformed if an earlier one had it', (t) => {
  const harness = new EngineListHarness({ decoder: platformDecoder });
  harness.list.applyAll([{ name: 'i-1', position: positionAt(1), spec: VALID_SPEC }]);
  for (const revision of [2, 3]) {
    harness.list.apply({
      name: 'i-1',
      position: positionAt(revision),
      spec: { ...VALID_SPEC, born: undefined },
    });
    t.is(harness.registry.names.size, 0);
  }
  t.is(harness.statistics.oddEntries, 2);
});

/** The year 9999, and the largest exact integer. */
for (const born of [253_402_300_799_000, Number.MAX_SAFE_INTEGER]) {
  test(`an entry that starts at ${born} does not outrank the true one for good`, (t) => {
    const harness = new EngineListHarness({ decoder: platformDecoder });
    const specs = [VALID_SPEC, { ...VALID_SPEC, born, address: '10.0.0.9:8080' }, VALID_SPEC];
    for (const [index, spec] of specs.entries())
      harness.list.apply({ name: 'i-1', position: positionAt(index + 1), spec });
    t.like(harness.registry.findByName('i-1')?.record, {
      startedAtMs: STARTED_AT_MS,
      address: VALID_SPEC.address,
    });
    t.is(harness.statistics.oddEntries, 1);
  });
}

test('an entry of a service that is not configured is counted and serves no other service', (t) => {
  const harness = new EngineListHarness({ decoder: platformDecoder, services: ['llm'] });
  const spec = { ...VALID_SPEC, service: 'other' };
  harness.list.applyAll([{ name: 'i-1', position: positionAt(1), spec }]);
  t.is(harness.statistics.oddEntries, 1);
  t.deepEqual(harness.registry.readyOf('llm'), []);
});

test('a name that is invalid in a header makes the entry malformed', (t) => {
  for (const name of ['a b', 'a\nb', 'a\u0000', '\u00e9', '', 'x'.repeat(400)]) {
    t.is(
      platformDecoder.engine({ name, position: positionAt(1), spec: VALID_SPEC }).kind,
      'malformed',
      name,
    );
  }
});

test('log lines for malformed entries are rate-limited, and all entries are counted', async (t) => {
  const harness = new EngineListHarness({ decoder: platformDecoder });
  const LONG = 'x'.repeat(100_000);
  for (let index = 0; index < 3_000; index += 1) {
    const spec = { ...VALID_SPEC, [LONG]: 1, state: LONG };
    harness.list.apply({ name: `${index}-${LONG}`, position: positionAt(index), spec });
  }
  t.is(harness.statistics.oddEntries, 3_000);
  t.is(harness.log.lines.length, 20);
  t.true(JSON.stringify(harness.log.lines).length < 10_000);
  await harness.clock.advance(60_000);
  harness.list.apply({ name: 'i-1', position: positionAt(1), spec: null });
  t.like(harness.log.of('entry_odd').at(-1), { key: 'i-1', suppressed: 2_980 });
});

test('log lines for malformed objects of other kinds are short', (t) => {
  const { log } = new EngineListHarness({ decoder: platformDecoder });
  const LONG = 'x'.repeat(100_000);
  const object = { name: LONG, position: positionAt(1), spec: { model: LONG, version: LONG } };
  t.is(valueOrLog({ kind: 'malformed', reason: LONG }, object, log), undefined);
  t.true(JSON.stringify(log.lines).length < 1_000);
});

test('every entry is either malformed or decoded to a valid engine record', (t) => {
  const malformed = fc.oneof(fc.anything(), fc.constantFrom('', '::', ':0', 'ready', -1, 1e300));
  const field = fc.constantFrom(...Object.keys(VALID_SPEC));
  const changed = fc
    .tuple(field, malformed)
    .map(([key, value]) => ({ ...VALID_SPEC, [key]: value }));
  const bytes = fc.uint8Array({ maxLength: 200 }).map((array) => Buffer.from(array).toString());
  const spec = fc.oneof(changed, fc.anything(), fc.json(), bytes);
  const name = fc.oneof(fc.constant('i-1'), fc.string({ unit: 'binary' }));
  const property = fc.property(name, spec, (text, contents) => {
    const decoded = platformDecoder.engine({ name: text, position: positionAt(1), spec: contents });
    if (decoded.kind !== 'value') return;
    const { value } = decoded;
    t.regex(value.name, /^[\x21-\x7e]+$/);
    const { port } = parseAddress(value.address);
    t.true(port > 0 && port < 65_536);
    t.true(Number.isSafeInteger(value.slots) && value.slots > 0);
    t.true(value.startedAtMs === undefined || Number.isSafeInteger(value.startedAtMs));
    for (const version of value.modelVersions.values()) t.true(Number.isSafeInteger(version));
  });
  fc.assert(property, SEED);
});

/** Creates a client of a store that sends the same body in every response. */
async function clientOf(
  t: ExecutionContext,
  body: () => string | Buffer,
): Promise<ObjectStoreClient> {
  const server: Server = createServer((_request, response) => {
    response.writeHead(200, { 'content-type': 'application/json' });
    response.end(body());
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const client = new ObjectStoreClient(`127.0.0.1:${(server.address() as AddressInfo).port}`);
  t.teardown(() => {
    client.close();
    server.close();
  });
  return client;
}

const VALID_ITEM = { metadata: { name: 'i-2', revision: 4 }, spec: VALID_SPEC };
const UNNAMED_ITEMS: readonly unknown[] = [
  null,
  7,
  'text',
  [],
  {},
  { metadata: null, spec: VALID_SPEC },
  { metadata: { revision: 3 }, spec: VALID_SPEC },
  { metadata: { name: 3, revision: 3 }, spec: VALID_SPEC },
];

test('items without a key are counted, and the other items of a list or watch are used', async (t) => {
  const events = [...UNNAMED_ITEMS, VALID_ITEM].map((object) => ({ object }));
  const body = { items: [...UNNAMED_ITEMS, VALID_ITEM], events: [null, ...events], at: 9 };
  const client = await clientOf(t, () => JSON.stringify(body));
  const list = await client.list('servers', ListFreshness.Current);
  t.deepEqual(
    list.objects.map(({ name, position }) => [name, position.revision]),
    [['i-2', 4]],
  );
  t.is(list.unnamedItems, UNNAMED_ITEMS.length);
  t.like(await client.watch('servers', positionAt(1), 100), {
    events: [{ isGone: false, object: { name: 'i-2' } }],
    unnamedItems: UNNAMED_ITEMS.length + 1,
    position: positionAt(9),
  });
});

test('an item with only a valid key becomes an object without spec', async (t) => {
  const malformed = [
    { metadata: { name: 'i-1' }, spec: VALID_SPEC },
    { metadata: { name: 'i-3', revision: '5' } },
    { metadata: { name: 'i-4', revision: 5.5 } },
  ];
  const client = await clientOf(t, () =>
    JSON.stringify({ items: [...malformed, VALID_ITEM], at: 9 }),
  );
  const { objects, unnamedItems } = await client.list('servers', ListFreshness.Current);
  t.deepEqual(
    objects.map(({ name, position, spec }) => [name, position.revision, spec === null]),
    [
      ['i-1', 9, true],
      ['i-3', 9, true],
      ['i-4', 9, true],
      ['i-2', 4, false],
    ],
  );
  t.is(unnamedItems, undefined);
});

test('invalid bytes in an entry do not affect other entries', async (t) => {
  const text = JSON.stringify({
    items: [{ metadata: { name: 'i-1', revision: 3 }, spec: 'HOLE' }, VALID_ITEM],
    at: 9,
  });
  const [before, after] = text.split('HOLE') as [string, string];
  const byteSequences = [Buffer.from([0xff, 0xfe, 0xc0]), Buffer.from([0x00, 0x01, 0x0a, 0x1f])];
  for (const bytes of byteSequences) {
    const body = Buffer.concat([Buffer.from(before), bytes, Buffer.from(after)]);
    const client = await clientOf(t, () => body);
    const { objects } = await client.list('servers', ListFreshness.Current);
    t.deepEqual(
      objects.map(({ name }) => name),
      ['i-1', 'i-2'],
    );
    t.deepEqual(
      objects.map((object) => platformDecoder.engine(object).kind),
      ['malformed', 'value'],
    );
  }
});

test('a list continues after its last key, and fails if a page has no key', async (t) => {
  let calls = 0;
  const client = await clientOf(t, () => {
    calls += 1;
    const items = calls === 1 ? [VALID_ITEM, null] : [null];
    return JSON.stringify({ items, more: true, at: 9 });
  });
  await t.throwsAsync(client.list('servers', ListFreshness.Current));
  t.is(calls, 2);
});
