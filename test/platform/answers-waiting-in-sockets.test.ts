/** Guards against timeouts of requests whose responses wait in the socket of a delayed router. */
import { connect } from 'node:net';
import test from 'ava';
import { holdEventLoop } from '../helpers/event-loop.js';
import { startEngine, startRouter, waitUntil } from '../helpers/socket-router.js';

const BUDGET_MS = 400;
const EVENT = 'id: 1\ndata: ok\n\n';

function ask(
  port: number,
  path: string,
  budgetMs: number,
): { text: () => string; closed: () => boolean } {
  const socket = connect(port, '127.0.0.1');
  let text = '';
  let isClosed = false;
  socket.on('data', (chunk) => (text += chunk.toString('latin1')));
  socket.on('error', () => undefined);
  socket.on('close', () => (isClosed = true));
  socket.write(
    `POST ${path} HTTP/1.1\r\nHost: host.example\r\nX-Peatspan-Attempt-Id: a\r\nApi-Key: key-1\r\n` +
      `Connection: close\r\nX-Peatspan-Time-Budget-Ms: ${budgetMs}\r\nContent-Length: 0\r\n\r\n`,
  );
  return { text: () => text, closed: () => isClosed };
}

// Guards against answers that are lost because the timer of the deadline runs before the socket is read.
test.serial(
  'a response that arrived before the deadline is delivered by a router that was delayed',
  async (t) => {
    const engine = await startEngine(t, (_request, response) => {
      response.setHeader('Content-Length', EVENT.length);
      response.end(EVENT);
      // The response is in the router's socket, and the router has no processor time.
      holdEventLoop(BUDGET_MS + 100);
    });
    const router = await startRouter(t, [engine], {});
    const caller = ask(router.port, '/stream/stream-once/x', BUDGET_MS);
    await waitUntil(caller.closed);
    t.regex(caller.text(), /^HTTP\/1\.1 200 /);
    t.true(caller.text().endsWith(`\r\n\r\n${EVENT}`));
  },
);
