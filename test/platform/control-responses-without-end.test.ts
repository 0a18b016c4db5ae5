/**
 * Guards against control calls that read a response without end until their timeout: one engine or
 * store could fill the memory of a router.
 */
import test from 'ava';
import { JsonClient } from '../../platform/json-client.js';
import {
  type EndlessResponse,
  holdsWithin,
  peakBufferGrowth,
  startEndlessPeer,
} from '../helpers/endless-peer.js';

const TIMEOUT_MS = 2_000;
const MAXIMUM_BYTES = 262_144;
const CLOSE_TIMEOUT_MS = 500;
/** The limit, the buffers of the sockets, and what was read and is not collected yet. */
const MAXIMUM_GROWTH_BYTES = 64 * MAXIMUM_BYTES;
/** The limit, and what the kernel buffers on both sides of a connection. */
const MAXIMUM_SENT_BYTES = 64 * MAXIMUM_BYTES;

const HEAD = 'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n';
const CHUNKED = `${HEAD}Transfer-Encoding: chunked\r\n\r\n`;
const SPACES = ' '.repeat(1_000);

const RESPONSES: Record<string, EndlessResponse> = {
  'a body without a length': { start: `${HEAD}\r\n`, repeated: SPACES },
  'a body in chunks': { start: CHUNKED, repeated: `3e8\r\n${SPACES}\r\n` },
  'a body in chunks of one byte': { start: CHUNKED, repeated: '1\r\n \r\n' },
  'a body with a length': {
    start: `${HEAD}Content-Length: 1000000000000\r\n\r\n`,
    repeated: SPACES,
  },
  'the size of a chunk': { start: CHUNKED, repeated: '0' },
  'the extension of a chunk': { start: `${CHUNKED}1;`, repeated: 'x' },
  trailers: { start: `${CHUNKED}0\r\n`, repeated: 'A: b\r\n' },
  'a head': { start: HEAD, repeated: 'A: b\r\n' },
  'a status line': { start: 'HTTP/1.1 200 ', repeated: 'x' },
  'interim responses': { start: '', repeated: 'HTTP/1.1 102 Processing\r\n\r\n' },
  'another protocol': {
    start: 'HTTP/1.1 101 Other\r\nConnection: upgrade\r\nUpgrade: other\r\n\r\n',
    repeated: 'x',
  },
  'empty lines': { start: '', repeated: '\r\n' },
};

for (const [name, response] of Object.entries(RESPONSES)) {
  test.serial(`a control response without end is given up: ${name}`, async (t) => {
    const peer = await startEndlessPeer(t, response);
    const client = new JsonClient(peer.address);
    t.teardown(() => client.close());
    const call = { method: 'GET', path: '/', maximumResponseBytes: MAXIMUM_BYTES };
    let reason = '';
    const startedMs = Date.now();
    const growth = await peakBufferGrowth(async () => {
      const failed = client.call({ ...call, timeoutMs: TIMEOUT_MS });
      reason = (await t.throwsAsync(failed))?.message ?? '';
    });
    t.log(`${reason}; ${Date.now() - startedMs} ms; sent ${peer.sentBytes}; growth ${growth}`);
    t.notRegex(reason, /timeout/);
    t.true(await holdsWithin(() => peer.openConnections === 0, CLOSE_TIMEOUT_MS));
    t.true(peer.sentBytes < MAXIMUM_SENT_BYTES, `sent ${peer.sentBytes}`);
    t.true(growth < MAXIMUM_GROWTH_BYTES, `memory grew by ${growth}`);
  });
}
