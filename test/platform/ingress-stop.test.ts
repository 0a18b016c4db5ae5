/** Guards against requests and responses that a stopping router loses on callers' connections. */
import { once } from 'node:events';
import net from 'node:net';
import { Worker } from 'node:worker_threads';
import test, { type ExecutionContext } from 'ava';
import { afterReading } from '../../src/runtime/after-reading.js';
import type { Reply } from '../../src/coordination/gateway/reply.js';
import { BodyFraming } from '../../src/protocol/inference/port.js';
import {
  GET,
  type IngressHarness,
  type TestClient,
  connect,
  startIngress,
  waitUntil,
} from '../helpers/ingress-harness.js';
import { holdEventLoop, wait } from '../helpers/event-loop.js';

/** More than the kernel takes of a response that its caller does not read. */
const LARGE_BODY = Buffer.alloc(16_777_216);

function respond(harness: IngressHarness, index: number, body = Buffer.from('ok')): void {
  const reply = harness.requests[index]?.reply as Reply;
  reply.begin(200, [], { kind: BodyFraming.Length, bytes: body.length });
  reply.write(body);
  reply.end();
}

/** Sends a request, and ends its large response while the caller doesn't read. */
async function respondToSlowReader(
  t: ExecutionContext,
  harness: IngressHarness,
): Promise<net.Socket> {
  const socket = net.connect(harness.port, '127.0.0.1');
  t.teardown(() => socket.destroy());
  socket.on('error', () => undefined);
  socket.pause();
  socket.write(GET);
  await waitUntil(() => harness.requests.length === 1);
  respond(harness, 0, LARGE_BODY);
  await wait(100);
  return socket;
}

async function readToEnd(socket: net.Socket): Promise<number> {
  let bytes = 0;
  socket.on('data', (chunk: Buffer) => (bytes += chunk.length));
  const closed = once(socket, 'close');
  socket.resume();
  await closed;
  return bytes;
}

/** Opens a connection and receives a response on it. */
async function openKeptConnection(harness: IngressHarness): Promise<TestClient> {
  const client = connect(harness.port);
  client.socket.write(GET);
  await waitUntil(() => harness.requests.length === 1);
  respond(harness, 0);
  await waitUntil(() => client.received().endsWith('ok'));
  return client;
}

test.serial(
  'a complete response that its caller reads slowly is sent whole after a stop',
  async (t) => {
    const harness = await startIngress(t);
    const socket = await respondToSlowReader(t, harness);
    harness.ingress.drain();
    harness.ingress.close();
    await wait(100);
    t.true((await readToEnd(socket)) > LARGE_BODY.length);
  },
);

test.serial('idle connections are closed at a stop', async (t) => {
  const harness = await startIngress(t);
  const client = await openKeptConnection(harness);
  harness.ingress.drain();
  harness.ingress.close();
  await client.closed;
  t.is(harness.requests.length, 1);
});

test.serial(
  'a request that waits in its socket when idle connections are closed is answered',
  async (t) => {
    const harness = await startIngress(t);
    const client = await openKeptConnection(harness);
    setTimeout(() => {
      client.socket.write(GET);
      holdEventLoop(50);
      harness.ingress.drain();
      harness.ingress.close();
    }, 20);
    await Promise.race([client.closed, waitUntil(() => harness.requests.length === 2)]);
    t.is(harness.requests.length, 2);
    respond(harness, 1);
    await client.closed;
    t.regex(client.received(), /Connection: close\r\n.*ok$/s);
  },
);

test.serial(
  'a pipelined request is answered though the response before it ends after the stop',
  async (t) => {
    const harness = await startIngress(t);
    const client = connect(harness.port);
    client.socket.write(GET + GET);
    await waitUntil(() => harness.requests.length > 0);
    const first = harness.requests[0]?.reply as Reply;
    first.begin(200, [], { kind: BodyFraming.Chunks });
    harness.ingress.drain();
    harness.ingress.close();
    await wait(50);
    first.end();
    await Promise.race([client.closed, waitUntil(() => harness.requests.length === 2)]);
    await wait(50);
    respond(harness, 1);
    await client.closed;
    t.regex(client.received(), /Connection: close\r\n.*ok$/s);
  },
);

/** Callers on a thread of their own, which open connections while the event loop of the test is held. */
interface CallerThread {
  readonly open: (connections: number) => void;
  /** Responses on the connections that have closed. */
  readonly responses: readonly string[];
}

