/** How much later than reckoned engines begin. */
import test from 'ava';
import fc from 'fast-check';
import { EnginePace } from '../../src/state/routing/engine-pace.js';

test('an engine that turns slow is known at its first late beginning, and tried again within seconds', (t) => {
  const pace = new EnginePace();
  t.is(pace.lateMs('a', 0), 0);
  pace.noteBegun('a', 1_600, 1_000);
  t.is(pace.lateMs('a', 1_000), 1_600);
  t.is(pace.lateMs('a', 3_000), 800);
  t.true(pace.lateMs('a', 15_000) < 15);
  t.is(pace.lateMs('b', 1_000), 0);
});

test('beginnings in time bring it down by half each; what was given up early says nothing', (t) => {
  const pace = new EnginePace();
  pace.noteBegun('a', 1_600, 0);
  pace.noteWaiting('a', 200, 0);
  t.is(pace.lateMs('a', 0), 1_600);
  pace.noteBegun('a', -50, 0);
  t.is(pace.lateMs('a', 0), 800);
  pace.noteWaiting('a', 2_000, 0);
  t.is(pace.lateMs('a', 0), 2_000);
});

test('the lateness is never below that of the last beginning, and never negative', (t) => {
  const property = fc.property(
    fc.array(fc.tuple(fc.integer({ min: -500, max: 9_000 }), fc.nat(3_000)), { maxLength: 30 }),
    (beginnings) => {
      const pace = new EnginePace();
      let nowMs = 0;
      for (const [lateMs, gapMs] of beginnings) {
        nowMs += gapMs;
        pace.noteBegun('a', lateMs, nowMs);
        t.true(pace.lateMs('a', nowMs) >= Math.max(0, lateMs));
      }
    },
  );
  fc.assert(property, { seed: 42, numRuns: 300 });
});

test('engines that are gone are forgotten', (t) => {
  const pace = new EnginePace();
  pace.noteBegun('a', 900, 0);
  pace.retain(new Set(['b']));
  t.is(pace.lateMs('a', 0), 0);
});
