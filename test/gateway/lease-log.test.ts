/** Orders of weights that are delayed by a slow store must be explained by the log. */
import test from 'ava';
import { LeaseKeeper } from '../../src/coordination/gateway/lease-keeper.js';
import { VirtualClock } from '../../src/runtime/virtual-clock.js';
import { StoreEras } from '../../src/state/routing/store-eras.js';
import { WeightLease } from '../../src/state/routing/weight-lease.js';
import { RecordedLog } from '../helpers/engine-list-harness.js';
import { slowLeaseStore } from '../helpers/slow-lease-store.js';

const ACT_MS = 300;
async function takeLease(writeMs: number) {
  const clock = new VirtualClock();
  const eras = new StoreEras(true);
  const settings = { holder: 'router-0', life: 'life-0', leaseMs: 3_000, actMs: ACT_MS };
  const lease = new WeightLease(settings, eras);
  const log = new RecordedLog();
  const store = slowLeaseStore(clock, writeMs);
  const keeper = new LeaseKeeper('leases', lease, eras, store, clock, log);
  await keeper.advance();
  void keeper.advance();
  await clock.advance(writeMs + 1);
  return { clock, keeper, log };
}

test('a write of the lease that is acknowledged in time is logged with its duration', async (t) => {
  const { clock, keeper, log } = await takeLease(100);
  t.not(keeper.activeToken, undefined);
  t.is(keeper.renewalAgeMs, 101);
  await clock.advance(50);
  t.is(keeper.renewalAgeMs, 151);
  t.deepEqual(
    log.of('lease_taken').map((fields) => fields['took_ms']),
    [100],
  );
  t.deepEqual(log.of('lease_write_late'), []);
});

test('a write of the lease that is acknowledged after its time to act is logged as late', async (t) => {
  const { keeper, log } = await takeLease(ACT_MS + 100);
  t.is(keeper.activeToken, undefined);
  t.deepEqual(
    log.of('lease_write_late').map((fields) => fields['took_ms']),
    [ACT_MS + 100],
  );
});