async function startCallers(t: ExecutionContext, { port }: IngressHarness): Promise<CallerThread> {
  const thread = new Worker(
    `const { parentPort, workerData } = require('node:worker_threads');
     const net = require('node:net');
     const call = () => {
       let text = '';
       const socket = net.connect(workerData.port, '127.0.0.1', () => socket.write(workerData.request));
       socket.on('error', () => undefined);
       socket.on('data', (chunk) => (text += chunk));
       socket.on('close', () => parentPort.postMessage(text));
     };
     parentPort.on('message', (count) => {
       for (let index = 0; index < count; index += 1) call();
     });
     parentPort.postMessage('ready');`,
    { eval: true, workerData: { port, request: GET } },
  );
  t.teardown(() => thread.terminate());
  await once(thread, 'message');
  const responses: string[] = [];
  thread.on('message', (text: string) => responses.push(text));
  return { open: (connections) => thread.postMessage(connections), responses };
}

/** Responds to all requests as they arrive, and checks that each connection has received a response. */
async function assertServed(
  t: ExecutionContext,
  harness: IngressHarness,
  { responses }: CallerThread,
  connections: number,
): Promise<void> {
  for (let index = 0; index < connections; index += 1) {
    await waitUntil(() => harness.requests.length > index || responses.length > index);
    t.true(harness.requests.length > index, `connection ${index}`);
    respond(harness, index);
  }
  await waitUntil(() => responses.length === connections);
  for (const text of responses) t.regex(text, /Connection: close\r\n.*ok$/s);
}

const CONNECTIONS = 5;
const HELD_MS = 500;

test.serial(
  'new connections that wait to be accepted when the router stops listening are served',
  async (t) => {
    const harness = await startIngress(t);
    const callers = await startCallers(t, harness);
    callers.open(CONNECTIONS);
    holdEventLoop(HELD_MS);
    harness.ingress.drain();
    harness.ingress.close();
    await assertServed(t, harness, callers, CONNECTIONS);
  },
);

// Guards against resets of requests that arrive while a router is paused after its last look for connections.
test.serial(
  'connections that arrive while the router is paused right before it stops listening are served',
  async (t) => {
    const harness = await startIngress(t);
    const callers = await startCallers(t, harness);
    harness.ingress.drain();
    // Runs after the event loop has accepted connections for the last time.
    afterReading(() => {
      callers.open(CONNECTIONS);
      holdEventLoop(HELD_MS);
    });
    harness.ingress.close();
    await assertServed(t, harness, callers, CONNECTIONS);
  },
);

function isRefused(port: number): Promise<boolean> {
  const socket = net.connect(port, '127.0.0.1');
  return new Promise((resolve) => {
    socket.on('connect', () => {
      socket.destroy();
      resolve(false);
    });
    socket.on('error', ({ code }: NodeJS.ErrnoException) => resolve(code === 'ECONNREFUSED'));
  });
}

// Guards against callers whose connections a busy router accepts shortly before it ends.
test.serial('steady callers do not keep a stopping router listening', async (t) => {
  const TURN_MS = 20;
  const CALLS_PER_TURN = 2;
  const LISTENING_MS = 1_000;
  /** For late timers of a loaded machine. */
  const LIMIT_MS = LISTENING_MS + 4_000;
  const harness = await startIngress(t, undefined, (reply) => {
    holdEventLoop(TURN_MS);
    reply.refuse({ status: 503, reason: 'stopping' });
  });
  const callers = await startCallers(t, harness);
  const calls = setInterval(() => callers.open(CALLS_PER_TURN), TURN_MS);
  t.teardown(() => clearInterval(calls));
  await waitUntil(() => harness.requests.length > 0);
  harness.ingress.drain();
  const closedMs = performance.now();
  harness.ingress.close(closedMs + LISTENING_MS);
  while (!(await isRefused(harness.port))) {
    const openMs = performance.now() - closedMs;
    if (openMs > LIMIT_MS) {
      t.fail(`still listens after ${openMs} ms`);
      return;
    }
    await wait(TURN_MS);
  }
  t.pass();
});

// Guards against resets by a router that is short of processor time: it accepts what waits slowly.
test.serial('a router accepts what waits for as long as its stop lasts', async (t) => {
  const TURN_MS = 60;
  const CALLS = 24;
  const STOP_MS = 20_000;
  const harness = await startIngress(t, undefined, (reply) => {
    holdEventLoop(TURN_MS);
    reply.refuse({ status: 503, reason: 'stopping' });
  });
  const callers = await startCallers(t, harness);
  callers.open(CALLS);
  holdEventLoop(HELD_MS);
  harness.ingress.drain();
  harness.ingress.close(performance.now() + STOP_MS);
  await waitUntil(() => harness.requests.length === CALLS);
  while (!(await isRefused(harness.port))) await wait(TURN_MS);
  t.is(harness.requests.length, CALLS);
});
