/** What a router believes of the limits that engines name. */
import test from 'ava';
import { EngineLimits } from '../../src/state/routing/engine-limits.js';

test('an engine has the limit that it named last', (t) => {
  const limits = new EngineLimits();
  t.is(limits.perSecond('engine-1'), undefined);
  t.true(limits.noteNamed('engine-1', 1.6, 100));
  t.false(limits.noteNamed('engine-1', 1.6, 200));
  t.true(limits.noteNamed('engine-1', 1.1, 300));
  t.is(limits.perSecond('engine-1'), 1.1);
  t.is(limits.perSecond('engine-2'), undefined);
});

test('an answer without a limit lifts it only where its request was sent after the last one that named it', (t) => {
  const limits = new EngineLimits();
  t.false(limits.noteUnnamed('engine-1', 50));
  limits.noteNamed('engine-1', 1.6, 100);
  t.false(limits.noteUnnamed('engine-1', 90));
  t.is(limits.perSecond('engine-1'), 1.6);
  t.true(limits.noteUnnamed('engine-1', 110));
  t.is(limits.perSecond('engine-1'), undefined);
  t.false(limits.noteUnnamed('engine-1', 120));
});
