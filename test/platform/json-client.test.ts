/** Guards against repeated timeouts on idle connections that no longer respond. */
import { createServer } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import test from 'ava';
import { JsonClient } from '../../platform/json-client.js';

const RESPONSE_DELAY_MS = 20;
const TIMEOUT_MS = 400;
const POOLED_CONNECTIONS = 4;
const MAXIMUM_BYTES = 1_024;

test('after a timeout, the next request opens a new connection', async (t) => {
  const unresponsive = new Set<Socket>();
  const seen = new Set<Socket>();
  const server = createServer((request, response) => {
    seen.add(request.socket);
    if (!unresponsive.has(request.socket)) setTimeout(() => response.end('{}'), RESPONSE_DELAY_MS);
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as AddressInfo;
  const client = new JsonClient(`127.0.0.1:${port}`);
  t.teardown(() => {
    client.close();
    for (const socket of seen) socket.destroy();
    server.close();
  });
  const call = () =>
    client.call({
      method: 'GET',
      path: '/',
      timeoutMs: TIMEOUT_MS,
      maximumResponseBytes: MAXIMUM_BYTES,
    });
  await Promise.all(Array.from({ length: POOLED_CONNECTIONS }, call));
  for (const socket of seen) unresponsive.add(socket);
  await t.throwsAsync(call());
  const response = await call();
  t.is(response.status, 200);
});
