/** Guards the bounds of the pieces in which received bytes are parsed. */
import test from 'ava';
import fc from 'fast-check';
import { pieceLengthOf } from '../platform/parser-pieces.js';

const HEAD = 'GET / HTTP/1.1\r\nHost: a\r\n\r\n';
const MAXIMUM_LINES = 128;
const SEED = 88;

function lengthOf(text: string): number {
  return pieceLengthOf(Buffer.from(text, 'latin1'));
}

test('a head with its body is one piece, and a second message begins another', (t) => {
  t.is(lengthOf(`${HEAD}body`), HEAD.length + 4);
  t.is(lengthOf(HEAD + HEAD), HEAD.length);
  t.is(lengthOf(`body${HEAD}${HEAD}`), HEAD.length + 4);
  t.is(lengthOf('x'.repeat(70_000)), 70_000);
  t.is(lengthOf(''), 0);
});

test('small chunks are cut after a bounded number of lines', (t) => {
  const chunks = '1\r\nx\r\n'.repeat(10_000);
  const piece = chunks.slice(0, lengthOf(chunks));
  t.is(piece.split('\r').length - 1, MAXIMUM_LINES);
});

test('pieces of any bytes make progress, join to the same bytes, and end one message each', (t) => {
  const token = fc.constantFrom('\r\n\r\n', '\r\n', '\r', '\n', 'x', '1\r\nx\r\n', 'y'.repeat(300));
  const bytes = fc.array(token, { minLength: 1, maxLength: 400 }).map((each) => each.join(''));
  const isKept = (text: string): void => {
    let rest = Buffer.from(text, 'latin1');
    const pieces: string[] = [];
    while (rest.length > 0) {
      const length = pieceLengthOf(rest);
      t.true(length > 0 && length <= rest.length);
      pieces.push(rest.subarray(0, length).toString('latin1'));
      rest = rest.subarray(length);
    }
    t.is(pieces.join(''), text);
    for (const piece of pieces) {
      t.true(piece.split('\r').length - 1 <= MAXIMUM_LINES + 1);
      t.true(piece.split('\r\n\r\n').length <= 2);
    }
  };
  fc.assert(fc.property(bytes, isKept), { seed: SEED, numRuns: 300 });
});
