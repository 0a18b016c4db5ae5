/**
 * Guards against an engine's status line that is no response: passed on, a status below 100 would end
 * the router and with it the requests at all other engines.
 */
import net from 'node:net';
import test, { type ExecutionContext } from 'ava';
import { EngineClient } from '../../platform/engine-client.js';
import type { ExchangeFailure } from '../../src/protocol/inference/port.js';
import { REQUEST, RESPONSE_HEAD, SEND_OPTIONS } from '../helpers/exchange-fixtures.js';
import {
  type ScriptedEngine,
  ResponseEnding,
  framedResponse,
  receive,
  startScriptedEngine,
} from '../helpers/scripted-engine.js';
import { startRouter } from '../helpers/socket-router.js';

const SAFE_PATH = '/plain/plain-safe/x';
const ONCE_PATH = '/plain/plain-unsafe/x';
const STREAM_PATH = '/stream/stream-resumable/x';
const EVENTS = 'id: 1\ndata: a\n\nid: 2\ndata: b\n\n';
const UNUSABLE_STATUSES = ['000', '099', '100', '199', '600', '999'];

/** Starts an engine that answers the first request with the status, and all others with 200. */
function startEngine(t: ExecutionContext, status: string): Promise<ScriptedEngine> {
  let isFirst = true;
  return startScriptedEngine(t, (request) => {
    const response = framedResponse(request, 'length', EVENTS);
    request.socket.write(isFirst ? response.replace('200 OK', `${status} OK`) : response);
    isFirst = false;
  });
}

test('a response with status 000 ends neither the router nor other requests', async (t) => {
  for (const path of [ONCE_PATH, SAFE_PATH, STREAM_PATH]) {
    const { address } = await startEngine(t, '000');
    const router = await startRouter(t, [address], {});
    const first = await receive(t, router.port, { id: `first-${path}`, path });
    t.deepEqual([first.status, first.ending], [502, ResponseEnding.StatedComplete], path);
    const second = await receive(t, router.port, { id: `second-${path}`, path });
    t.is(second.status, 200, path);
  }
});

test('a request that may be repeated goes to another engine after a response with status 000', async (t) => {
  const engines = [await startEngine(t, '000'), await startEngine(t, '200')];
  const addresses = engines.map(({ address }) => address);
  const router = await startRouter(t, addresses, {});
  for (const id of ['request-1', 'request-2', 'request-3']) {
    const response = await receive(t, router.port, { id, path: SAFE_PATH });
    t.is(response.status, 200, id);
  }
});

/** The failure of an exchange whose engine answers with the bytes. */
async function failureOf(t: ExecutionContext, bytes: string): Promise<ExchangeFailure | undefined> {
  const server = net.createServer((socket) => {
    socket.on('error', () => undefined);
    socket.once('data', () => socket.end(bytes));
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  t.teardown(() => server.close());
  const { port } = server.address() as net.AddressInfo;
  const endpoint = { id: 'engine-1', name: 'engine-1', address: `127.0.0.1:${port}` };
  return new Promise((resolve) => {
    new EngineClient().send(endpoint, REQUEST, SEND_OPTIONS, {
      onNotice: () => undefined,
      onHead: () => undefined,
      onChunk: () => undefined,
      onEnd: () => resolve(undefined),
      onFailure: resolve,
    });
  });
}

test('a status that is none of a final response leaves it unknown whether the request ran', async (t) => {
  for (const status of UNUSABLE_STATUSES) {
    const head = RESPONSE_HEAD.replace('200', status);
    const failure = await failureOf(t, `${head}Content-Length: 0\r\n\r\n`);
    t.is(failure?.kind, 'unknown', status);
  }
});

test('a rejection whose status is none does not prove that the request did not run', async (t) => {
  const head = `${RESPONSE_HEAD.replace('200 OK', '003 Busy')}X-Peatspan-Not-Executed: 1\r\n`;
  const failure = await failureOf(t, `${head}Content-Length: 0\r\n\r\n`);
  t.is(failure?.kind, 'unknown');
});

test('each status of a final response is passed on', async (t) => {
  for (const status of ['200', '299', '404', '500', '599']) {
    const head = RESPONSE_HEAD.replace('200', status);
    t.is(await failureOf(t, `${head}Content-Length: 0\r\n\r\n`), undefined, status);
  }
});
