/**
 * Guards against names of tenants and addresses in the configuration that no header can hold as they
 * stand: each request of such a tenant would end its router.
 */
import net from 'node:net';
import test, { type ExecutionContext } from 'ava';
import { EngineClient } from '../../platform/engine-client.js';
import { platformDecoder } from '../../platform/formats.js';
import { CacheNamespaces } from '../../src/state/routing/cache-namespace.js';
import { cacheSaltOf } from '../../src/state/routing/generation.js';
import { REQUEST, RESPONSE_HEAD, SEND_OPTIONS } from '../helpers/exchange-fixtures.js';

/** The tenant's header as its engine receives it, as bytes. */
async function receivedTenant(t: ExecutionContext, tenant: string): Promise<Buffer | undefined> {
  let received = '';
  const server = net.createServer((socket) => {
    socket.on('error', () => undefined);
    socket.on('data', (chunk) => {
      received += chunk.toString('latin1');
      if (received.endsWith('body')) socket.end(`${RESPONSE_HEAD}Content-Length: 0\r\n\r\n`);
    });
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  t.teardown(() => server.close());
  const { port } = server.address() as net.AddressInfo;
  const endpoint = { id: 'engine-1', name: 'engine-1', address: `127.0.0.1:${port}` };
  await new Promise<void>((resolve) => {
    new EngineClient().send(
      endpoint,
      REQUEST,
      { ...SEND_OPTIONS, tenant },
      {
        onNotice: () => undefined,
        onHead: () => undefined,
        onChunk: () => undefined,
        onEnd: resolve,
        onFailure: () => resolve(),
      },
    );
  });
  const value = /^X-Peatspan-Tenant: (.*)$/m.exec(received)?.[1];
  return value === undefined ? undefined : Buffer.from(value.trimEnd(), 'latin1');
}

test('a request of a tenant whose name is outside Latin-1 states it in UTF-8', async (t) => {
  for (const name of ['łódź-2', '店', 'a€', 'half\ud800']) {
    t.deepEqual(await receivedTenant(t, name), Buffer.from(name, 'utf8'), name);
  }
});

test('the name of a tenant within Latin-1 is sent as it is', async (t) => {
  for (const name of ['sese880', 'café']) {
    t.deepEqual(await receivedTenant(t, name), Buffer.from(name, 'latin1'), name);
  }
});

/** Salt of an isolated tenant's requests. */
function saltOfIsolated(name: string): string {
  const tenant = { name, isIsolated: true };
  return cacheSaltOf('model', 1, new CacheNamespaces([tenant]).of(tenant));
}

test('isolated tenants have salts of their own that a header holds unchanged', (t) => {
  const names = [
    'a',
    'a ',
    ' a',
    'a\t',
    'ł',
    '\u0141',
    'l',
    '店',
    '\ud800',
    '\ud801',
    '~6100',
    '/a',
  ];
  const salts = names.map((name) => saltOfIsolated(name));
  t.is(new Set(salts).size, new Set(names).size);
  for (const salt of salts) t.regex(salt, /^[\x21-\x7e]+$/);
  t.is(saltOfIsolated('sese880'), 'model@1/sese880');
});

test('a cache store whose address is none is not used', (t) => {
  const services = ['10.0.0.1:80', '10.0.0.1:0', 'a\u0001:80\n', ''].map((address) => ({
    name: 'store',
    kv_store_address: address,
  }));
  const limits = {
    max_header_bytes: 1,
    max_body_bytes: 1,
    header_timeout_ms: 1,
    idle_timeout_ms: 1,
  };
  const spec = { version: 1, routes: [], services, limits };
  const position = { era: 0, revision: 1 };
  const decoded = platformDecoder.configuration({ name: 'main', position, spec } as never);
  const addresses =
    decoded.kind === 'value'
      ? decoded.value.services.map(({ cacheStore }) => cacheStore?.address)
      : [];
  t.deepEqual(addresses, ['10.0.0.1:80', undefined, undefined, undefined]);
});
