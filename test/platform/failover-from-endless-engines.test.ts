/**
 * Guards against a request whose engine writes bytes that are no response: another engine must
 * respond at once, and neither may count as crashed.
 */
import test from 'ava';
import { writeWithoutEnd } from '../helpers/endless-peer.js';
import {
  ResponseEnding,
  receive,
  respond,
  startScriptedEngine,
} from '../helpers/scripted-engine.js';
import { startRouter } from '../helpers/socket-router.js';

const PATH = '/plain/plain-safe/x';
const BODY = '{"booked":true}';
/** Well below the deadline of the route, 30 s. */
const MAXIMUM_TIME_MS = 5_000;
const CHUNKED =
  'HTTP/1.1 200 OK\r\nX-Peatspan-Attempt-Id: request-1\r\nX-Peatspan-Response-Seal: s\r\n' +
  'Content-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n';

const RESPONSES: Record<string, { start: string; repeated: string; kind: string }> = {
  'empty lines': { start: '', repeated: '\r\n', kind: 'unknown' },
  'interim responses': { start: '', repeated: 'HTTP/1.1 100 Continue\r\n\r\n', kind: 'unknown' },
  'a head': { start: 'HTTP/1.1 200 OK\r\n', repeated: 'A: b\r\n', kind: 'unknown' },
  'the size of a chunk': { start: `${CHUNKED}2\r\n{"\r\n`, repeated: '0', kind: 'cut' },
};

for (const [title, { start, repeated, kind }] of Object.entries(RESPONSES)) {
  test.serial(`another engine responds after one without end: ${title}`, async (t) => {
    let requests = 0;
    const startEngine = () =>
      startScriptedEngine(t, (request) => {
        requests += 1;
        if (requests === 1) writeWithoutEnd(request.socket, { start, repeated });
        else respond(request, 'length', BODY, 'application/json');
      });
    const engines = [await startEngine(), await startEngine()];
    const addresses = engines.map(({ address }) => address);
    const router = await startRouter(t, addresses, {});
    const startedMs = Date.now();
    const response = await receive(t, router.port, { id: 'request-1', path: PATH });
    const elapsedMs = Date.now() - startedMs;
    t.log(`${elapsedMs} ms`);
    t.is(response.body, BODY);
    t.is(response.ending, ResponseEnding.StatedComplete);
    t.true(elapsedMs < MAXIMUM_TIME_MS);
    t.is(requests, 2);
    const failures = router.events.filter(({ event }) => event === 'send_failed');
    t.deepEqual(
      failures.map(({ fields }) => fields['kind']),
      [kind],
    );
    t.false(router.events.some(({ event }) => event === 'engine_checked'));
  });
}
