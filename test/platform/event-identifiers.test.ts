/**
 * Guards against identifiers of events that can't be sent to another engine: stated in the request
 * that continues the stream, they would end the router, or let the stream begin anew.
 */
import test, { type ExecutionContext } from 'ava';
import {
  ResponseEnding,
  framedResponse,
  receive,
  respond,
  startScriptedEngine,
} from '../helpers/scripted-engine.js';
import { startRouter } from '../helpers/socket-router.js';

const PATH = '/stream/stream-resumable/x';
const LAST_EVENT = 3;

function event(id: string): string {
  return `id: ${id}\ndata: a\n\n`;
}

/** Starts an engine that breaks each new stream off, and continues streams to their end. */
async function startBreakingEngine(t: ExecutionContext, events: string): Promise<string> {
  const engine = await startScriptedEngine(t, (request) => {
    const { lastEventId, socket } = request;
    if (lastEventId === undefined) {
      socket.end(framedResponse(request, 'length', `${events}${'x'.repeat(99)}`).slice(0, -99));
      return;
    }
    const rest = Array.from({ length: LAST_EVENT - lastEventId }, (_, index) => index + 1);
    const body = rest.map((number) => event(String(lastEventId + number))).join('');
    respond(request, 'chunks', body);
  });
  return engine.address;
}

async function receiveFrom(
  t: ExecutionContext,
  events: string,
): Promise<{ ending: ResponseEnding; body: string }> {
  const engines = [await startBreakingEngine(t, events), await startBreakingEngine(t, events)];
  const router = await startRouter(t, engines, {});
  const { ending, body } = await receive(t, router.port, { id: 'request-1', path: PATH });
  // The router is still there.
  const next = await receive(t, router.port, { id: 'request-2', path: '/plain/none/x' });
  t.is(next.status, 404);
  return { ending, body };
}

test('a stream does not go on after an identifier that can not be sent', async (t) => {
  for (const id of ['2\u0011', '\u0000', 'a\u007f', '']) {
    const events = `${event('1')}${event(id)}`;
    const { ending, body } = await receiveFrom(t, events);
    t.is(ending, ResponseEnding.Incomplete, JSON.stringify(id));
    t.is(body, events, JSON.stringify(id));
  }
});

test('a stream does not begin anew after events without identifiers', async (t) => {
  const events = 'data: a\n\ndata: b\n\n';
  const { ending, body } = await receiveFrom(t, events);
  t.is(ending, ResponseEnding.Incomplete);
  t.is(body, events);
});

test('a stream goes on after the next identifier that can be sent', async (t) => {
  const events = `${event('1\u0011')}${event('2')}`;
  const { ending, body } = await receiveFrom(t, events);
  t.is(ending, ResponseEnding.StatedComplete);
  t.is(body, `${events}${event('3')}`);
});
