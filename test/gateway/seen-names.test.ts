/** Names that are told once. */
import test from 'ava';
import { SeenNames } from '../../src/coordination/gateway/seen-names.js';

test('a name is new once, and endless new names are not kept', (t) => {
  const seen = new SeenNames();
  t.true(seen.note('server-mood'));
  t.false(seen.note('server-mood'));
  const isNew = Array.from({ length: 1_000 }, (_, index) => seen.note(`name-${index}`));
  t.is(isNew.filter(Boolean).length, 63);
});
