/**
 * Load commands must be sent although the lease expires between their announcement and the send,
 * which happens when calls to the store or to engines take long.
 */
import test from 'ava';
import { LeaseKeeper } from '../../src/coordination/gateway/lease-keeper.js';
import { NoopLogger } from '../../src/runtime/logger.js';
import { VirtualClock } from '../../src/runtime/virtual-clock.js';
import { StoreEras } from '../../src/state/routing/store-eras.js';
import { WeightLease } from '../../src/state/routing/weight-lease.js';
import { ANNOUNCEMENT_MS, coordinatorHarness } from '../helpers/coordinator-harness.js';
import { slowLeaseStore } from '../helpers/slow-lease-store.js';

const ACT_MS = 300;
/** With the announcement, longer than the lease allows to act. */
const WRITE_MS = ACT_MS - ANNOUNCEMENT_MS / 2;

function createLease(clock: VirtualClock): LeaseKeeper {
  const eras = new StoreEras(true);
  const settings = { holder: 'router-0', life: 'life-0', leaseMs: 3_000, actMs: ACT_MS };
  const lease = new WeightLease(settings, eras);
  const store = slowLeaseStore(clock, WRITE_MS);
  return new LeaseKeeper('leases', lease, eras, store, clock, new NoopLogger());
}

test('a load command is sent although the lease expires during its announcement', async (t) => {
  const { clock, coordinator, sentMs } = coordinatorHarness({ createLease });
  await clock.advance(5_000);
  t.true(sentMs.length > 0);
  coordinator.stop();
});

test('load commands that are sent together renew an expired lease once', async (t) => {
  const clock = new VirtualClock();
  const keeper = createLease(clock);
  t.is(await keeper.renewedToken(), undefined);
  await keeper.advance();
  void keeper.advance();
  await clock.advance(WRITE_MS + ACT_MS);
  t.is(keeper.activeToken, undefined);
  t.is(keeper.heldPosition?.revision, 1);
  const tokens = Promise.all([keeper.renewedToken(), keeper.renewedToken()]);
  await clock.advance(WRITE_MS);
  t.deepEqual(await tokens, [1, 1]);
  t.is(keeper.heldPosition?.revision, 2);
});
