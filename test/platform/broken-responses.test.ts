/** Guards against responses that an engine broke off and that reach their callers as complete. */
import test, { type ExecutionContext } from 'ava';
import {
  FRAMINGS,
  type ScriptedFraming,
  ResponseEnding,
  receive,
  respond,
  startScriptedEngine,
} from '../helpers/scripted-engine.js';
import { startRouter } from '../helpers/socket-router.js';

const ONCE_PATH = '/stream/stream-once/x';
const RESUMABLE_PATH = '/stream/stream-resumable/x';
const EVENTS = 5;
const BROKEN_EVENT = 3;

function eventsFrom(first: number, last = EVENTS): string {
  let text = '';
  for (let number = first; number <= last; number += 1) {
    text += `id: ${number}\ndata: ${number}\n\n`;
  }
  return text;
}

/** Events up to one that is broken off in its middle. */
const BROKEN_STREAM = `${eventsFrom(1, BROKEN_EVENT - 1)}id: ${BROKEN_EVENT}\nda`;

/** Engines that break off each new stream within an event, and continue streams to their end. */
async function startBreakingEngines(
  t: ExecutionContext,
  count: number,
  framing: ScriptedFraming,
): Promise<string[]> {
  const engines = Array.from({ length: count }, () =>
    startScriptedEngine(t, (request) => {
      const { lastEventId } = request;
      if (lastEventId === undefined) respond(request, framing, BROKEN_STREAM);
      else respond(request, 'chunks', eventsFrom(lastEventId + 1));
    }),
  );
  return (await Promise.all(engines)).map(({ address }) => address);
}

test('a stream that ends within an event does not reach its caller as complete', async (t) => {
  for (const framing of FRAMINGS) {
    const engines = await startBreakingEngines(t, 1, framing);
    const router = await startRouter(t, engines, {});
    for (const path of [ONCE_PATH, RESUMABLE_PATH]) {
      const response = await receive(t, router.port, { id: `${framing}${path}`, path });
      const isBrokenOff =
        response.ending === ResponseEnding.Incomplete || response.ending === ResponseEnding.Reset;
      t.true(isBrokenOff, `${path} by ${framing}: ${response.ending}`);
    }
  }
});

test('a stream that ends within an event goes on at another engine', async (t) => {
  for (const framing of FRAMINGS) {
    const engines = await startBreakingEngines(t, 2, framing);
    const router = await startRouter(t, engines, {});
    const path = RESUMABLE_PATH;
    const response = await receive(t, router.port, { id: `request-${framing}`, path });
    t.is(response.body, eventsFrom(1), framing);
    t.is(response.ending, ResponseEnding.StatedComplete, framing);
  }
});

test('a broken response without chunks, to a caller of HTTP/1.0, does not look complete', async (t) => {
  const engines = await startBreakingEngines(t, 1, 'chunks');
  const router = await startRouter(t, engines, {});
  for (const path of [ONCE_PATH, RESUMABLE_PATH]) {
    const request = { id: `request-${path}`, path, httpVersion: '1.0' } as const;
    const response = await receive(t, router.port, request);
    t.is(response.ending, ResponseEnding.Reset, path);
    t.is(response.status, 200);
  }
});
