/** The callers' door over real connections on loopback. */
import net from 'node:net';
import test, { type ExecutionContext } from 'ava';
import { Ingress } from '../../platform/ingress.js';
import type { GatewayNode } from '../../src/coordination/gateway/gateway-node.js';
import type { InboundRequest, Reply } from '../../src/coordination/gateway/reply.js';
import { SystemClock } from '../../src/runtime/clock.js';

const GET = 'GET /a/ HTTP/1.1\r\nHost: h.example:80\r\nX-Peatspan-Attempt-Id: 1\r\n\r\n';

interface Door {
  readonly ingress: Ingress;
  readonly port: number;
  readonly requests: { request: InboundRequest; reply: Reply }[];
}

/** A door before a node that only notes what comes in. */
async function openDoor(t: ExecutionContext): Promise<Door> {
  const requests: Door['requests'] = [];
  const node = {
    limits: {
      maximumHeaderBytes: 2_000,
      maximumBodyBytes: 100,
      headerTimeoutMs: 5_000,
      idleTimeoutMs: 600_000,
    },
    handle: (request: InboundRequest, reply: Reply) => requests.push({ request, reply }),
  } as unknown as GatewayNode;
  const ingress = new Ingress(node, new SystemClock());
  const port = await ingress.listen('127.0.0.1:0');
  t.teardown(() => ingress.close());
  return { ingress, port, requests };
}

interface Caller {
  readonly socket: net.Socket;
  readonly received: () => string;
  readonly closed: Promise<void>;
}

function connect(port: number): Caller {
  const socket = net.connect(port, '127.0.0.1');
  let text = '';
  socket.on('data', (chunk) => (text += chunk.toString('latin1')));
  socket.on('error', () => undefined);
  const closed = new Promise<void>((resolve) => socket.on('close', () => resolve()));
  return { socket, received: () => text, closed };
}

async function until(condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise((resolve) => setTimeout(resolve, 5));
}

test('a request is handed on in the words of the product', async (t) => {
  const door = await openDoor(t);
  const caller = connect(door.port);
  caller.socket.write(
    'POST /a/b?q=1 HTTP/1.1\r\nHost: H.example:80\r\nX-Peatspan-Attempt-Id: 7\r\n' +
      'Api-Key: secret\r\nX-Peatspan-Tenant: forged\r\nX-Peatspan-Cache-Salt: forged\r\n' +
      'X-Peatspan-Time-Budget-Ms: 900\r\nX-Peatspan-Model: m\r\nX-Peatspan-Token-Usage: 30,5\r\n' +
      'X-Peatspan-Prompt-Prefix: aa:10,bb:20\r\nConnection: X-Hop\r\nX-Hop: 1\r\nX-Kept: 2\r\n' +
      'Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n',
  );
  await until(() => door.requests.length === 1);
  const request = door.requests[0]?.request as InboundRequest;
  t.is(request.target, '/a/b?q=1');
  t.is(request.path, '/a/b');
  t.is(request.host, 'h.example');
  t.is(request.apiKey, 'secret');
  t.is(request.budgetMs, 900);
  t.is(Buffer.from(request.body).toString(), 'abc');
  t.deepEqual(request.generation?.parts, [
    { id: 'aa', tokens: 10 },
    { id: 'bb', tokens: 20 },
  ]);
  const names = request.headers.map(([name]) => name.toLowerCase());
  t.true(names.includes('x-kept'));
  t.true(names.includes('x-peatspan-attempt-id'));
  for (const name of ['api-key', 'x-peatspan-tenant', 'x-peatspan-cache-salt', 'x-hop', 'host']) {
    t.false(names.includes(name), name);
  }
  caller.socket.destroy();
});

