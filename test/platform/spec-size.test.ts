/** Guards against contents of objects that exhaust the memory of a router. */
import test from 'ava';
import { isLargerThan } from '../../platform/spec-size.js';

const LIMIT = 1_000;

test('texts, names, members and nested values count', (t) => {
  t.false(isLargerThan({ service: 'llm', models: [{ name: 'a', version: 1 }] }, LIMIT));
  t.true(isLargerThan('x'.repeat(LIMIT + 1), LIMIT));
  t.true(isLargerThan({ ['x'.repeat(LIMIT)]: 1 }, LIMIT));
  t.true(
    isLargerThan(
      Array.from({ length: 100 }, () => 0),
      LIMIT,
    ),
  );
  t.true(isLargerThan([Array.from({ length: 20 }, () => ({}))], LIMIT));
});

test('values without contents are small', (t) => {
  for (const value of [null, undefined, 0, true, '', [], {}]) t.false(isLargerThan(value, LIMIT));
});
