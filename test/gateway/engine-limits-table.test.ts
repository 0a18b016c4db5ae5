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
  t.false(limits.noteUnnamed('engine-1', 50, 60));
  limits.noteNamed('engine-1', 1.6, 100);
  t.false(limits.noteUnnamed('engine-1', 90, 105));
  t.is(limits.perSecond('engine-1'), 1.6);
  t.true(limits.noteUnnamed('engine-1', 110, 115));
  t.is(limits.perSecond('engine-1'), undefined);
  t.false(limits.noteUnnamed('engine-1', 120, 125));
});

test('routers tell each other what is new, for a while', (t) => {
  const limits = new EngineLimits();
  limits.noteNamed('engine-1', 1.6, 1_000);
  limits.noteNamed('engine-1', 1.6, 1_200);
  t.deepEqual(limits.notices(1_300), [{ engineName: 'engine-1', perSecond: 1.6, ageMs: 100 }]);
  t.deepEqual(limits.notices(2_600), []);
  limits.noteUnnamed('engine-1', 2_700, 2_750);
  t.deepEqual(limits.notices(2_800), [
    { engineName: 'engine-1', perSecond: undefined, ageMs: 100 },
  ]);
});

test('what another router tells counts where it is newer, a lift only where that is certain', (t) => {
  const limits = new EngineLimits();
  const named = { engineName: 'engine-1', perSecond: 1.6, ageMs: 0 };
  const lifted = { engineName: 'engine-1', perSecond: undefined, ageMs: 0 };
  t.false(limits.receive(lifted, 900));
  t.true(limits.receive(named, 1_000));
  t.false(limits.receive({ ...named, perSecond: 2, ageMs: 50 }, 1_020));
  t.false(limits.receive(lifted, 1_100));
  t.is(limits.perSecond('engine-1'), 1.6);
  t.true(limits.receive(lifted, 1_300));
  t.is(limits.perSecond('engine-1'), undefined);
  t.true(limits.receive(named, 1_301));
});

test('a limit outlasts the time between two turns of a router in a large group, and not for ever', (t) => {
  const limits = new EngineLimits();
  limits.noteNamed('engine-1', 1.2, 1_000);
  limits.notices(301_000);
  t.is(limits.perSecond('engine-1'), 1.2);
  limits.notices(602_000);
  t.is(limits.perSecond('engine-1'), undefined);
});