test('headers that only this system sets are not passed on', async (t) => {
  const door = await openDoor(t);
  const caller = connect(door.port);
  const forged = [
    'X-Peatspan-Hold',
    'X-Peatspan-Pin-Ms',
    'X-Peatspan-Kv-Backup',
    'X-Peatspan-Kv-Fetch-From',
    'X-Peatspan-Kv-Save-To',
    'Kv-From',
    'X-Peatspan-Request-Urgency',
    'X-Peatspan-Expect-Version',
  ];
  const lines = forged.map((name) => `${name}: 1\r\n`).join('');
  caller.socket.write(GET.replace('\r\n\r\n', `\r\n${lines}\r\n`));
  await until(() => door.requests.length === 1);
  const names = door.requests[0]?.request.headers.map(([name]) => name.toLowerCase()) ?? [];
  for (const name of forged) t.false(names.includes(name.toLowerCase()), name);
  caller.socket.destroy();
});

test('a request declares its tokens, or says nothing of them', async (t) => {
  const door = await openDoor(t);
  const caller = connect(door.port);
  caller.socket.write(GET.replace('\r\n\r\n', '\r\nX-Peatspan-Token-Usage: 30, 5\r\n\r\n'));
  await until(() => door.requests.length === 1);
  t.is(door.requests[0]?.request.declaredTokens, 35);
  const silent = connect(door.port);
  silent.socket.write(GET);
  await until(() => door.requests.length === 2);
  t.is(door.requests[1]?.request.declaredTokens, undefined);
  const unreadable = connect(door.port);
  unreadable.socket.write(GET.replace('\r\n\r\n', '\r\nX-Peatspan-Token-Usage: 30,-5\r\n\r\n'));
  await until(() => unreadable.received().startsWith('HTTP/1.1 400'));
  t.true(unreadable.received().includes('bad-token-usage'));
  for (const { socket } of [caller, silent, unreadable]) socket.destroy();
});

test('bounds of the configuration end a request before it is handed on', async (t) => {
  const door = await openDoor(t);
  const long = connect(door.port);
  long.socket.write(
    'POST /a/ HTTP/1.1\r\nHost: h\r\nX-Peatspan-Attempt-Id: 1\r\nContent-Length: 5000\r\n\r\n',
  );
  await long.closed;
  t.true(long.received().startsWith('HTTP/1.1 413'));
  const nameless = connect(door.port);
  nameless.socket.write('GET /a/ HTTP/1.1\r\nHost: h\r\n\r\n');
  await until(() => nameless.received().startsWith('HTTP/1.1 400'));
  nameless.socket.destroy();
  t.is(door.requests.length, 0);
});

test('a caller that leaves is noticed', async (t) => {
  const door = await openDoor(t);
  const caller = connect(door.port);
  caller.socket.write(GET);
  await until(() => door.requests.length === 1);
  let hasLeft = false;
  door.requests[0]?.reply.onClose(() => (hasLeft = true));
  caller.socket.destroy();
  await until(() => hasLeft);
  t.true(hasLeft);
});

test('an answer that began before a stop ends its connection after the door has closed', async (t) => {
  const door = await openDoor(t);
  const caller = connect(door.port);
  caller.socket.write(GET);
  await until(() => door.requests.length === 1);
  const reply = door.requests[0]?.reply as Reply;
  reply.begin(200, [], undefined);
  door.ingress.leave();
  door.ingress.close();
  reply.write(Buffer.from('answer'));
  reply.end();
  await until(() => caller.received().endsWith('0\r\n\r\n'));
  caller.socket.write(GET);
  await caller.closed;
  t.is(door.requests.length, 1);
});

test('an answer after a stop began says that its connection ends', async (t) => {
  const door = await openDoor(t);
  const caller = connect(door.port);
  door.ingress.leave();
  caller.socket.write(GET);
  await until(() => door.requests.length === 1);
  const reply = door.requests[0]?.reply as Reply;
  reply.begin(200, [], 2);
  reply.write(Buffer.from('ok'));
  reply.end();
  await caller.closed;
  t.regex(caller.received(), /Connection: close/);
});

test('an answer that is aborted does not look whole', async (t) => {
  const door = await openDoor(t);
  const caller = connect(door.port);
  caller.socket.write(GET);
  await until(() => door.requests.length === 1);
  const reply = door.requests[0]?.reply as Reply;
  reply.begin(200, [], undefined);
  reply.write(Buffer.from('part'));
  await until(() => caller.received().includes('part'));
  reply.abort();
  await caller.closed;
  t.false(caller.received().endsWith('0\r\n\r\n'));
});
