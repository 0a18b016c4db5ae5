/** Guards against rejections by a delayed router whose connections to engines have opened in time. */
import { once } from 'node:events';
import { connect } from 'node:net';
import { Worker } from 'node:worker_threads';
import test from 'ava';
import { EngineClient } from '../../platform/engine-client.js';
import type { ExchangeFailure } from '../../src/protocol/inference/port.js';
import { holdEventLoop, wait } from '../helpers/event-loop.js';
import { REQUEST, SEND_OPTIONS } from '../helpers/exchange-fixtures.js';
import { startEngine, startRouter, waitUntil } from '../helpers/socket-router.js';

/** Longer than a router waits for a connection. */
const HELD_MS = 500;
/** More connections than the kernel accepts for an engine that accepts none. */
const CONNECTIONS = 4;

/** Delays the router whenever it has begun to open a connection. */
class DelayedClient extends EngineClient {
  override send(...parts: Parameters<EngineClient['send']>): ReturnType<EngineClient['send']> {
    const exchange = super.send(...parts);
    setImmediate(() => holdEventLoop(HELD_MS));
    return exchange;
  }
}

test.serial('a delay of the router is not taken for engines that can not be reached', async (t) => {
  const engine = await startEngine(t, (_request, response) => response.end('ok'));
  const router = await startRouter(t, [engine], {}, new DelayedClient());
  const socket = connect(router.port, '127.0.0.1');
  let text = '';
  let isClosed = false;
  socket.on('data', (chunk) => (text += chunk.toString('latin1')));
  socket.on('close', () => (isClosed = true));
  socket.write(
    'POST /plain/plain-unsafe/x HTTP/1.1\r\nHost: host.example\r\nX-Peatspan-Attempt-Id: a\r\n' +
      'Api-Key: key-1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n',
  );
  await waitUntil(() => isClosed);
  t.log(
    router.events
      .filter(({ event }) => /^(request|send|engine)/.test(event))
      .map((e) => JSON.stringify(e).slice(0, 200)),
  );
  t.regex(text, /^HTTP\/1\.1 200 /);
  t.false(router.events.some(({ event }) => event === 'send_failed'));
});

// Guards against requests that wait until their deadline for an engine whose machine does not respond.
test.serial('a connection that does not open ends its send as not sent', async (t) => {
  const engine = new Worker(
    `const { parentPort } = require('node:worker_threads');
     const server = require('node:net').createServer();
     server.listen({ port: 0, host: '127.0.0.1', backlog: 1 }, () => {
       parentPort.postMessage(server.address().port);
       Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0);
     });`,
    { eval: true },
  );
  t.teardown(() => engine.terminate());
  const [port] = (await once(engine, 'message')) as [number];
  for (let count = 0; count < CONNECTIONS; count += 1) {
    const socket = connect(port, '127.0.0.1').on('error', () => undefined);
    t.teardown(() => socket.destroy());
  }
  await wait(HELD_MS / 5);
  const client = new EngineClient();
  const failure = await new Promise<ExchangeFailure>((resolve) => {
    client.send(
      { id: 'engine-1', name: 'engine-1', address: `127.0.0.1:${port}` },
      REQUEST,
      SEND_OPTIONS,
      {
        onNotice: () => undefined,
        onHead: () => undefined,
        onChunk: () => undefined,
        onEnd: () => undefined,
        onFailure: resolve,
      },
    );
  });
  const { kind, reason } = failure;
  t.deepEqual({ kind, reason }, { kind: 'not-sent', reason: 'connect timeout' });
});
