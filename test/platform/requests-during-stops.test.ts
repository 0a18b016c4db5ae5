/** Guards against requests that a stopping router begins late, or cuts, because something held them up. */
import type { ServerResponse } from 'node:http';
import test from 'ava';
import { Caller, type Respond, StoppableRouter } from '../helpers/stoppable-router.js';
import { waitUntil } from '../helpers/socket-router.js';

const EVENT_GAP_MS = 50;

/** Sends a stream that lasts for the time. */
function streamFor(response: ServerResponse, durationMs: number): void {
  response.setHeader('Content-Type', 'text/event-stream');
  const events = durationMs / EVENT_GAP_MS;
  let event = 0;
  const timer = setInterval(() => {
    event += 1;
    response.write(`id: ${event}\ndata: ${event}\n\n`);
    if (event >= events) {
      clearInterval(timer);
      response.end();
    }
  }, EVENT_GAP_MS);
  response.on('close', () => clearInterval(timer));
}

const LAST_CHUNK = '0\r\n\r\n';
const REJECTED = /HTTP\/1\.1 503 .*Retry-After.*"stopping"\}$/s;
const WHOLE = /HTTP\/1\.1 200 .*0\r\n\r\n$/s;

// Guards against a stream that is begun when the response before it ends, and cut at the end of the stop.
test('a request behind a long response on its connection is rejected if it can not end in time', async (t) => {
  const stopping = await StoppableRouter.start(t, [
    (_request, response) => streamFor(response, 2_500),
  ]);
  const caller = new Caller(t, stopping.router);
  caller.send('first');
  caller.send('second');
  await waitUntil(() => caller.received.includes('id: 1\n'));
  stopping.stop();
  await waitUntil(() => caller.isClosed);
  const [first, second] = caller.received.split(LAST_CHUNK);
  t.regex(`${first}${LAST_CHUNK}`, WHOLE);
  t.regex(second ?? '', REJECTED);
  t.deepEqual(stopping.sends, ['first']);
});

// Guards against a stream that waits for another engine, is begun late, and is cut.
test('a request whose engines reject it late in a stop is rejected', async (t) => {
  const REJECTED_MS = 3_300;
  const refuse: Respond = (_request, response) => {
    void stopping.until(REJECTED_MS).then(() => {
      response.setHeader('X-Peatspan-Not-Executed', '1');
      response.statusCode = 503;
      response.end();
    });
  };
  const stopping = await StoppableRouter.start(t, [refuse, refuse]);
  const caller = new Caller(t, stopping.router);
  stopping.stop();
  caller.send('a');
  await waitUntil(() => caller.isClosed);
  t.regex(caller.received, /HTTP\/1\.1 503 .*Retry-After/s);
});

// Guards against a connection that closes without a response.
test('a response whose first event does not come before the end is an error', async (t) => {
  const stopping = await StoppableRouter.start(t, [() => undefined]);
  const caller = new Caller(t, stopping.router);
  stopping.stop();
  caller.send('a');
  await waitUntil(() => caller.isClosed);
  t.regex(caller.received, /^HTTP\/1\.1 502 .*"\}$/s);
});

// Guards against rejections of what can be served.
test('a stream whose body arrives slowly in a stop and that can end in time is served', async (t) => {
  const FIRST_CHUNK_MS = 500;
  const CHUNK_GAP_MS = 150;
  const CHUNKS = 10;
  const stopping = await StoppableRouter.start(t, [
    (_request, response) => streamFor(response, 1_500),
  ]);
  const caller = new Caller(t, stopping.router);
  stopping.stop();
  await stopping.until(FIRST_CHUNK_MS);
  caller.send('a', true);
  for (let chunk = 0; chunk < CHUNKS; chunk += 1) {
    caller.sendChunk('x'.repeat(1_000));
    await stopping.until(FIRST_CHUNK_MS + (chunk + 1) * CHUNK_GAP_MS);
  }
  caller.socket.write(LAST_CHUNK);
  await waitUntil(() => caller.isClosed);
  t.regex(caller.received, WHOLE);
});

// Guards against a connection that closes although its request has arrived completely.
test('a body that ends between the last check and the exit is answered with a rejection', async (t) => {
  const stopping = await StoppableRouter.start(t, [
    (_request, response) => streamFor(response, 1_500),
  ]);
  const caller = new Caller(t, stopping.router);
  stopping.stop();
  await stopping.until(500);
  caller.send('a', true);
  caller.sendChunk('x');
  await waitUntil(() => stopping.router.events.some(({ event }) => event === 'stopped'));
  caller.socket.write(LAST_CHUNK);
  await waitUntil(() => caller.isClosed);
  t.regex(caller.received, REJECTED);
  t.deepEqual(stopping.sends, []);
});

// Guards against rejections of short responses because the objective of their route is long.
test('a short response on a route with a long objective is served', async (t) => {
  const LONG_OBJECTIVE_MS = 8_000;
  const stopping = await StoppableRouter.start(
    t,
    [(_request, response) => streamFor(response, 500)],
    LONG_OBJECTIVE_MS,
  );
  const earlier = new Caller(t, stopping.router);
  earlier.send('earlier');
  await waitUntil(() => WHOLE.test(earlier.received));
  const caller = new Caller(t, stopping.router);
  stopping.stop();
  caller.send('a');
  await waitUntil(() => caller.isClosed);
  t.regex(caller.received, WHOLE);
});
