/**
 * Guards against repeated timeouts on idle connections that no longer respond, and against bytes on
 * idle connections, which belong to no call.
 */
import { once } from 'node:events';
import { createServer } from 'node:http';
import { type AddressInfo, type Socket, createServer as createTcpServer } from 'node:net';
import { Worker } from 'node:worker_threads';
import test, { type ExecutionContext } from 'ava';
import { JsonClient } from '../../platform/json-client.js';
import { holdEventLoop, wait } from '../helpers/event-loop.js';
import { holdsWithin, writeWithoutEnd } from '../helpers/endless-peer.js';

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

/** Starts a server that answers each call with its number and then writes on unasked. */
async function startUnaskedWriter(
  t: ExecutionContext,
  writeUnasked: (socket: Socket) => void,
): Promise<{ client: JsonClient; sockets: Socket[] }> {
  const sockets: Socket[] = [];
  let calls = 0;
  const server = createTcpServer((socket) => {
    sockets.push(socket);
    socket.on('error', () => undefined);
    socket.on('data', () => {
      calls += 1;
      socket.write(`HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n${calls}`);
      setTimeout(() => writeUnasked(socket), RESPONSE_DELAY_MS);
    });
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as AddressInfo;
  const client = new JsonClient(`127.0.0.1:${port}`);
  t.teardown(() => {
    client.close();
    for (const socket of sockets) socket.destroy();
    server.close();
  });
  return { client, sockets };
}

const CALL = {
  method: 'GET',
  path: '/',
  timeoutMs: TIMEOUT_MS,
  maximumResponseBytes: MAXIMUM_BYTES,
};

test('an unasked response on an idle connection closes it', async (t) => {
  const { client, sockets } = await startUnaskedWriter(t, (socket) => {
    socket.write('HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\n"late"');
  });
  t.is((await client.call(CALL)).body, 1);
  t.true(await holdsWithin(() => sockets.every((socket) => socket.destroyed), TIMEOUT_MS));
  t.is((await client.call(CALL)).body, 2);
  t.is(sockets.length, 2);
});

test('bytes without end on an idle connection are not read', async (t) => {
  const { client, sockets } = await startUnaskedWriter(t, (socket) => {
    if (sockets.length === 1) writeWithoutEnd(socket, { start: '', repeated: 'x' });
  });
  t.is((await client.call(CALL)).body, 1);
  const isClosed = await holdsWithin(() => sockets.every((socket) => socket.destroyed), TIMEOUT_MS);
  t.log(`${sockets[0]?.bytesWritten ?? 0} bytes written`);
  t.true(isClosed);
  t.is((await client.call(CALL)).body, 2);
});

test.serial(
  'a response that waits in its socket while the router is delayed is no timeout',
  async (t) => {
    const server = new Worker(
      `const { parentPort, workerData } = require('node:worker_threads');
     const server = require('node:http').createServer((request, response) => {
       setTimeout(() => response.end('{}'), workerData.delayMs);
     });
     server.listen(0, '127.0.0.1', () => parentPort.postMessage(server.address().port));`,
      { eval: true, workerData: { delayMs: 4 * RESPONSE_DELAY_MS } },
    );
    t.teardown(() => server.terminate());
    const [port] = (await once(server, 'message')) as [number];
    const client = new JsonClient(`127.0.0.1:${port}`);
    t.teardown(() => client.close());
    const response = client.call({
      method: 'GET',
      path: '/',
      timeoutMs: TIMEOUT_MS,
      maximumResponseBytes: MAXIMUM_BYTES,
    });
    await wait(2 * RESPONSE_DELAY_MS);
    // Timers run after immediates, and before sockets are read again.
    await new Promise((resolve) => setImmediate(resolve));
    holdEventLoop(TIMEOUT_MS);
    t.is((await response).status, 200);
  },
);
