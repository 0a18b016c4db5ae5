/** Guards against a router that exits before its callers have their responses, or never exits. */
import { once } from 'node:events';
import net from 'node:net';
import test, { type ExecutionContext } from 'ava';
import { StopSequence } from '../../platform/stop-sequence.js';
import type { GatewayNode } from '../../src/coordination/gateway/gateway-node.js';
import type { Reply } from '../../src/coordination/gateway/reply.js';
import { BodyFraming } from '../../src/protocol/inference/port.js';
import { type Clock, SystemClock } from '../../src/runtime/clock.js';
import { holdEventLoop, wait } from '../helpers/event-loop.js';
import {
  GET,
  type IngressHarness,
  connect,
  startIngress,
  waitUntil,
} from '../helpers/ingress-harness.js';

/** More than the kernel takes of a response that its caller does not read. */
const LARGE_BODY = Buffer.alloc(16_777_216);
const GRACE_S = 8;
/** The stop sequence of the test runs this many times faster. */
const SPEED = 10;
/** For late timers of a loaded machine. */
const TOLERANCE_MS = 3_000;
/** Shortly before the router accepts no further connections. */
const BEFORE_CLOSE_MS = 2_900 / SPEED;
/** Time after which the router no longer accepts connections, and some checks have run. */
const AFTER_CLOSE_MS = 4_000 / SPEED;

interface StopHarness extends IngressHarness {
  readonly stop: StopSequence;
  readonly hasExited: () => boolean;
  /** Resolves at the exit with the time since this call, on the clock of the stop sequence. */
  readonly exitMs: () => Promise<number>;
}

/** What a router and its log do in a test. */
interface StopOptions {
  /** Called whenever the router looks whether requests run. */
  readonly onCheck?: () => void;
  readonly runningCalls?: number;
  readonly onEvent?: (event: string) => void;
  readonly onRequest?: (reply: Reply) => void;
}

async function startStoppableRouter(
  t: ExecutionContext,
  {
    runningCalls = 0,
    onCheck = () => undefined,
    onEvent = () => undefined,
    onRequest,
  }: StopOptions = {},
): Promise<StopHarness> {
  const harness = await startIngress(t, undefined, onRequest);
  const node = {
    get runningCalls() {
      onCheck();
      return runningCalls;
    },
    forwardedConnections: 0,
    leave: () => undefined,
    stop: () => undefined,
  } as unknown as GatewayNode;
  const system = new SystemClock();
  const clock: Clock = {
    now: () => system.now() * SPEED,
    elapsed: () => system.elapsed(),
    wallNow: () => system.wallNow(),
    setTimer: (delayMs, callback) => system.setTimer(delayMs / SPEED, callback),
    afterReading: (callback) => system.afterReading(callback),
  };
  const log = (): void => undefined;
  const logger = { debug: log, info: onEvent, warn: log, error: log };
  let hasExited = false;
  const exit = (): void => {
    hasExited = true;
  };
  const signals = { longestDelayMs: 0 };
  const stop = new StopSequence(node, harness.ingress, clock, logger, GRACE_S, signals, exit);
  const exitMs = async (): Promise<number> => {
    const startedMs = clock.now();
    await waitUntil(() => hasExited);
    return clock.now() - startedMs;
  };
  return { ...harness, stop, hasExited: () => hasExited, exitMs };
}

function respond(harness: IngressHarness, body: Buffer): void {
  const reply = harness.requests[0]?.reply as Reply;
  reply.begin(200, [], { kind: BodyFraming.Length, bytes: body.length });
  reply.write(body);
  reply.end();
}

/** Sends a request, and ends its large response while the caller doesn't read. */
async function respondToSlowReader(t: ExecutionContext, harness: StopHarness): Promise<net.Socket> {
  const socket = net.connect(harness.port, '127.0.0.1');
  t.teardown(() => socket.destroy());
  socket.on('error', () => undefined);
  socket.pause();
  socket.write(GET);
  await waitUntil(() => harness.requests.length === 1);
  respond(harness, LARGE_BODY);
  return socket;
}

test('a router without requests exits within its grace', async (t) => {
  const router = await startStoppableRouter(t);
  router.stop.begin();
  const tookMs = await router.exitMs();
  t.true(tookMs < GRACE_S * 1_000 + TOLERANCE_MS, `${tookMs} ms`);
});

