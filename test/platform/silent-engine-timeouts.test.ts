/** Guards against failovers of requests whose responses wait in the socket of a delayed router. */
import { connect } from 'node:net';
import type { ServerResponse } from 'node:http';
import test, { type ExecutionContext } from 'ava';
import { holdEventLoop } from '../helpers/event-loop.js';
import {
  type SocketRouter,
  startEngine,
  startRouter,
  waitUntil,
} from '../helpers/socket-router.js';

const OBJECTIVE_MS = 240;
/** Longer than a router waits for a response with this objective. */
const HELD_MS = 500;

interface Outcome {
  readonly router: SocketRouter;
  readonly received: string;
  /** Requests that engines have received. */
  readonly requests: number;
}

/** Sends a request whose response is in the router's socket while the router has no processor time. */
async function callDelayed(
  t: ExecutionContext,
  head: string,
  respond: (response: ServerResponse) => void,
): Promise<Outcome> {
  let requests = 0;
  const engine = (): Promise<string> =>
    startEngine(t, (_request, response) => {
      requests += 1;
      respond(response);
      if (requests === 1) holdEventLoop(HELD_MS);
    });
  const router = await startRouter(
    t,
    [await engine(), await engine()],
    {},
    undefined,
    OBJECTIVE_MS,
  );
  const socket = connect(router.port, '127.0.0.1');
  let received = '';
  let isClosed = false;
  socket.on('data', (chunk) => (received += chunk.toString('latin1')));
  socket.on('error', () => undefined);
  socket.on('close', () => (isClosed = true));
  socket.write(
    `${head}Host: host.example\r\nX-Peatspan-Attempt-Id: a\r\nApi-Key: key-1\r\n` +
      'Connection: close\r\nContent-Length: 0\r\n\r\n',
  );
  await waitUntil(() => isClosed);
  t.log(
    router.events
      .filter(({ event }) => /send|stalled/.test(event))
      .map(({ event, fields }) => `${event} ${JSON.stringify(fields)}`.slice(0, 160)),
  );
  return { router, received, requests };
}

function wasSentAgain({ router }: Outcome): boolean {
  return router.events.some(({ event }) => event === 'send_stalled' || event === 'send_failed');
}

test.serial('a response that a delayed router has not read is not asked for again', async (t) => {
  const outcome = await callDelayed(t, 'POST /plain/plain-safe/x HTTP/1.1\r\n', (response) => {
    response.setHeader('Content-Length', '2');
    response.end('ok');
  });
  t.regex(outcome.received, /^HTTP\/1\.1 200 .*ok$/s);
  t.false(wasSentAgain(outcome));
});

test.serial('a generation that a delayed router has not read does not run twice', async (t) => {
  const head =
    'POST /stream/stream-resumable/x HTTP/1.1\r\nX-Peatspan-Model: model\r\n' +
    'X-Peatspan-Token-Usage: 100,10\r\nX-Peatspan-Prompt-Prefix: aa:100\r\n';
  const outcome = await callDelayed(t, head, (response) => {
    response.setHeader('Content-Type', 'text/event-stream');
    response.write('id: 1\ndata: 1\n\n');
    response.end('id: 2\ndata: 2\n\n');
  });
  t.regex(outcome.received, /^HTTP\/1\.1 200 .*id: 2\n/s);
  t.is(outcome.requests, 1);
  t.false(wasSentAgain(outcome));
});
