/** Calls over kept connections, some of which have gone silent. */
import { createServer } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import test from 'ava';
import { JsonCaller } from '../../platform/json-call.js';

const ANSWER_MS = 20;
const TIMEOUT_MS = 400;
const KEPT_CONNECTIONS = 4;

test('after a call on a connection that has gone silent the next one takes a new connection', async (t) => {
  const silent = new Set<Socket>();
  const seen = new Set<Socket>();
  const server = createServer((request, response) => {
    seen.add(request.socket);
    if (!silent.has(request.socket)) setTimeout(() => response.end('{}'), ANSWER_MS);
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as AddressInfo;
  const caller = new JsonCaller(`127.0.0.1:${port}`);
  t.teardown(() => {
    caller.close();
    for (const socket of seen) socket.destroy();
    server.close();
  });
  const call = () => caller.call({ method: 'GET', path: '/', timeoutMs: TIMEOUT_MS });
  await Promise.all(Array.from({ length: KEPT_CONNECTIONS }, call));
  for (const socket of seen) silent.add(socket);
  await t.throwsAsync(call());
  const answer = await call();
  t.is(answer.status, 200);
});
