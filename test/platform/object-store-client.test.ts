/** Guards against wrong use of store responses: pages, watches, conflicts, errors and eras. */
import { type IncomingMessage, type ServerResponse, createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import test, { type ExecutionContext } from 'ava';
import { ListFreshness } from '../../src/protocol/object-store/port.js';
import { StoreEra } from '../../src/runtime/store-position.js';
import { platformDecoder } from '../../platform/formats.js';
import { ObjectStoreClient } from '../../platform/object-store-client.js';
import { positionAt } from '../helpers/positions.js';

interface Call {
  readonly method: string;
  readonly url: URL;
  readonly body: string;
}

type Handler = (
  call: Call,
) => { status: number; headers?: Record<string, string>; body?: unknown } | undefined;

/** Serves requests with a handler; resets the connection if it returns undefined. */
async function clientOfStore(t: ExecutionContext, handle: Handler): Promise<ObjectStoreClient> {
  const server = createServer((request: IncomingMessage, response: ServerResponse) => {
    let body = '';
    request.on('data', (chunk: Buffer) => (body += chunk.toString()));
    request.on('end', () => {
      const url = new URL(request.url ?? '/', 'http://store');
      const reply = handle({ method: request.method ?? '', url, body });
      if (!reply) {
        request.socket.resetAndDestroy();
        return;
      }
      const headers = { 'content-type': 'application/json', ...reply.headers };
      response.writeHead(reply.status, headers);
      response.end(reply.body === undefined ? '' : JSON.stringify(reply.body));
    });
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const client = new ObjectStoreClient(`127.0.0.1:${(server.address() as AddressInfo).port}`);
  t.teardown(() => {
    client.close();
    server.close();
  });
  return client;
}

function object(name: string, revision: number, spec: unknown = {}): unknown {
  return { metadata: { name, revision, made: 1, finalizers: [], deleting: false }, spec };
}

test('a list of several pages has the revision of the first page', async (t) => {
  const client = await clientOfStore(t, ({ url }) => {
    const isFirst = url.searchParams.get('after') === null;
    const items = isFirst ? [object('a', 1), object('b', 2)] : [object('c', 9)];
    return { status: 200, body: { items, more: isFirst, at: isFirst ? 5 : 9 } };
  });
  const list = await client.list('servers', ListFreshness.Current);
  t.deepEqual(
    list.objects.map(({ name }) => name),
    ['a', 'b', 'c'],
  );
  t.deepEqual(list.position, positionAt(5));
});

test('a watch reports changes, removals and lost history', async (t) => {
  const client = await clientOfStore(t, ({ url }) => {
    if (url.searchParams.get('watch') === '1') return { status: 410 };
    const events = [
      { gone: false, object: object('a', 6) },
      { gone: true, object: object('b', 7) },
    ];
    return { status: 200, body: { events, at: 7 } };
  });
  t.deepEqual(await client.watch('servers', positionAt(1), 100), { kind: 'history-gone' });
  const result = await client.watch('servers', positionAt(5), 100);
  t.is(result.kind, 'events');
  if (result.kind !== 'events') return;
  t.deepEqual(
    result.events.map(({ isGone, object: { name } }) => [name, isGone]),
    [
      ['a', false],
      ['b', true],
    ],
  );
  t.deepEqual(result.position, positionAt(7));
});

test('a write contains the replaced revision, and a conflict returns the current object', async (t) => {
  const calls: Call[] = [];
  const client = await clientOfStore(t, (call) => {
    calls.push(call);
    return { status: 409, body: object('lease', 12, { holder: 'other' }) };
  });
  const result = await client.replace('leases', 'lease', { holder: 'own' }, positionAt(11));
  t.is(result.kind, 'conflict');
  if (result.kind === 'conflict') t.is(result.present?.position.revision, 12);
  t.is(calls[0]?.method, 'PUT');
  t.is(JSON.parse(calls[0]?.body ?? '').metadata.revision, 11);
});

test('a request without a response, with an error status or with an invalid body rejects', async (t) => {
  const unresponsive = await clientOfStore(t, () => undefined);
  await t.throwsAsync(() => unresponsive.list('config', ListFreshness.Current));
  const busy = await clientOfStore(t, () => ({ status: 503 }));
  await t.throwsAsync(() => busy.read('config', 'main'));
  const malformed = await clientOfStore(t, () => ({ status: 200, body: { items: 'none' } }));
  await t.throwsAsync(() => malformed.list('config', ListFreshness.Current));
});

test('a missing object is reported as missing', async (t) => {
  const client = await clientOfStore(t, () => ({ status: 404 }));
  const era = StoreEra.None;
  t.deepEqual(await client.read('leases', 'lease'), { era, object: undefined });
  t.deepEqual(await client.replace('leases', 'lease', {}, positionAt(1)), { kind: 'missing', era });
});

test('the active configuration is decoded, others are unused', (t) => {
  const spec = {
    version: 7,
    routes: [
      {
        name: 'r-1',
        host: 'Host.Example',
        path_prefix: '/a/',
        kind: 'streaming',
        timeout_ms: 6_000,
        target_latency_ms: 800,
        priority: 1,
        traffic_split: [
          { service: 'llm', weight: 90 },
          { service: 'other', weight: 10 },
        ],
        max_attempts: 2,
        resumable: true,
      },
      { name: 'r-2', host: 'h', path_prefix: '/b/', kind: 'unsafe', timeout_ms: 100, service: 's' },
    ],
    services: [{ name: 'kept', kv_store_address: '1.2.3.4:5', zone: 'a', kv_capacity_tokens: 9 }],
    limits: {
      max_header_bytes: 1,
      max_body_bytes: 2,
      header_timeout_ms: 3,
      idle_timeout_ms: 4,
    },
    tenants: [{ name: 't', api_keys: ['k'], isolated: true }],
  };
  const decoded = platformDecoder.configuration({ name: 'main', position: positionAt(1), spec });
  t.like(decoded, {
    kind: 'value',
    value: {
      version: 7,
      routes: [
        { host: 'host.example', isRepeatable: true, isResumable: true },
        { isRepeatable: false, targets: [{ service: 's', weight: 1 }] },
      ],
      services: [{ cacheStore: { address: '1.2.3.4:5' } }],
      tenants: [{ isIsolated: true }],
    },
  });
  const draft = platformDecoder.configuration({ name: 'draft', position: positionAt(1), spec });
  t.deepEqual(draft, { kind: 'unused' });
});

test('a malformed object is reported with the invalid field', (t) => {
  const configuration = platformDecoder.configuration({
    name: 'main',
    position: positionAt(1),
    spec: {},
  });
  t.is(configuration.kind, 'malformed');
  const spec = { service: 'llm', address: 7, zone: 'a', state: 'ready' };
  const engine = platformDecoder.engine({ name: 'i-1', position: positionAt(1), spec });
  t.is(engine.kind, 'malformed');
  if (engine.kind === 'malformed') t.regex(engine.reason, /^address: /);
});

/**
 * Creates a client of a store whose responses have these eras in turn; undefined omits the header.
 */
async function clientOfStoreWithEras(
  t: ExecutionContext,
  eras: (string | undefined)[],
): Promise<ObjectStoreClient> {
  return clientOfStore(t, ({ url, method }) => {
    const era = eras.shift();
    const headers = era === undefined ? {} : { 'Store-Era': era };
    if (method === 'PUT') return { status: 200, headers, body: object('lease', 8) };
    const isWatch = url.searchParams.has('watch');
    const body = isWatch ? { events: [], at: 7 } : { items: [object('a', 3)], at: 7 };
    return { status: 200, headers, body };
  });
}

test('positions contain the era of the store', async (t) => {
  const client = await clientOfStoreWithEras(t, ['3', '4', '4']);
  const list = await client.list('servers', ListFreshness.Current);
  t.deepEqual(list.position, positionAt(7, 3));
  t.deepEqual(list.objects[0]?.position, positionAt(3, 3));
  // The store was restored in between and has reused the revision.
  t.deepEqual(await client.watch('servers', list.position, 100), { kind: 'history-gone' });
  const written = await client.replace('leases', 'lease', {}, positionAt(7, 3));
  t.like(written, { kind: 'written', era: 4, object: { position: positionAt(8, 4) } });
});

test('after a response with an era, responses without a valid era are rejected', async (t) => {
  const client = await clientOfStoreWithEras(t, [undefined, '2', undefined, 'many', '2']);
  const before = await client.list('servers', ListFreshness.Current);
  t.deepEqual(before.position, positionAt(7));
  const first = await client.list('servers', ListFreshness.Current);
  t.true(before.position.isBefore(first.position));
  for (const call of ['without', 'unreadable']) {
    await t.throwsAsync(client.list('servers', ListFreshness.Current), undefined, call);
  }
  t.like(await client.watch('servers', first.position, 100), { kind: 'events' });
});

test('a watch with more changes than a response may hold says so', async (t) => {
  const large = Array.from({ length: 20 }, (_, index) => ({
    gone: false,
    object: object(`a-${index}`, index, 'x'.repeat(300_000)),
  }));
  const client = await clientOfStore(t, () => ({ status: 200, body: { events: large, at: 30 } }));
  t.deepEqual(await client.watch('servers', positionAt(1), 100), { kind: 'too-large' });
});
