/** Guards against held responses in small chunks, each of which takes more memory than its bytes. */
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import test from 'ava';
import { ResponseBuffer } from '../../src/coordination/gateway/response-buffer.js';
import { ChunkList } from '../../src/coordination/gateway/chunk-list.js';
import { EventBoundary } from '../../src/coordination/gateway/event-boundary.js';
import { BodyFraming } from '../../src/protocol/inference/port.js';

const BODY_BYTES = 100_000;
const MAXIMUM_PIECES = 64;
const MAXIMUM_BYTES_PER_BYTE = 8;

setFlagsFromString('--expose_gc');
const collectGarbage = runInNewContext('gc') as () => void;

/** Views of one byte, as the HTTP parser passes on chunks of one byte. */
function* bytesOf(body: Buffer): Iterable<Uint8Array> {
  for (let index = 0; index < body.length; index += 1) yield body.subarray(index, index + 1);
}

test('bytes are the same however many chunks they came in', (t) => {
  const body = Buffer.from(Array.from({ length: 1_000 }, (_, index) => index % 251));
  for (const size of [1, 15, 16, 500, 1_000]) {
    const list = new ChunkList();
    for (let start = 0; start < body.length; start += size) {
      list.append(body.subarray(start, start + size));
    }
    t.is(list.sizeBytes, body.length);
    t.deepEqual(Buffer.from(list.takeAll()), body);
    t.is(list.sizeBytes, 0);
    t.is(list.takeAll().length, 0);
  }
});

test('a buffered response in chunks of one byte is held in few pieces', (t) => {
  const body = Buffer.alloc(BODY_BYTES, 'x');
  const framing = BodyFraming.Chunks;
  const head = { status: 200, headers: [], contentLength: undefined, framing, isAttested: true };
  const buffer = new ResponseBuffer(head);
  for (const chunk of bytesOf(body)) t.true(buffer.append(chunk));
  t.true(buffer.chunks.length <= MAXIMUM_PIECES);
  t.deepEqual(Buffer.concat(buffer.chunks), body);
});

test.serial('an incomplete event in chunks of one byte takes little memory', (t) => {
  const boundary = new EventBoundary();
  const body = Buffer.alloc(BODY_BYTES, 'x');
  collectGarbage();
  const before = process.memoryUsage().heapUsed;
  for (const chunk of bytesOf(body)) boundary.take(chunk);
  collectGarbage();
  const heldBytes = process.memoryUsage().heapUsed - before;
  t.log(`${heldBytes} bytes of the heap for ${BODY_BYTES} of the event`);
  t.true(heldBytes < MAXIMUM_BYTES_PER_BYTE * BODY_BYTES);
  t.is(boundary.pendingBytes, BODY_BYTES);
});
