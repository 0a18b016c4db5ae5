/** Entries of other writers: they name no engine to use, and lose nothing of the entries beside them. */
import { type Server, createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import test, { type ExecutionContext } from 'ava';
import fc from 'fast-check';
import { platformDecoder } from '../../platform/formats.js';
import { ObjectStoreClient } from '../../platform/object-store-client.js';
import { ListFreshness } from '../../src/protocol/object-store/port.js';
import { parseAddress } from '../../src/transport/address.js';
import { EngineListHarness } from '../helpers/engine-list-harness.js';
import { positionAt } from '../helpers/positions.js';

const SEED = { seed: 4_343, numRuns: 500 };
const BORN_MS = 1_764_720_000_123;
const GOOD = {
  service: 'llm',
  address: '10.0.0.1:8080',
  zone: 'zone-a',
  slots: 8,
  state: 'ready',
  born: BORN_MS,
  models: [{ name: 'model-a', version: 3, adapters: [] }],
};

const ODD_SPECS: readonly [what: string, spec: unknown][] = [
  ['no contents', null],
  ['contents that are text', '\u0000\ufffd\u0001'],
  ['a list', [GOOD]],
  ['no address', { ...GOOD, address: undefined }],
  ['an address without a port', { ...GOOD, address: '10.0.0.1' }],
  ['an address with a port out of range', { ...GOOD, address: '10.0.0.1:70000' }],
  ['an address of another type', { ...GOOD, address: 8_080 }],
  ['a state that is not named', { ...GOOD, state: 'warming' }],
  ['no state', { ...GOOD, state: undefined }],
  ['a state of another type', { ...GOOD, state: true }],
  ['slots of another type', { ...GOOD, slots: '8' }],
  ['no slots at all', { ...GOOD, slots: 0 }],
  ['a start of another type', { ...GOOD, born: String(BORN_MS) }],
  ['a start that is no whole number', { ...GOOD, born: BORN_MS + 0.5 }],
  ['a start that is null', { ...GOOD, born: null }],
  ['models of another type', { ...GOOD, models: { 'model-a': 3 } }],
  ['a version of another type', { ...GOOD, models: [{ name: 'model-a', version: '3' }] }],
];

test('an entry states the life of its engine', (t) => {
  const decoded = platformDecoder.engine({ name: 'i-1', position: positionAt(1), spec: GOOD });
  t.like(decoded, { kind: 'value', value: { id: `i-1@${BORN_MS}`, name: 'i-1', bornMs: BORN_MS } });
  const { born, ...older } = GOOD;
  const undated = platformDecoder.engine({ name: 'i-1', position: positionAt(1), spec: older });
  t.is(born, BORN_MS);
  t.like(undated, { kind: 'value', value: { id: 'i-1', name: 'i-1', bornMs: undefined } });
});

for (const [what, spec] of ODD_SPECS) {
  test(`an entry with ${what} takes its engine out until its next good entry, and no other`, (t) => {
    const world = new EngineListHarness({ decoder: platformDecoder });
    const other = {
      name: 'i-2',
      position: positionAt(2),
      spec: { ...GOOD, address: '10.0.0.2:8080' },
    };
    world.list.takeAll([{ name: 'i-1', position: positionAt(1), spec: GOOD }, other]);
    const odd = { name: 'i-1', position: positionAt(3), spec };
    world.list.take(odd);
    world.list.take(odd);
    world.list.takeAll([odd, other]);
    t.deepEqual([...world.registry.names], ['i-2']);
    t.is(world.statistics.oddEntries, 1);
    t.deepEqual(
      world.log.of('entry_odd').map(({ key, revision }) => [key, revision]),
      [['i-1', 3]],
    );
    world.list.take({ name: 'i-1', position: positionAt(4), spec: GOOD });
    t.is(world.registry.names.size, 2);
  });
}

test('an entry without a start is odd where the engine has stated one', (t) => {
  const world = new EngineListHarness({ decoder: platformDecoder });
  world.list.takeAll([{ name: 'i-1', position: positionAt(1), spec: GOOD }]);
  for (const revision of [2, 3]) {
    world.list.take({
      name: 'i-1',
      position: positionAt(revision),
      spec: { ...GOOD, born: undefined },
    });
    t.is(world.registry.names.size, 0);
  }
  t.is(world.statistics.oddEntries, 2);
});

test('an entry of a service that is not configured is counted and serves no other service', (t) => {
  const world = new EngineListHarness({ decoder: platformDecoder, services: ['llm'] });
  const spec = { ...GOOD, service: 'other' };
  world.list.takeAll([{ name: 'i-1', position: positionAt(1), spec }]);
  t.is(world.statistics.oddEntries, 1);
  t.deepEqual(world.registry.readyOf('llm'), []);
});

test('a name that no header can carry names no engine', (t) => {
  for (const name of ['a b', 'a\nb', 'a\u0000', '\u00e9', '', 'x'.repeat(400)]) {
    t.is(
      platformDecoder.engine({ name, position: positionAt(1), spec: GOOD }).kind,
      'malformed',
      name,
    );
  }
});

test('however many odd entries come, the log lines are bounded and all are counted', async (t) => {
  const world = new EngineListHarness({ decoder: platformDecoder });
  const LONG = 'x'.repeat(100_000);
  for (let index = 0; index < 3_000; index += 1) {
    const spec = { ...GOOD, [LONG]: 1, state: LONG };
    world.list.take({ name: `${index}-${LONG}`, position: positionAt(index), spec });
  }
  t.is(world.statistics.oddEntries, 3_000);
  t.is(world.log.lines.length, 20);
  t.true(JSON.stringify(world.log.lines).length < 10_000);
  await world.clock.advance(60_000);
  world.list.take({ name: 'i-1', position: positionAt(1), spec: null });
  t.like(world.log.of('entry_odd').at(-1), { key: 'i-1', suppressed: 2_980 });
});

test('whatever an entry holds, it is decoded into an engine that can be called, or is malformed', (t) => {
  const odd = fc.oneof(fc.anything(), fc.constantFrom('', '::', ':0', 'ready', -1, 1e300));
  const field = fc.constantFrom(...Object.keys(GOOD));
  const changed = fc.tuple(field, odd).map(([key, value]) => ({ ...GOOD, [key]: value }));
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
    t.true(value.bornMs === undefined || Number.isSafeInteger(value.bornMs));
    for (const version of value.modelVersions.values()) t.true(Number.isSafeInteger(version));
  });
  fc.assert(property, SEED);
});

