/**
 * Guards against a broken response that is stated to be complete: a proxy before an engine that has
 * crashed accepts connections in its place, so only the engine's own answer shows that it is there.
 */
import { type IncomingMessage, type ServerResponse, createServer } from 'node:http';
import net, { type AddressInfo } from 'node:net';
import test, { type ExecutionContext } from 'ava';
import { EngineClient } from '../../platform/engine-client.js';
import { IncarnationState } from '../../src/protocol/inference/port.js';
import { ForwardingDecision } from '../../src/protocol/peer/forwarding-port.js';
import { TcpForwarding } from '../../src/protocol/peer/forwarding-server.js';

const STARTED_AT_MS = 1_000;

async function listen(t: ExecutionContext, server: net.Server): Promise<string> {
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  t.teardown(() => server.close());
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

async function startForwarder(t: ExecutionContext): Promise<string> {
  const listener = await new TcpForwarding().listen('127.0.0.1:0', {
    decide: () => ForwardingDecision.Accepted,
    onConnected: () => undefined,
  });
  t.teardown(() => listener.close());
  return listener.address;
}

/** The states found directly and over a forwarder. */
async function statesOf(t: ExecutionContext, address: string): Promise<IncarnationState[]> {
  const engine = { id: 'engine-1', name: 'engine-1', address, startedAtMs: STARTED_AT_MS };
  const client = new EngineClient();
  const forwarder = await startForwarder(t);
  const direct = await client.checkIncarnation(engine);
  return [direct.state, (await client.checkIncarnation(engine, forwarder)).state];
}

function twice(state: IncarnationState): IncarnationState[] {
  return [state, state];
}

async function answering(
  t: ExecutionContext,
  answer: (request: IncomingMessage, response: ServerResponse) => void,
): Promise<IncarnationState[]> {
  return statesOf(t, await listen(t, createServer(answer)));
}

test('an engine that answers is there, also without a start time or a state', async (t) => {
  const named = await answering(t, (request, response) => {
    const isNamed = request.headers['x-peatspan-expect-instance'] === 'engine-1';
    response.writeHead(isNamed ? 200 : 421).end(JSON.stringify({ born: STARTED_AT_MS }));
  });
  t.deepEqual(named, twice(IncarnationState.Same));
  const unnamed = await answering(t, (_request, response) => response.writeHead(404).end());
  t.deepEqual(unnamed, twice(IncarnationState.Same));
});

test('another engine, or a later start of the same one, is recognised', async (t) => {
  const other = await answering(t, (_request, response) => response.writeHead(421).end());
  t.deepEqual(other, twice(IncarnationState.Other));
  const later = await answering(t, (_request, response) =>
    response.end(JSON.stringify({ born: STARTED_AT_MS + 1 })),
  );
  t.deepEqual(later, twice(IncarnationState.Other));
});

test('a proxy without its engine tells nothing', async (t) => {
  const address = await listen(
    t,
    net.createServer((socket) => socket.end()),
  );
  t.deepEqual(await statesOf(t, address), twice(IncarnationState.Unknown));
});

test('an engine whose entry states no start time may state one itself', async (t) => {
  const server = createServer((_request, response) =>
    response.end(JSON.stringify({ born: STARTED_AT_MS })),
  );
  const address = await listen(t, server);
  const engine = { id: 'engine-1', name: 'engine-1', address, startedAtMs: undefined };
  t.is((await new EngineClient().checkIncarnation(engine)).state, IncarnationState.Same);
});

// A proxy answers in place of an engine that has ended, or the report breaks off as the response did.
test('an answer that is no report does not show that the engine is there', async (t) => {
  for (const status of [500, 502, 503, 504]) {
    const states = await answering(t, (_request, response) => response.writeHead(status).end());
    t.deepEqual(states, twice(IncarnationState.Unknown), String(status));
  }
  for (const body of ['', '{"born":10']) {
    const states = await answering(t, ({ socket }) =>
      socket.end(`HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n${body}`),
    );
    t.deepEqual(states, twice(IncarnationState.Unknown), body);
  }
});
