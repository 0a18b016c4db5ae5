/** Guards against requests and state being attributed to the wrong incarnation of an engine. */
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import test, { type ExecutionContext } from 'ava';
import { EngineClient } from '../../platform/engine-client.js';
import type { EngineEndpoint, LoadCommandRequest } from '../../src/protocol/inference/port.js';

const STARTED_AT_MS = 1_764_720_000_123;
const LOAD_COMMAND: LoadCommandRequest = {
  model: 'model-a',
  version: 2,
  holder: 'router-0',
  fencingToken: 1,
  expectedSequence: 0,
};
const REPORT = { models: [{ name: 'model-a', version: 1 }], busy: false, sequence: 0 };
const FEED = { boot_epoch: 1, next_page_token: 1, events: [], held: [] };

/**
 * Starts an engine with a fixed response; returns its endpoint and the engine names it received.
 */
async function startEngine(
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
  return { endpoint: { id: `i-1@${STARTED_AT_MS}`, name: 'i-1', address }, named };
}

test('reports, events and lists contain the start time of the incarnation', async (t) => {
  const { endpoint, named } = await startEngine(t, 200, {
    ...REPORT,
    ...FEED,
    born: STARTED_AT_MS,
  });
  const client = new EngineClient();
  t.is((await client.readWeightState(endpoint, 'model-a'))?.startedAtMs, STARTED_AT_MS);
  t.is((await client.cacheEvents(endpoint.address, 0, 1)).startedAtMs, STARTED_AT_MS);
  t.is((await client.cacheContents(endpoint.address)).startedAtMs, STARTED_AT_MS);
  t.is(named[0], 'i-1');
});

test('a response without a start time is accepted, one with an invalid start time is rejected', async (t) => {
  const undated = await startEngine(t, 200, { ...REPORT, ...FEED });
  const undatedState = await new EngineClient().readWeightState(undated.endpoint, 'model-a');
  t.like(undatedState, { startedAtMs: undefined, version: 1 });
  const invalid = await startEngine(t, 200, { ...REPORT, born: 'yesterday' });
  t.is(await new EngineClient().readWeightState(invalid.endpoint, 'model-a'), undefined);
});

for (const [status, kind] of [
  [202, 'accepted'],
  [200, 'already-done'],
  [409, 'rejected'],
] as const) {
  test(`the result of a load command with status ${status} contains the start time of the incarnation`, async (t) => {
    const client = new EngineClient();
    const { endpoint, named } = await startEngine(t, status, { born: STARTED_AT_MS });
    t.like(await client.sendLoadCommand(endpoint, LOAD_COMMAND), {
      kind,
      startedAtMs: STARTED_AT_MS,
    });
    t.is(named[0], 'i-1');
    const withoutBody = await startEngine(t, status, undefined);
    const resultWithoutBody = await new EngineClient().sendLoadCommand(
      withoutBody.endpoint,
      LOAD_COMMAND,
    );
    t.like(resultWithoutBody, { kind, startedAtMs: undefined });
  });
}

test('a load command that another engine rejects results in replaced', async (t) => {
  const { endpoint } = await startEngine(t, 421, { born: STARTED_AT_MS });
  t.deepEqual(await new EngineClient().sendLoadCommand(endpoint, LOAD_COMMAND), {
    kind: 'replaced',
  });
});