/** A client of a store that answers every call with one body, as it stands. */
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

const WELL = { metadata: { name: 'i-2', revision: 4 }, spec: GOOD };
const ODD_ITEMS: readonly unknown[] = [
  null,
  7,
  'text',
  [],
  {},
  { metadata: null, spec: GOOD },
  { metadata: { revision: 3 }, spec: GOOD },
  { metadata: { name: 3, revision: 3 }, spec: GOOD },
];

test('items without a key are counted, and the others of a list or watch hold', async (t) => {
  const events = [...ODD_ITEMS, WELL].map((object) => ({ object }));
  const body = { items: [...ODD_ITEMS, WELL], events: [null, ...events], at: 9 };
  const client = await clientOf(t, () => JSON.stringify(body));
  const list = await client.list('servers', ListFreshness.Current);
  t.deepEqual(
    list.objects.map(({ name, position }) => [name, position.revision]),
    [['i-2', 4]],
  );
  t.is(list.unnamedItems, ODD_ITEMS.length);
  t.like(await client.watch('servers', positionAt(1), 100), {
    events: [{ isGone: false, object: { name: 'i-2' } }],
    unnamedItems: ODD_ITEMS.length + 1,
    position: positionAt(9),
  });
});

test('an item of which only the key can be read is an object without contents', async (t) => {
  const odd = [
    { metadata: { name: 'i-1' }, spec: GOOD },
    { metadata: { name: 'i-3', revision: '5' } },
    { metadata: { name: 'i-4', revision: 5.5 } },
  ];
  const client = await clientOf(t, () => JSON.stringify({ items: [...odd, WELL], at: 9 }));
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

test('bytes within an entry that are no text leave the other entries as they are', async (t) => {
  const text = JSON.stringify({
    items: [{ metadata: { name: 'i-1', revision: 3 }, spec: 'HOLE' }, WELL],
    at: 9,
  });
  const [before, after] = text.split('HOLE') as [string, string];
  const holes = [Buffer.from([0xff, 0xfe, 0xc0]), Buffer.from([0x00, 0x01, 0x0a, 0x1f])];
  for (const hole of holes) {
    const body = Buffer.concat([Buffer.from(before), hole, Buffer.from(after)]);
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

test('a list goes on behind its last key, and ends where there is none to go on from', async (t) => {
  let calls = 0;
  const client = await clientOf(t, () => {
    calls += 1;
    const items = calls === 1 ? [WELL, null] : [null];
    return JSON.stringify({ items, more: true, at: 9 });
  });
  await t.throwsAsync(client.list('servers', ListFreshness.Current));
  t.is(calls, 2);
});
