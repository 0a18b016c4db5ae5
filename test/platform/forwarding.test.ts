/** Guards exchanges through another router: they must end as direct ones do, whichever side fails. */
import net from 'node:net';
import test, { type ExecutionContext } from 'ava';
import { EngineClient } from '../../platform/engine-client.js';
import {
  BodyFraming,
  type Exchange,
  type ExchangeConnection,
  type ExchangeFailure,
  ListenerState,
  type SendOptions,
} from '../../src/protocol/inference/port.js';
import {
  ForwardingDecision,
  type ForwardingListener,
  type ForwardingTarget,
} from '../../src/protocol/peer/forwarding-port.js';
import { REQUEST, RESPONSE_HEAD, SEND_OPTIONS } from '../helpers/exchange-fixtures.js';
import { TcpForwarding } from '../../src/protocol/peer/forwarding-server.js';

const BODY = Buffer.concat(REQUEST.body.pieces).toString('latin1');
const WAIT_MS = 3_000;

/** An engine that serves each request with a script, and its connections. */
interface ScriptedEngine {
  readonly address: string;
  readonly sockets: net.Socket[];
  requests: number;
}

type Script = (socket: net.Socket) => void;

async function startEngine(t: ExecutionContext, script: Script): Promise<ScriptedEngine> {
  const sockets: net.Socket[] = [];
  const server = net.createServer((socket) => {
    sockets.push(socket);
    socket.on('error', () => undefined);
    socket.on('data', (chunk) => {
      if (!chunk.toString('latin1').endsWith(BODY)) return;
      engine.requests += 1;
      script(socket);
    });
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  t.teardown(() => {
    server.close();
    for (const socket of sockets) socket.destroy();
  });
  const { port } = server.address() as net.AddressInfo;
  const engine = { address: `127.0.0.1:${port}`, sockets, requests: 0 };
  return engine;
}

/** A forwarding router; its policy accepts every connection by default. */
async function startForwarder(
  t: ExecutionContext,
  decision = ForwardingDecision.Accepted,
): Promise<{ listener: ForwardingListener; outcomes: [ForwardingTarget, boolean][] }> {
  const outcomes: [ForwardingTarget, boolean][] = [];
  const listener = await new TcpForwarding().listen('127.0.0.1:0', {
    decide: () => decision,
    onConnected: (target, isSuccess) => outcomes.push([target, isSuccess]),
  });
  t.teardown(() => listener.close());
  return { listener, outcomes };
}

/** An exchange and what the router has received of it. */
class RecordedExchange {
  readonly exchange: Exchange;
  connection: ExchangeConnection | undefined;
  framing: BodyFraming | undefined;
  body = '';
  end: 'whole' | ExchangeFailure | undefined;

  constructor(client: EngineClient, engine: string, forwarder: string) {
    this.exchange = client.send(
      { id: 'engine-1', name: 'engine-1', address: engine },
      REQUEST,
      optionsOf(forwarder),
      {
        onConnected: (connection) => (this.connection = connection),
        onNotice: () => undefined,
        onHead: ({ framing }) => (this.framing = framing),
        onChunk: (chunk) => (this.body += Buffer.from(chunk).toString('latin1')),
        onEnd: () => (this.end = 'whole'),
        onFailure: (failure) => (this.end = failure),
      },
    );
  }

  get failure(): ExchangeFailure | undefined {
    return this.end === 'whole' ? undefined : this.end;
  }
}

function optionsOf(address: string): SendOptions {
  return { ...SEND_OPTIONS, forwarder: { address, keepsDirectConnections: false } };
}

/** An address at which nothing listens. */
function closedAddress(): Promise<string> {
  return new Promise((resolve) => {
    const server = net.createServer().listen(0, '127.0.0.1', () => {
      const { port } = server.address() as net.AddressInfo;
      server.close(() => resolve(`127.0.0.1:${port}`));
    });
  });
}

async function waitUntil(condition: () => boolean): Promise<boolean> {
  const deadline = Date.now() + WAIT_MS;
  while (!condition() && Date.now() < deadline) {
    await new Promise((resolve) => setTimeout(resolve, 5));
  }
  return condition();
}

test('a forwarded exchange delivers the whole response and keeps its connection', async (t) => {
  const engine = await startEngine(t, (socket) =>
    socket.write(`${RESPONSE_HEAD}Content-Length: 5\r\n\r\nhello`),
  );
  const { listener, outcomes } = await startForwarder(t);
  const client = new EngineClient();
  for (const isNew of [true, false]) {
    const exchange = new RecordedExchange(client, engine.address, listener.address);
    t.true(await waitUntil(() => exchange.end !== undefined));
    t.is(exchange.end, 'whole');
    t.is(exchange.body, 'hello');
    t.true(exchange.connection?.isForwarded);
    // The connection returns to the pool right after the end of the response.
    await new Promise((resolve) => setTimeout(resolve, isNew ? 20 : 0));
  }
  t.is(engine.requests, 2);
  t.is(engine.sockets.length, 1);
  t.deepEqual(outcomes, [[{ engineId: 'engine-1', address: engine.address }, true]]);
});

test('idle forwarded connections are closed when their forwarder is no longer used', async (t) => {
  const engine = await startEngine(t, (socket) =>
    socket.write(`${RESPONSE_HEAD}Content-Length: 5\r\n\r\nhello`),
  );
  const { listener } = await startForwarder(t);
  const client = new EngineClient();
  const exchange = new RecordedExchange(client, engine.address, listener.address);
  t.true(await waitUntil(() => exchange.end !== undefined));
  t.is(listener.openConnections, 1);
  await new Promise((resolve) => setTimeout(resolve, 20));
  client.retainForwarders(new Set());
  t.true(await waitUntil(() => listener.openConnections === 0));
});

test('a forwarded response without a length ends without a statement that it is complete', async (t) => {
  const engine = await startEngine(t, (socket) => socket.end(`${RESPONSE_HEAD}\r\nhello`));
  const { listener } = await startForwarder(t);
  const exchange = new RecordedExchange(new EngineClient(), engine.address, listener.address);
  t.true(await waitUntil(() => exchange.end !== undefined));
  // The connection ends in the same way if the process of the forwarder is killed, so the router
  // checks the forwarder after an end with this framing.
  t.is(exchange.end, 'whole');
  t.is(exchange.framing, BodyFraming.Connection);
  t.is(exchange.body, 'hello');
});

test('a forwarded response in chunks is complete with its last chunk', async (t) => {
  const engine = await startEngine(t, (socket) =>
    socket.write(`${RESPONSE_HEAD}Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n`),
  );
  const { listener } = await startForwarder(t);
  const exchange = new RecordedExchange(new EngineClient(), engine.address, listener.address);
  t.true(await waitUntil(() => exchange.end !== undefined));
  t.is(exchange.end, 'whole');
  t.is(exchange.body, 'hello');
});

test('a forwarded response that the engine resets is not complete', async (t) => {
  const engine = await startEngine(t, (socket) => {
    socket.write(`${RESPONSE_HEAD}\r\nhello`);
    setTimeout(() => socket.resetAndDestroy(), 20);
  });
  const { listener } = await startForwarder(t);
  const exchange = new RecordedExchange(new EngineClient(), engine.address, listener.address);
  t.true(await waitUntil(() => exchange.end !== undefined));
  t.like(exchange.failure, { kind: 'cut', isDisconnect: true });
});

test('a forwarded response is not complete if the forwarder ends before it does', async (t) => {
  const engine = await startEngine(t, (socket) => socket.write(`${RESPONSE_HEAD}\r\nhello`));
  const { listener } = await startForwarder(t);
  const exchange = new RecordedExchange(new EngineClient(), engine.address, listener.address);
  t.true(await waitUntil(() => exchange.body === 'hello'));
  listener.close();
  t.true(await waitUntil(() => exchange.end !== undefined));
  t.like(exchange.failure, { kind: 'cut', isDisconnect: true });
  t.true(await waitUntil(() => engine.sockets.every((socket) => socket.destroyed)));
});

test('cancelling a forwarded exchange closes the connection to the engine', async (t) => {
  const engine = await startEngine(t, () => undefined);
  const { listener } = await startForwarder(t);
  const exchange = new RecordedExchange(new EngineClient(), engine.address, listener.address);
  t.true(await waitUntil(() => engine.requests === 1));
  exchange.exchange.cancel();
  t.true(await waitUntil(() => engine.sockets.every((socket) => socket.destroyed)));
  t.is(listener.openConnections, 0);
});

test('a request is not sent if its forwarder is unreachable or refuses', async (t) => {
  const engine = await startEngine(t, () => undefined);
  const gone = await startForwarder(t);
  gone.listener.close();
  const refusing = await startForwarder(t, ForwardingDecision.Refused);
  const unaware = await startForwarder(t, ForwardingDecision.EngineUnknown);
  for (const { listener } of [gone, refusing, unaware]) {
    const exchange = new RecordedExchange(new EngineClient(), engine.address, listener.address);
    t.true(await waitUntil(() => exchange.end !== undefined));
    t.like(exchange.failure, { kind: 'not-sent', isPathFailure: true });
  }
  t.is(engine.requests, 0);
});

test('a request is not sent if the forwarder can not reach the engine, which is then the cause', async (t) => {
  const engine = await startEngine(t, () => undefined);
  const { listener, outcomes } = await startForwarder(t);
  const closed = await closedAddress();
  const exchange = new RecordedExchange(new EngineClient(), closed, listener.address);
  t.true(await waitUntil(() => exchange.end !== undefined));
  t.like(exchange.failure, { kind: 'not-sent', isPathFailure: false });
  t.deepEqual(outcomes, [[{ engineId: 'engine-1', address: closed }, false]]);
  t.is(engine.requests, 0);
});

test('a check through a forwarder tells whether the engine listens', async (t) => {
  const engine = await startEngine(t, () => undefined);
  const { listener } = await startForwarder(t);
  const refusing = await startForwarder(t, ForwardingDecision.Refused);
  const client = new EngineClient();
  const endpoint = { id: 'engine-1', name: 'engine-1', address: engine.address };
  const closed = { ...endpoint, address: await closedAddress() };
  t.is(await client.checkListener(endpoint, listener.address), ListenerState.Listening);
  t.is(await client.checkListener(closed, listener.address), ListenerState.Refused);
  t.is(await client.checkListener(closed, refusing.listener.address), ListenerState.Unresponsive);
});

test('a forwarder holds few bytes of a response that is not read', async (t) => {
  const RESPONSE_BYTES = 64 * 1024 * 1024;
  const MAXIMUM_TAKEN_BYTES = 16 * 1024 * 1024;
  const engine = await startEngine(t, (socket) => {
    socket.write(`${RESPONSE_HEAD}Content-Length: ${RESPONSE_BYTES}\r\n\r\n`);
    socket.write(Buffer.alloc(RESPONSE_BYTES));
  });
  const { listener } = await startForwarder(t);
  const exchange = new RecordedExchange(new EngineClient(), engine.address, listener.address);
  t.true(await waitUntil(() => exchange.body.length > 0));
  exchange.exchange.pause();
  await new Promise((resolve) => setTimeout(resolve, 300));
  const [socket] = engine.sockets;
  t.true(RESPONSE_BYTES - (socket?.writableLength ?? 0) < MAXIMUM_TAKEN_BYTES);
  exchange.exchange.cancel();
});
