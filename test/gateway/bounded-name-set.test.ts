/** The set must report each name once and must not grow without limit. */
import test from 'ava';
import { BoundedNameSet } from '../../src/coordination/gateway/bounded-name-set.js';

test('a name is new once, and the number of names is limited', (t) => {
  const seen = new BoundedNameSet();
  t.true(seen.addName('server-mood'));
  t.false(seen.addName('server-mood'));
  const isNew = Array.from({ length: 1_000 }, (_, index) => seen.addName(`name-${index}`));
  t.is(isNew.filter(Boolean).length, 63);
});
