/** Guards against stale or reordered rate limits, from responses and from announcements. */
import test from 'ava';
import { EngineLimits } from '../../src/state/routing/engine-limits.js';

test('the limit stated last applies', (t) => {
  const limits = new EngineLimits();
  t.is(limits.perSecond('engine-1'), undefined);
  t.true(limits.setLimit('engine-1', 1.6, 100));
  t.false(limits.setLimit('engine-1', 1.6, 200));
  t.true(limits.setLimit('engine-1', 1.1, 300));
  t.is(limits.perSecond('engine-1'), 1.1);
  t.is(limits.perSecond('engine-2'), undefined);
});

test('a limit is lifted only by a response to a request sent after the last one with a limit', (t) => {
  const limits = new EngineLimits();
  t.false(limits.recordNoLimit('engine-1', 50, 60));
  limits.setLimit('engine-1', 1.6, 100);
  t.false(limits.recordNoLimit('engine-1', 90, 105));
  t.is(limits.perSecond('engine-1'), 1.6);
  t.true(limits.recordNoLimit('engine-1', 110, 115));
  t.is(limits.perSecond('engine-1'), undefined);
  t.false(limits.recordNoLimit('engine-1', 120, 125));
});

test('changes of limits are announced for a limited time', (t) => {
  const limits = new EngineLimits();
  limits.setLimit('engine-1', 1.6, 1_000);
  limits.setLimit('engine-1', 1.6, 1_200);
  t.deepEqual(limits.announcements(1_300), [
    { engineName: 'engine-1', perSecond: 1.6, ageMs: 100 },
  ]);
  t.deepEqual(limits.announcements(2_600), []);
  limits.recordNoLimit('engine-1', 2_700, 2_750);
  t.deepEqual(limits.announcements(2_800), [
    { engineName: 'engine-1', perSecond: undefined, ageMs: 100 },
  ]);
});

test('an announcement applies if it is newer, and a lifted limit only if that is certain', (t) => {
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

test('a limit outlasts the time between two slots in a large group, then expires', (t) => {
  const limits = new EngineLimits();
  limits.setLimit('engine-1', 1.2, 1_000);
  limits.announcements(301_000);
  t.is(limits.perSecond('engine-1'), 1.2);
  limits.announcements(602_000);
  t.is(limits.perSecond('engine-1'), undefined);
});
