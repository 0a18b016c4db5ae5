/** Guards against connections that are closed under a caller, and responses that never arrive. */
import test from 'ava';
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

/** Node.js holds an idle connection for this much longer than it states. */
const NODE_HOLDS_LONGER_MS = 1_000;

/** The head of a request with a body of 4 bytes. */
const POST = GET.replace('GET', 'POST').replace('\r\n\r\n', '\r\nContent-Length: 4\r\n\r\n');

function respondAtOnce(reply: Reply): void {
  reply.begin(200, [], { kind: BodyFraming.Length, bytes: 2 });
  reply.write(Buffer.from('ok'));
  reply.end();
}

function respond(harness: IngressHarness, index: number): void {
  respondAtOnce(harness.requests[index]?.reply as Reply);
}

/** Sends the request with the given index and answers it. */
async function exchange(harness: IngressHarness, client: TestClient, index: number): Promise<void> {
  const start = client.received().length;
  client.socket.write(GET);
  await Promise.race([client.closed, waitUntil(() => harness.requests.length > index)]);
  respond(harness, index);
  await Promise.race([
    client.closed,
    waitUntil(() => client.received().slice(start).endsWith('ok')),
  ]);
}

function statedSeconds(client: TestClient): number {
  return Number(/Keep-Alive: timeout=(\d+)/.exec(client.received())?.[1]);
}

test('a connection is held as long as its first response after a shorter limit states', async (t) => {
  const harness = await startIngress(t);
  const client = connect(harness.port);
  harness.limits.idleTimeoutMs = 4_000;
  await exchange(harness, connect(harness.port), 0);
  harness.limits.idleTimeoutMs = 500;
  await exchange(harness, client, 1);
  t.is(statedSeconds(client), 4);
  await wait(500 + NODE_HOLDS_LONGER_MS + 1_000);
  await exchange(harness, client, 2);
  t.is(client.received().match(/200 OK/g)?.length, 2);
  client.socket.destroy();
});

test('a connection is held as long as a response states that began before a shorter limit', async (t) => {
  const harness = await startIngress(t);
  harness.limits.idleTimeoutMs = 4_000;
  const other = connect(harness.port);
  await exchange(harness, other, 0);
  const client = connect(harness.port);
  client.socket.write(GET);
  await waitUntil(() => harness.requests.length === 2);
  harness.limits.idleTimeoutMs = 500;
  await exchange(harness, other, 2);
  respond(harness, 1);
  await waitUntil(() => client.received().endsWith('ok'));
  t.is(statedSeconds(client), 4);
  await wait(500 + NODE_HOLDS_LONGER_MS + 1_000);
  await exchange(harness, client, 3);
  t.is(client.received().match(/200 OK/g)?.length, 2);
  for (const { socket } of [client, other]) socket.destroy();
});

test('an idle connection is closed after the idle time, also after a longer response', async (t) => {
  const harness = await startIngress(t);
  harness.limits.idleTimeoutMs = 300;
  await exchange(harness, connect(harness.port), 0);
  const client = connect(harness.port);
  client.socket.write(GET);
  await waitUntil(() => harness.requests.length === 2);
  await wait(300 + NODE_HOLDS_LONGER_MS + 300);
  respond(harness, 1);
  const startedMs = performance.now();
  await client.closed;
  t.true(client.received().endsWith('ok'));
  const heldMs = performance.now() - startedMs;
  t.true(heldMs > 300 && heldMs < 3_000, `${heldMs} ms`);
});

test.serial('a request that waits in its socket when the idle time ends is answered', async (t) => {
  const harness = await startIngress(t);
  harness.limits.idleTimeoutMs = 200;
  await exchange(harness, connect(harness.port), 0);
  const client = connect(harness.port);
  await exchange(harness, client, 1);
  await wait(200 + NODE_HOLDS_LONGER_MS - 300);
  client.socket.write(GET);
  holdEventLoop(600);
  await Promise.race([client.closed, waitUntil(() => harness.requests.length === 3)]);
  t.is(harness.requests.length, 3);
  respond(harness, 2);
  await waitUntil(() => client.received().match(/200 OK/g)?.length === 2);
  client.socket.destroy();
});

test('a caller that writes its body before it reads gets the rejection', async (t) => {
  const harness = await startIngress(t);
  harness.limits.maximumBodyBytes = 1_000;
  const PIECE = Buffer.alloc(16_384);
  const PIECES = 40;
  const client = connect(harness.port);
  client.socket.pause();
  client.socket.write(
    'POST /a/ HTTP/1.1\r\nHost: h\r\nX-Peatspan-Attempt-Id: 1\r\n' +
      `Content-Length: ${PIECE.length * PIECES}\r\n\r\n`,
  );
  for (let piece = 0; piece < PIECES && !client.socket.destroyed; piece += 1) {
    client.socket.write(PIECE);
    await wait(2);
  }
  client.socket.resume();
  await client.closed;
  t.regex(client.received(), /^HTTP\/1\.1 413 .*Connection: close\r\n.*body-too-long/s);
});

