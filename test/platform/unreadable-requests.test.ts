/**
 * Guards against bytes of callers that end the router: a flipped bit in a request, and targets that
 * are no URL at the directory.
 */
import net, { type AddressInfo } from 'node:net';
import test, { type ExecutionContext } from 'ava';
import { startDirectoryServer, startReadinessServer } from '../../platform/auxiliary-servers.js';
import { withFlippedBits } from '../helpers/flipped-bits.js';
import { framedResponse, startScriptedEngine } from '../helpers/scripted-engine.js';
import { type SocketRouter, startRouter } from '../helpers/socket-router.js';

const SOUND_REQUEST =
  'POST /plain/plain-safe/x?y=1 HTTP/1.1\r\nHost: host.example\r\nX-Peatspan-Attempt-Id: a1\r\n' +
  'Api-Key: key-1\r\nX-Peatspan-Time-Budget-Ms: 900\r\nLast-Event-Id: 7\r\n' +
  'X-Peatspan-Model: m\r\nX-Peatspan-Prompt-Prefix: a1:9,b2:7\r\nX-Peatspan-Token-Usage: 16,4\r\n' +
  'Content-Length: 0\r\n\r\n';
const PARALLEL = 64;
/** Time after which a request that is not whole is given up. */
const EXCHANGE_TIMEOUT_MS = 150;

/** Sends bytes on a connection of its own; resolves with the bytes received until it is closed. */
function exchange(port: number, bytes: Buffer, timeoutMs: number): Promise<string> {
  return new Promise((resolve) => {
    let received = '';
    const socket = net.connect(port, '127.0.0.1', () => socket.write(bytes));
    const timer = setTimeout(() => socket.destroy(), timeoutMs);
    socket.on('data', (chunk) => {
      received += chunk.toString('latin1');
      if (received.includes('\r\n\r\n')) socket.destroy();
    });
    socket.on('error', () => undefined);
    socket.on('close', () => {
      clearTimeout(timer);
      resolve(received);
    });
  });
}

async function sendAll(port: number, requests: readonly Buffer[]): Promise<void> {
  const iterator = requests[Symbol.iterator]();
  const sendNext = async (): Promise<void> => {
    for (let next = iterator.next(); !next.done; next = iterator.next())
      await exchange(port, next.value, EXCHANGE_TIMEOUT_MS);
  };
  await Promise.all(Array.from({ length: PARALLEL }, sendNext));
}

async function startServed(t: ExecutionContext): Promise<SocketRouter> {
  const engine = await startScriptedEngine(t, (request) =>
    request.socket.write(framedResponse(request, 'length', 'ok', 'text/plain')),
  );
  return startRouter(t, [engine.address], {});
}

function statusOf(response: string): number {
  return Number(/^HTTP\/1\.1 (\d{3})/.exec(response)?.[1] ?? 0);
}

test('no flipped bit of a request ends the router', async (t) => {
  const { port } = await startServed(t);
  await sendAll(port, withFlippedBits(Buffer.from(SOUND_REQUEST, 'latin1')));
  const response = await exchange(port, Buffer.from(SOUND_REQUEST), 5_000);
  t.is(statusOf(response), 200);
});

test('targets that are no path, or hold control characters, end neither router nor directory', async (t) => {
  const { port, node } = await startServed(t);
  const directory = await startDirectoryServer('127.0.0.1:0', node);
  const readiness = await startReadinessServer('127.0.0.1:0', node);
  t.teardown(() => directory.close());
  t.teardown(() => readiness.close());
  const targets = [
    '//',
    '/\\[',
    '*',
    'http://',
    'http://[',
    '/a\tb',
    '/\f',
    '/%',
    '/\x80\xff',
    '?',
    '//[',
  ];
  const prefixed = targets.map((target) => `/plain/plain-safe/${target}`);
  const ports = [
    port,
    ...[directory, readiness].map((each) => (each.address() as AddressInfo).port),
  ];
  for (const each of ports) {
    for (const target of [...targets, ...prefixed]) {
      for (const method of ['GET', 'OPTIONS', 'CONNECT']) {
        const head = `${method} ${target} HTTP/1.1\r\nHost: host.example\r\n`;
        const rest = 'X-Peatspan-Attempt-Id: a1\r\nApi-Key: key-1\r\n\r\n';
        await exchange(each, Buffer.from(head + rest, 'latin1'), EXCHANGE_TIMEOUT_MS);
      }
    }
  }
  const response = await exchange(port, Buffer.from(SOUND_REQUEST), 5_000);
  t.is(statusOf(response), 200);
});

test('a target that is no URL gets 400 from the directory', async (t) => {
  const { node } = await startServed(t);
  const directory = await startDirectoryServer('127.0.0.1:0', node);
  t.teardown(() => directory.close());
  const { port } = directory.address() as AddressInfo;
  for (const target of ['//', '/\\[']) {
    const bytes = Buffer.from(`GET ${target} HTTP/1.1\r\nHost: d\r\n\r\n`);
    t.is(statusOf(await exchange(port, bytes, 5_000)), 400, target);
  }
});
