/** Guards against a stream that goes on after another event than the last one its caller has. */
import test from 'ava';
import fc from 'fast-check';
import { EventBoundary } from '../../src/coordination/gateway/event-boundary.js';

/** The last identifier of whole events, found by splitting them into lines. */
function lastIdentifierOf(events: string): string | undefined {
  const fields = events.split(/\r\n|\n|\r/).filter((line) => line.startsWith('id:'));
  return fields.at(-1)?.slice('id:'.length).trim();
}

test('the last identifier is that of the last whole event with one', (t) => {
  const line = fc.constantFrom(
    'data: x',
    'data: id: 3',
    'id: 7',
    'id:12 ',
    'id:',
    'id',
    ' id: 4',
    ': id:5',
    '',
  );
  const ending = fc.constantFrom('\n', '\r\n', '\r');
  const stream = fc
    .tuple(fc.array(line, { maxLength: 12 }), ending)
    .map(([lines, end]) => lines.map((each) => each + end).join(''));
  fc.assert(
    fc.property(stream, fc.integer({ min: 1, max: 9 }), (text, size) => {
      const boundary = new EventBoundary();
      let returned = '';
      for (let start = 0; start < text.length; start += size) {
        const events = boundary.take(Buffer.from(text.slice(start, start + size), 'latin1'));
        if (events) returned += Buffer.from(events).toString('latin1');
      }
      t.is(boundary.lastEventId, lastIdentifierOf(returned));
    }),
    { seed: 12, numRuns: 3_000 },
  );
});
