/** The start that an engine states in each of its answers, and the name that calls to it carry. */
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import test, { type ExecutionContext } from 'ava';
import { EngineClient } from '../../platform/engine-client.js';
import type { EngineEndpoint, WeightOrder } from '../../src/protocol/inference/port.js';

const BORN_MS = 1_764_720_000_123;
const ORDER: WeightOrder = {
  model: 'model-a',
  version: 2,
  holder: 'router-0',
  fencingToken: 1,
  expectedSequence: 0,
};
const REPORT = { models: [{ name: 'model-a', version: 1 }], busy: false, sequence: 0 };
const FEED = { boot_epoch: 1, next_page_token: 1, events: [], held: [] };

/** An engine that answers each path with a status and a body; answers its endpoint and what it was named. */
async function engineWith(
  t: ExecutionContext,
  status: number,
  body: unknown,
): Promise<{ endpoint: EngineEndpoint; named: (string | undefined)[] }> {
  const named: (string | undefined)[] = [];
  const server = createServer((request, response) => {
    named.push(request.headers['x-peatspan-expect-instance'] as string | undefined);
    request.resume();
    response.writeHead(status, { 'content-type': 'application/json', connection: 'close' });
    response.end(body === undefined ? '' : JSON.stringify(body));
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  t.teardown(() => server.close());
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  return { endpoint: { id: `i-1@${BORN_MS}`, name: 'i-1', address }, named };
}

test('reports, events and lists state the life that answers', async (t) => {
  const { endpoint, named } = await engineWith(t, 200, { ...REPORT, ...FEED, born: BORN_MS });
  const client = new EngineClient();
  t.is((await client.weightState(endpoint, 'model-a'))?.bornMs, BORN_MS);
  t.is((await client.cacheEvents(endpoint.address, 0, 1)).bornMs, BORN_MS);
  t.is((await client.cacheContents(endpoint.address)).bornMs, BORN_MS);
  t.is(named[0], 'i-1');
});

test('an answer of the older shape states no life, one of another type is no answer', async (t) => {
  const older = await engineWith(t, 200, { ...REPORT, ...FEED });
  const olderState = await new EngineClient().weightState(older.endpoint, 'model-a');
  t.like(olderState, { bornMs: undefined, version: 1 });
  const odd = await engineWith(t, 200, { ...REPORT, born: 'yesterday' });
  t.is(await new EngineClient().weightState(odd.endpoint, 'model-a'), undefined);
});

for (const [status, kind] of [
  [202, 'accepted'],
  [200, 'already-done'],
  [409, 'rejected'],
] as const) {
  test(`an order that is answered with ${status} states the life that answered`, async (t) => {
    const client = new EngineClient();
    const { endpoint, named } = await engineWith(t, status, { born: BORN_MS });
    t.like(await client.order(endpoint, ORDER), { kind, bornMs: BORN_MS });
    t.is(named[0], 'i-1');
    const silent = await engineWith(t, status, undefined);
    const toSilent = await new EngineClient().order(silent.endpoint, ORDER);
    t.like(toSilent, { kind, bornMs: undefined });
  });
}

test('an order that another engine refuses found its engine replaced', async (t) => {
  const { endpoint } = await engineWith(t, 421, { born: BORN_MS });
  t.deepEqual(await new EngineClient().order(endpoint, ORDER), { kind: 'replaced' });
});
