/**
 * Guards against streams that are taken for complete although they end within an event, and against
 * events without end.
 */
import test from 'ava';
import fc from 'fast-check';
import { EventScanner, MAXIMUM_EVENT_BYTES } from '../../src/coordination/gateway/event-scanner.js';

function scanned(...chunks: string[]): EventScanner {
  const scanner = new EventScanner();
  for (const chunk of chunks) scanner.scan(Buffer.from(chunk));
  return scanner;
}

const COMPLETE = [
  '',
  'data: x\n\n',
  'data: x\r\n\r\n',
  'data: x\r\r',
  'data: x\r\n\n',
  'data: x\n\n: keep-alive\n',
  ': keep-alive\n',
  '\n',
  'id: 1\ndata: x\n\nid: 2\ndata: y\n\n',
];

const BROKEN = [
  'data: x',
  'data: x\n',
  'data: x\r',
  'data: x\r\n',
  'data: x\r\n\r',
  'data: x\n\r',
  'data: x\n\n: keep',
  'data: x\n: keep-alive\n',
  'data: x\n\nid',
];

for (const text of COMPLETE) {
  test(`a stream may end after ${JSON.stringify(text)}`, (t) => {
    t.false(scanned(text).isWithinEvent);
    t.false(scanned(...text).isWithinEvent, 'byte by byte');
  });
}

for (const text of BROKEN) {
  test(`a stream that ends after ${JSON.stringify(text)} was broken off`, (t) => {
    t.true(scanned(text).isWithinEvent);
    t.true(scanned(...text).isWithinEvent, 'byte by byte');
  });
}

test('an end in the middle of a character is within an event', (t) => {
  const bytes = Buffer.from('data: caf\u00e9');
  const scanner = new EventScanner();
  scanner.scan(bytes.subarray(0, -1));
  t.true(scanner.isWithinEvent);
});

/** Starts of events that go on without a blank line, and what they go on with. */
const ENDLESS_EVENTS: readonly (readonly [start: string, repeated: string])[] = [
  ['data: ', 'x'],
  ['id: 1\n', 'data: x\n'],
  ['', 'data: x\r'],
  ['', ': comment\r\n'],
  ['id: 1\ndata: x\n\n', 'y'],
];

for (const [start, repeated] of ENDLESS_EVENTS) {
  test(`an event without end is too large: ${JSON.stringify(start + repeated)}`, (t) => {
    const scanner = scanned(start);
    const block = Buffer.from(repeated.repeat(100));
    let eventBytes = start.endsWith('\n\n') ? 0 : start.length;
    while (eventBytes + block.length <= MAXIMUM_EVENT_BYTES) {
      scanner.scan(block);
      eventBytes += block.length;
      if (scanner.isEventTooLarge) break;
    }
    t.false(scanner.isEventTooLarge, `${eventBytes} bytes`);
    scanner.scan(block);
    t.true(scanner.isEventTooLarge);
  });
}

test('a stream of events is not too large, whatever its length', (t) => {
  const scanner = new EventScanner();
  const event = Buffer.from(`data: ${'x'.repeat(MAXIMUM_EVENT_BYTES / 4)}\n\n`);
  for (let count = 0; count < 100; count += 1) {
    scanner.scan(event.subarray(0, 1_000));
    t.false(scanner.isEventTooLarge);
    scanner.scan(Buffer.concat([event.subarray(1_000), event.subarray(0, 10)]));
    t.false(scanner.isEventTooLarge);
    scanner.scan(event.subarray(10));
    t.false(scanner.isEventTooLarge);
  }
});

/** Splits the text into chunks of the given sizes, repeated. */
function chunksOf(text: string, sizes: readonly number[]): string[] {
  const chunks: string[] = [];
  for (let start = 0; start < text.length;) {
    const size = sizes[chunks.length % sizes.length] ?? 1;
    chunks.push(text.slice(start, start + size));
    start += size;
  }
  return chunks;
}

test('boundaries are the same however the stream is cut into chunks', (t) => {
  const line = fc.constantFrom('data: x', 'id: 7', ': c', '', 'é');
  const ending = fc.constantFrom('\n', '\r\n', '\r');
  const stream = fc
    .tuple(fc.array(line, { maxLength: 12 }), ending)
    .map(([lines, end]) => lines.map((each) => each + end).join(''));
  const sizes = fc.array(fc.integer({ min: 1, max: 5 }), { minLength: 1, maxLength: 4 });
  fc.assert(
    fc.property(stream, sizes, (text, chunkSizes) => {
      const scanner = new EventScanner();
      let offset = 0;
      let end = 0;
      for (const chunk of chunksOf(text, chunkSizes)) {
        const found = scanner.scan(Buffer.from(chunk, 'latin1'));
        if (found !== undefined) end = offset + found;
        offset += chunk.length;
      }
      t.is(end, lastBoundaryOf(text));
      t.is(scanner.isWithinEvent, hasOpenFields(text.slice(end)));
    }),
    { seed: 11, numRuns: 2_000 },
  );
});

/** End of the last blank line, found by splitting the whole text into lines. */
function lastBoundaryOf(text: string): number {
  const lines = text.split(/(\r\n|\n|\r)/);
  let offset = 0;
  let boundary = 0;
  for (let index = 0; index + 1 < lines.length; index += 2) {
    const [content, ending] = [lines[index] ?? '', lines[index + 1] ?? ''];
    offset += content.length + ending.length;
    if (content === '') boundary = offset;
  }
  return boundary;
}

function hasOpenFields(rest: string): boolean {
  return rest.split(/\r\n|\n|\r/).some((line) => line !== '' && !line.startsWith(':'));
}
