/**
 * Guards against bodies that are read although the head of their request shows that it can't be
 * served: they take memory from others, and their clients wait for nothing.
 */
import net from 'node:net';
import test, { type ExecutionContext } from 'ava';
import {
  type SocketRouter,
  startEngine,
  startRouter,
  waitUntil,
} from '../helpers/socket-router.js';

const LONG_BODY_BYTES = 110_000;

/** A client that sends a head and reads. */
function sendHead(
  t: ExecutionContext,
  { port }: SocketRouter,
  path: string,
  key: string,
  framing: string,
): { socket: net.Socket; received: () => string; isClosed: () => boolean } {
  let text = '';
  let isClosed = false;
  const socket = net.connect(port, '127.0.0.1');
  t.teardown(() => socket.destroy());
  socket.on('data', (bytes) => (text += bytes.toString('latin1')));
  socket.on('error', () => undefined);
  socket.on('close', () => (isClosed = true));
  socket.write(
    `POST ${path} HTTP/1.1\r\nHost: host.example\r\nX-Peatspan-Attempt-Id: a\r\n` +
      `Api-Key: ${key}\r\n${framing}${framing.includes('\r\n\r\n') ? '' : '\r\n\r\n'}`,
  );
  return { socket, received: () => text, isClosed: () => isClosed };
}

async function startWithEngine(
  t: ExecutionContext,
): Promise<{ router: SocketRouter; runs: number[] }> {
  const runs: number[] = [];
  const engine = await startEngine(t, (request, response) => {
    let bytes = 0;
    request.on('data', (chunk: Buffer) => (bytes += chunk.length));
    request.on('end', () => {
      runs.push(bytes);
      response.end('done');
    });
  });
  return { router: await startRouter(t, [engine], {}), runs };
}

const PATH = '/plain/plain-safe/x';
const REFUSED = [
  { name: 'a key that nobody has', path: PATH, key: 'nobody', status: 401 },
  { name: 'a path without a route', path: '/unknown/x', key: 'key-1', status: 404 },
];
const FRAMINGS = [`Content-Length: ${LONG_BODY_BYTES}`, 'Transfer-Encoding: chunked'];

for (const { name, path, key, status } of REFUSED) {
  for (const framing of FRAMINGS) {
    test(`${name} is refused before the body is sent, with ${framing}`, async (t) => {
      const { router, runs } = await startWithEngine(t);
      const client = sendHead(t, router, path, key, framing);
      await waitUntil(() => client.received().includes('\r\n\r\n'));
      t.true(client.received().startsWith(`HTTP/1.1 ${status} `), client.received());
      t.true(client.received().includes('Connection: close'));
      await waitUntil(client.isClosed);
      t.deepEqual(runs, []);
    });

    test(`${name} is refused instead of asking for the body, with ${framing}`, async (t) => {
      const { router } = await startWithEngine(t);
      const client = sendHead(t, router, path, key, `Expect: 100-continue\r\n${framing}`);
      await waitUntil(() => client.received().includes('\r\n\r\n'));
      t.true(client.received().startsWith(`HTTP/1.1 ${status} `), client.received());
    });
  }

  test(`${name} with a short body is refused, and its connection stays open`, async (t) => {
    const { router } = await startWithEngine(t);
    const client = sendHead(t, router, path, key, 'Content-Length: 4\r\n\r\nbody');
    await waitUntil(() => client.received().includes('error'));
    t.true(client.received().startsWith(`HTTP/1.1 ${status} `), client.received());
    t.false(client.received().includes('Connection: close'));
    t.false(client.isClosed());
  });
}

test('a short body in chunks that is refused leaves its connection open', async (t) => {
  const { router } = await startWithEngine(t);
  const framing = 'Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n';
  const client = sendHead(t, router, PATH, 'nobody', framing);
  await waitUntil(() => client.received().includes('error'));
  t.false(client.received().includes('Connection: close'));
  t.false(client.isClosed());
});

test('a body that is asked for is sent and served', async (t) => {
  const { router, runs } = await startWithEngine(t);
  const framing = `Expect: 100-continue\r\nContent-Length: ${LONG_BODY_BYTES}`;
  const client = sendHead(t, router, PATH, 'key-1', framing);
  await waitUntil(() => client.received().includes('HTTP/1.1 100 Continue\r\n\r\n'));
  client.socket.write(Buffer.alloc(LONG_BODY_BYTES, 'x'));
  await waitUntil(() => client.received().includes('done'));
  t.true(client.received().includes('HTTP/1.1 200 OK'));
  t.deepEqual(runs, [LONG_BODY_BYTES]);
});