test('the exit waits for a caller that reads slowly', async (t) => {
  const router = await startStoppableRouter(t);
  const socket = await respondToSlowReader(t, router);
  router.stop.begin();
  await wait(AFTER_CLOSE_MS);
  t.false(router.hasExited());
  let bytes = 0;
  socket.on('data', (chunk: Buffer) => (bytes += chunk.length));
  socket.resume();
  await once(socket, 'close');
  t.true(bytes > LARGE_BODY.length);
  await waitUntil(router.hasExited);
});

test('the exit waits for a body that is arriving', async (t) => {
  const router = await startStoppableRouter(t);
  const client = connect(router.port);
  client.socket.write(`${GET.slice(0, -2).replace('GET', 'POST')}Content-Length: 4\r\n\r\nab`);
  await wait(20);
  router.stop.begin();
  await wait(AFTER_CLOSE_MS);
  t.false(router.hasExited());
  client.socket.write('cd');
  await waitUntil(() => router.requests.length === 1);
  respond(router, Buffer.from('ok'));
  await client.closed;
  t.regex(client.received(), /^HTTP\/1\.1 200 .*Connection: close\r\n.*ok$/s);
  await waitUntil(router.hasExited);
});

// Guards against resets of requests that arrive while a router without processor time waits to exit.
test('a request that arrives while the router is paused between two checks is answered', async (t) => {
  const PAUSE_MS = 100;
  let hasPaused = false;
  const router = await startStoppableRouter(t, {
    onCheck: () => {
      if (hasPaused || router.ingress.isListening) return;
      hasPaused = true;
      // Runs between this check and the next one.
      setImmediate(() => {
        client.socket.write(GET);
        holdEventLoop(PAUSE_MS);
      });
    },
  });
  const client = connect(router.port);
  await wait(20);
  router.stop.begin();
  await Promise.race([client.closed, waitUntil(() => router.requests.length === 1)]);
  t.is(router.requests.length, 1);
  respond(router, Buffer.from('ok'));
  await client.closed;
  t.regex(client.received(), /Connection: close\r\n.*ok$/s);
  await waitUntil(router.hasExited);
});

// Guards against resets of connections that wait to be accepted, with the requests sent on them.
test('the exit waits until no connection waits to be accepted', async (t) => {
  const router = await startStoppableRouter(t);
  const { ingress } = router;
  const { close } = ingress;
  ingress.close = () => undefined;
  router.stop.begin();
  await wait(AFTER_CLOSE_MS);
  t.false(router.hasExited());
  close.call(ingress);
  await waitUntil(router.hasExited);
});

test('a caller that never reads does not hold the router beyond its grace', async (t) => {
  const router = await startStoppableRouter(t);
  await respondToSlowReader(t, router);
  router.stop.begin();
  const tookMs = await router.exitMs();
  t.true(tookMs < GRACE_S * 1_000 + TOLERANCE_MS, `${tookMs} ms`);
});

test('no request is read between the last check and the exit', async (t) => {
  const router = await startStoppableRouter(t);
  const client = connect(router.port);
  await wait(20);
  router.stop.begin();
  await client.closed;
  t.false(router.hasExited());
  client.socket.write(GET);
  await waitUntil(router.hasExited);
  t.is(router.requests.length, 0);
});

// Guards against connections that a router resets by its exit while they wait to be accepted: one that is
// short of processor time accepts them slowly, and has no request open in between.
test('the exit waits for connections that wait to be accepted', async (t) => {
  const CLIENTS = 8;
  /** Time that the event loop takes for each request, longer than two checks. */
  const REQUEST_WORK_MS = 30;
  const router = await startStoppableRouter(t, {
    onRequest: (reply) => {
      const endMs = Date.now() + REQUEST_WORK_MS;
      while (Date.now() < endMs);
      reply.refuse({ status: 503, reason: 'stopping' });
    },
  });
  router.stop.begin();
  await wait(BEFORE_CLOSE_MS);
  const clients = Array.from({ length: CLIENTS }, () => connect(router.port));
  for (const { socket } of clients) socket.write(GET);
  await waitUntil(router.hasExited);
  t.is(router.requests.length, CLIENTS);
  for (const client of clients) t.regex(client.received(), /^HTTP\/1\.1 503 /);
});
