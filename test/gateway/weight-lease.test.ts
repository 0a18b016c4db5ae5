/** Guards against two routers that send load commands within one lease time. */
import test from 'ava';
import fc from 'fast-check';
import { StoreEra } from '../../src/runtime/store-position.js';
import { StoreEras } from '../../src/state/routing/store-eras.js';
import { LeaseStep, WeightLease } from '../../src/state/routing/weight-lease.js';
import { leaseTimeAt } from '../helpers/instants.js';
import { positionAt } from '../helpers/positions.js';

const LEASE_MS = 3_000;
const ACT_MS = 500;
const SEED = { seed: 5, numRuns: 400 };
/** Maximum time until a load command reaches its engine. */
const TRANSIT_MS = 500;
/** Delay until a write reaches the store and its announcement reaches the standby. */
const DELAY_MS = 2;

function leaseOf(holder: string): WeightLease {
  return new WeightLease(
    { holder, life: holder, leaseMs: LEASE_MS, actMs: ACT_MS },
    new StoreEras(true),
  );
}

test('a successor takes over only after the lease time has passed since the last command', (t) => {
  // Pauses between the holder's writes, and whether the standby receives the announcement of each.
  const writes = fc.array(fc.tuple(fc.integer({ min: 100, max: 5_000 }), fc.boolean()), {
    minLength: 1,
    maxLength: 8,
  });
  const property = fc.property(writes, fc.integer({ min: 0, max: 9_000 }), (plan, startMs) => {
    const standby = leaseOf('standby');
    const record = { holder: 'holder', life: 'holder', fencingToken: 1 };
    const written: number[] = [];
    let nowMs = 0;
    for (const [pauseMs] of plan) {
      nowMs += pauseMs;
      written.push(nowMs);
    }
    const revisionAt = (timeMs: number): number =>
      written.filter((each) => each + DELAY_MS <= timeMs).length;
    for (let timeMs = startMs; timeMs < 60_000; timeMs += 10) {
      plan.forEach(([, isReceived], index) => {
        const receivedMs = (written[index] ?? 0) + DELAY_MS;
        if (isReceived && receivedMs > timeMs - 10 && receivedMs <= timeMs)
          standby.recordReportedWrite(positionAt(index + 1), timeMs);
      });
      const step = standby.next(leaseTimeAt(timeMs));
      const revision = revisionAt(timeMs);
      if (step === LeaseStep.Read) {
        standby.observe(
          revision === 0 ? undefined : { record, position: positionAt(revision) },
          StoreEra.None,
          timeMs,
        );
      } else if (step === LeaseStep.TakeOver) {
        // The write conflicts if the holder has written since.
        if (standby.position.revision !== revision)
          standby.observe({ record, position: positionAt(revision) }, StoreEra.None, timeMs);
        else {
          const lastActMs = (written[revision - 1] ?? 0) + ACT_MS;
          t.true(timeMs - lastActMs - TRANSIT_MS >= LEASE_MS);
          return;
        }
      } else if (step === LeaseStep.Create) {
        if (revision === 0) return;
        standby.observe({ record, position: positionAt(revision) }, StoreEra.None, timeMs);
      }
    }
    t.fail('no router took over');
  });
  fc.assert(property, SEED);
});

test('the wait counts from the announcement of a write, without a read of the store meanwhile', (t) => {
  const standby = leaseOf('standby');
  const view = {
    record: { holder: 'holder', life: 'holder', fencingToken: 1 },
    position: positionAt(7),
  };
  standby.recordReportedWrite(positionAt(7), 1_000);
  t.is(standby.next(leaseTimeAt(5_200)), LeaseStep.Read);
  standby.observe(view, StoreEra.None, 5_200);
  t.is(standby.next(leaseTimeAt(5_200)), LeaseStep.TakeOver);
});

test('without announcements of the holder the wait counts from the first read', (t) => {
  const standby = leaseOf('standby');
  const view = {
    record: { holder: 'holder', life: 'holder', fencingToken: 1 },
    position: positionAt(7),
  };
  standby.observe(view, StoreEra.None, 5_000);
  t.is(standby.next(leaseTimeAt(9_100)), LeaseStep.Read);
  standby.observe(view, StoreEra.None, 9_100);
  t.is(standby.next(leaseTimeAt(9_200)), LeaseStep.TakeOver);
});

test('a holder that receives the announcement of a newer write stops acting', (t) => {
  const holder = leaseOf('holder');
  holder.observe(undefined, StoreEra.None, 0);
  const record = holder.recordFor(LeaseStep.Create);
  holder.recordWrite({ record, position: positionAt(3) }, leaseTimeAt(100));
  t.is(holder.next(leaseTimeAt(200)), LeaseStep.Act);
  t.deepEqual(holder.heldPosition, positionAt(3));
  holder.recordReportedWrite(positionAt(4), 250);
  t.is(holder.next(leaseTimeAt(300)), LeaseStep.Read);
  t.is(holder.heldPosition, undefined);
});