test('a rejected body that never ends does not keep its connection', async (t) => {
  const harness = await startIngress(t);
  const client = connect(harness.port);
  client.socket.write(
    'POST /a/ HTTP/1.1\r\nHost: h\r\nX-Peatspan-Attempt-Id: 1\r\nContent-Length: 5000\r\n\r\n',
  );
  const startedMs = performance.now();
  await client.closed;
  t.regex(client.received(), /^HTTP\/1\.1 413 /);
  t.true(performance.now() - startedMs < 5_000);
});

test('a pipelined request behind a response that ends its connection is not handled', async (t) => {
  const harness = await startIngress(t);
  const client = connect(harness.port);
  client.socket.write(GET + GET);
  await waitUntil(() => harness.requests.length > 0);
  const reply = harness.requests[0]?.reply as Reply;
  reply.begin(200, [], { kind: BodyFraming.Connection });
  reply.write(Buffer.from('answer'));
  reply.end();
  await client.closed;
  t.true(client.received().endsWith('answer'));
  t.is(harness.requests.length, 1);
});

test('pipelined requests are answered in order', async (t) => {
  const harness = await startIngress(t);
  const client = connect(harness.port);
  client.socket.write(GET + GET + GET);
  for (let index = 0; index < 3; index += 1) {
    await waitUntil(() => harness.requests.length === index + 1);
    respond(harness, index);
  }
  await waitUntil(() => client.received().match(/200 OK/g)?.length === 3);
  client.socket.destroy();
  t.pass();
});

for (const [name, bytes] of [
  ['invalid', 'invalid\r\n\r\n'],
  ['incomplete', 'GET /a/ HTTP/1.1\r\nHost: h\r\n'],
] as const) {
  test(`a running response is not cut by ${name} bytes behind its request`, async (t) => {
    const harness = await startIngress(t);
    harness.limits.headerTimeoutMs = 300;
    harness.limits.idleTimeoutMs = 200;
    await exchange(harness, connect(harness.port), 0);
    const client = connect(harness.port);
    client.socket.write(GET);
    await waitUntil(() => harness.requests.length === 2);
    const reply = harness.requests[1]?.reply as Reply;
    reply.begin(200, [], { kind: BodyFraming.Chunks });
    client.socket.write(bytes);
    await wait(1_500);
    reply.write(Buffer.from('answer'));
    reply.end();
    await client.closed;
    t.true(client.received().endsWith('0\r\n\r\n'));
    t.is(harness.requests.length, 2);
  });
}

for (const [name, bytes] of [
  ['invalid', 'invalid\r\n\r\n'],
  ['incomplete', 'GET /a/ HTTP/1.1\r\nHost: h\r\n'],
] as const) {
  test(`a caller that leaves after ${name} bytes behind its request is noticed`, async (t) => {
    const harness = await startIngress(t);
    const client = connect(harness.port);
    client.socket.write(GET);
    await waitUntil(() => harness.requests.length === 1);
    const reply = harness.requests[0]?.reply as Reply;
    reply.begin(200, [], { kind: BodyFraming.Chunks });
    let hasLeft = false;
    reply.onClose(() => (hasLeft = true));
    client.socket.write(bytes);
    await wait(100);
    t.false(hasLeft);
    client.socket.end();
    await waitUntil(() => hasLeft);
    t.true(hasLeft);
  });
}

for (const [status, bytes] of [
  [400, 'invalid\r\n\r\n'],
  [408, 'GET /a/ HTTP/1.1\r\nHost: h\r\n'],
  [408, `${POST}ab`],
  [431, `GET /a/ HTTP/1.1\r\nX-Long: ${'x'.repeat(70_000)}`],
] as const) {
  test(`${bytes.slice(0, 60)} alone on a connection is rejected with ${status}`, async (t) => {
    const harness = await startIngress(t);
    harness.limits.headerTimeoutMs = 300;
    harness.limits.idleTimeoutMs = 200;
    await exchange(harness, connect(harness.port), 0);
    const client = connect(harness.port);
    client.socket.write(bytes);
    await client.closed;
    t.regex(client.received(), new RegExp(`^HTTP/1\\.1 ${status} .*Connection: close\\r\\n`, 's'));
    t.is(harness.requests.length, 1);
  });
}

for (const [name, sent, waiting] of [
  ['head', GET.slice(0, 30), GET.slice(30)],
  ['body', POST + 'ab', 'cd'],
  ['head of an invalid request', 'GET /a/ HTTP/1.1\r\n', 'Host: h\r\n\r\n'],
] as const) {
  test.serial(
    `a ${name} that waits in its socket when its time ends gets one response`,
    async (t) => {
      const harness = await startIngress(t, undefined, respondAtOnce);
      harness.limits.headerTimeoutMs = 300;
      harness.limits.idleTimeoutMs = 600;
      const other = connect(harness.port);
      other.socket.write(GET);
      await waitUntil(() => other.received().endsWith('ok'));
      const client = connect(harness.port);
      client.socket.write(sent);
      await wait(100);
      client.socket.write(waiting);
      holdEventLoop(1_500);
      await wait(200);
      const statuses = client.received().match(/HTTP\/1\.1 \d+/g);
      t.deepEqual(statuses, [name.includes('invalid') ? 'HTTP/1.1 400' : 'HTTP/1.1 200']);
      for (const { socket } of [client, other]) socket.destroy();
    },
  );
}
