/** Guards against wrong conversion, limits and connection handling of client requests. */
import test from 'ava';
import {
  MemoryBudget,
  type MemoryBudgetContext,
} from '../../src/coordination/gateway/memory-budget.js';
import { SystemClock } from '../../src/runtime/clock.js';
import { byteBudgetOf } from '../../src/state/routing/byte-budget.js';
import { BodyFraming } from '../../src/protocol/inference/port.js';
import type { InboundRequest, Reply } from '../../src/coordination/gateway/reply.js';
import { GET, connect, startIngress, waitUntil } from '../helpers/ingress-harness.js';

/** The end of a request's head, and its body. */
const BODY = '\r\nContent-Length: 4\r\n\r\nbody';

test('a request is converted to an inbound request', async (t) => {
  const harness = await startIngress(t);
  const client = connect(harness.port);
  client.socket.write(
    'POST /a/b?q=1 HTTP/1.1\r\nHost: H.example:80\r\nX-Peatspan-Attempt-Id: 7\r\n' +
      'Api-Key: secret\r\nX-Peatspan-Tenant: forged\r\nX-Peatspan-Cache-Salt: forged\r\n' +
      'X-Peatspan-Time-Budget-Ms: 900\r\nX-Peatspan-Model: m\r\nX-Peatspan-Token-Usage: 30,5\r\n' +
      'X-Peatspan-Prompt-Prefix: aa:10,bb:20\r\nLast-Event-Id: 4\r\nResumes: 6\r\nConnection: X-Hop\r\nX-Hop: 1\r\nX-Kept: 2\r\n' +
      'Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n',
  );
  await waitUntil(() => harness.requests.length === 1);
  const request = harness.requests[0]?.request as InboundRequest;
  t.is(request.target, '/a/b?q=1');
  t.is(request.path, '/a/b');
  t.is(request.host, 'h.example');
  t.is(request.apiKey, 'secret');
  t.is(request.budgetMs, 900);
  t.is(request.resumeAfter, '4');
  t.is(request.resumes, '6');
  t.is(Buffer.concat(request.body.pieces).toString(), 'abc');
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
  client.socket.destroy();
});

test('client values of router-only headers are dropped', async (t) => {
  const harness = await startIngress(t);
  const client = connect(harness.port);
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
  client.socket.write(GET.replace('\r\n\r\n', `\r\n${lines}\r\n`));
  await waitUntil(() => harness.requests.length === 1);
  const names = harness.requests[0]?.request.headers.map(([name]) => name.toLowerCase()) ?? [];
  for (const name of forged) t.false(names.includes(name.toLowerCase()), name);
  client.socket.destroy();
});

test('declared tokens are parsed, absent ones are undefined and invalid ones rejected', async (t) => {
  const harness = await startIngress(t);
  const client = connect(harness.port);
  client.socket.write(GET.replace('\r\n\r\n', '\r\nX-Peatspan-Token-Usage: 30, 5\r\n\r\n'));
  await waitUntil(() => harness.requests.length === 1);
  t.is(harness.requests[0]?.request.declaredTokens, 35);
  const undeclared = connect(harness.port);
  undeclared.socket.write(GET);
  await waitUntil(() => harness.requests.length === 2);
  t.is(harness.requests[1]?.request.declaredTokens, undefined);
  const unreadable = connect(harness.port);
  unreadable.socket.write(GET.replace('\r\n\r\n', '\r\nX-Peatspan-Token-Usage: 30,-5\r\n\r\n'));
  await waitUntil(() => unreadable.received().startsWith('HTTP/1.1 400'));
  t.true(unreadable.received().includes('bad-token-usage'));
  for (const { socket } of [client, undeclared, unreadable]) socket.destroy();
});

test('requests beyond the limits or without an attempt ID are rejected before they reach the router', async (t) => {
  const harness = await startIngress(t);
  const long = connect(harness.port);
  long.socket.write(
    'POST /a/ HTTP/1.1\r\nHost: h\r\nX-Peatspan-Attempt-Id: 1\r\nContent-Length: 5000\r\n\r\n',
  );
  await long.closed;
  t.true(long.received().startsWith('HTTP/1.1 413'));
  const unidentified = connect(harness.port);
  unidentified.socket.write('GET /a/ HTTP/1.1\r\nHost: h\r\n\r\n');
  await waitUntil(() => unidentified.received().startsWith('HTTP/1.1 400'));
  unidentified.socket.destroy();
  t.is(harness.requests.length, 0);
});

test('a client disconnect is reported', async (t) => {
  const harness = await startIngress(t);
  const client = connect(harness.port);
  client.socket.write(GET);
  await waitUntil(() => harness.requests.length === 1);
  let hasLeft = false;
  harness.requests[0]?.reply.onClose(() => (hasLeft = true));
  client.socket.destroy();
  await waitUntil(() => hasLeft);
  t.true(hasLeft);
});

test('a response that started before a stop closes its connection when it ends', async (t) => {
  const harness = await startIngress(t);
  const client = connect(harness.port);
  client.socket.write(GET);
  await waitUntil(() => harness.requests.length === 1);
  const reply = harness.requests[0]?.reply as Reply;
  reply.begin(200, [], { kind: BodyFraming.Chunks });
  harness.ingress.drain();
  harness.ingress.close();
  reply.write(Buffer.from('answer'));
  reply.end();
  await waitUntil(() => client.received().endsWith('0\r\n\r\n'));
  client.socket.write(GET);
  await client.closed;
  t.is(harness.requests.length, 1);
});

test('a response after a stop has Connection: close', async (t) => {
  const harness = await startIngress(t);
  const client = connect(harness.port);
  harness.ingress.drain();
  client.socket.write(GET);
  await waitUntil(() => harness.requests.length === 1);
  const reply = harness.requests[0]?.reply as Reply;
  reply.begin(200, [], { kind: BodyFraming.Length, bytes: 2 });
  reply.write(Buffer.from('ok'));
  reply.end();
  await client.closed;
  t.regex(client.received(), /Connection: close/);
});

test('an aborted response is recognizable as incomplete', async (t) => {
  const harness = await startIngress(t);
  const client = connect(harness.port);
  client.socket.write(GET);
  await waitUntil(() => harness.requests.length === 1);
  const reply = harness.requests[0]?.reply as Reply;
  reply.begin(200, [], { kind: BodyFraming.Chunks });
  reply.write(Buffer.from('part'));
  await waitUntil(() => client.received().includes('part'));
  reply.abort();
  await client.closed;
  t.false(client.received().endsWith('0\r\n\r\n'));
});

test('a pipelined request is not handled, and its body released, when its connection closes before its turn', async (t) => {
  const context = { clock: new SystemClock() } as unknown as MemoryBudgetContext;
  const memory = new MemoryBudget(byteBudgetOf(1_000_000), context);
  const harness = await startIngress(t, memory);
  const client = connect(harness.port);
  client.socket.write(GET + GET.replace('GET', 'POST').replace('\r\n\r\n', BODY));
  await waitUntil(() => memory.heldBytes > 0);
  client.socket.destroy();
  await waitUntil(() => memory.heldBytes === 0);
  t.is(harness.requests.length, 1);
});
