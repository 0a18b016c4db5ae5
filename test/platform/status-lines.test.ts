/**
 * Guards against status lines that are no response, wherever an engine or the store may send one:
 * over a forwarder, behind an interim response, as a stream is continued, and in a control response.
 */
import net from 'node:net';
import test, { type ExecutionContext } from 'ava';
import { EngineClient } from '../../platform/engine-client.js';
import { JsonClient } from '../../platform/json-client.js';
import { ObjectStoreClient } from '../../platform/object-store-client.js';
import type { ExchangeFailure } from '../../src/protocol/inference/port.js';
import { ListFreshness } from '../../src/protocol/object-store/port.js';
import { ForwardingDecision } from '../../src/protocol/peer/forwarding-port.js';
import { TcpForwarding } from '../../src/protocol/peer/forwarding-server.js';
import { MAXIMUM_ATTEMPTS, startAttempts } from '../helpers/attempt-deployment.js';
import { REQUEST, RESPONSE_HEAD, SEND_OPTIONS } from '../helpers/exchange-fixtures.js';
import { waitUntil } from '../helpers/socket-router.js';
import { ResponseEnding, framedResponse, receive } from '../helpers/scripted-engine.js';

const NOT_STATUSES = ['000', '099', '0', '00', '1000', '2000', '20', 'abc', '-20', '600', '999'];
const INTERIM = 'HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n';
const EVENTS = 'id: 1\ndata: a\n\nid: 2\ndata: b\n\n';

/** A server that answers whatever arrives with the bytes and closes. */
async function startServer(t: ExecutionContext, bytes: string): Promise<string> {
  const server = net.createServer((socket) => {
    socket.on('error', () => undefined);
    socket.once('data', () => socket.end(bytes));
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  t.teardown(() => server.close());
  return `127.0.0.1:${(server.address() as net.AddressInfo).port}`;
}

/** Resolves with the failure of one exchange; undefined if it was a response. */
function exchange(address: string, forwarder?: string): Promise<ExchangeFailure | undefined> {
  const endpoint = { id: 'engine-1', name: 'engine-1', address };
  const route = forwarder === undefined ? undefined : { address: forwarder };
  const options = {
    ...SEND_OPTIONS,
    forwarder: route && { ...route, keepsDirectConnections: false },
  };
  const client = new EngineClient();
  return new Promise<ExchangeFailure | undefined>((resolve) => {
    client.send(endpoint, REQUEST, options, {
      onNotice: () => undefined,
      onHead: () => undefined,
      onChunk: () => undefined,
      onEnd: () => resolve(undefined),
      onFailure: resolve,
    });
  }).finally(() => client.retain(new Set()));
}

for (const prefix of ['', INTERIM]) {
  const where = prefix === '' ? 'alone' : 'behind an interim response';
  test(`a status that is none, ${where}, is no response and proves nothing`, async (t) => {
    for (const status of NOT_STATUSES) {
      const head = `${prefix}${RESPONSE_HEAD.replace('200', status)}`;
      const address = await startServer(
        t,
        `${head}X-Peatspan-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n`,
      );
      const failure = await exchange(address);
      t.is(failure?.kind, 'unknown', status);
    }
  });
}

test('a status that is none is no response over a forwarder either', async (t) => {
  const listener = await new TcpForwarding().listen('127.0.0.1:0', {
    decide: () => ForwardingDecision.Accepted,
    onConnected: () => undefined,
  });
  t.teardown(() => listener.close());
  const head = RESPONSE_HEAD;
  const sound = await startServer(t, `${head}Content-Length: 0\r\n\r\n`);
  t.is(await exchange(sound, listener.address), undefined);
  for (const status of NOT_STATUSES) {
    const bytes = `${head.replace('200', status)}Content-Length: 0\r\n\r\n`;
    const failure = await exchange(await startServer(t, bytes), listener.address);
    t.is(failure?.kind, 'unknown', status);
  }
  await waitUntil(() => listener.openConnections === 0);
});

test('a stream is not continued by a response with a status that is none', async (t) => {
  for (const status of ['000', '0', '1000']) {
    const { router, requests } = await startAttempts(t, (request, attempt) => {
      const response = framedResponse(request, 'chunks', EVENTS);
      if (attempt === 1) {
        const cut = response.indexOf('id: 2');
        request.socket.write(response.slice(0, cut), () => request.socket.resetAndDestroy());
      } else if (attempt < MAXIMUM_ATTEMPTS) {
        request.socket.end(response.replace('200 OK', `${status} OK`));
      } else request.socket.destroy();
    });
    const caller = { id: `stream-${status}`, path: '/stream/stream-resumable/x' };
    const response = await receive(t, router.port, caller);
    t.is(response.status, 200, status);
    t.not(response.ending, ResponseEnding.StatedComplete, status);
    t.false(response.body.includes('id: 2'), status);
    t.true(requests.length >= 2, status);
  }
});

test('a control response or one of the store with a status that is none is none', async (t) => {
  for (const status of NOT_STATUSES) {
    const body = '{"items":[],"more":false,"at":5}';
    const bytes = `HTTP/1.1 ${status} OK\r\nContent-Length: ${body.length}\r\n\r\n${body}`;
    const address = await startServer(t, bytes);
    const call = { method: 'GET', path: '/x', timeoutMs: 1_000, maximumResponseBytes: 10_000 };
    const client = new JsonClient(address);
    const store = new ObjectStoreClient(address);
    t.teardown(() => client.close());
    const outcome = await client.call(call).then(
      (response) => response.status,
      () => 'failed',
    );
    t.true(outcome === 'failed' || Number(status) === outcome, `${status}: ${outcome}`);
    await t.throwsAsync(store.list('servers', ListFreshness.Current), undefined, status);
  }
});
