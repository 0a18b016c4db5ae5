/** A load command must not be sent before the other routers have received its announcement. */
import test from 'ava';
import { ANNOUNCEMENT_MS, coordinatorHarness } from '../helpers/coordinator-harness.js';

test('a load command is sent one announcement time after its announcement', async (t) => {
  const { clock, coordinator, health, announcedMs, sentMs } = coordinatorHarness();
  await clock.advance(1_200);
  t.is(sentMs.length, 1);
  t.true((sentMs[0] ?? 0) - (announcedMs[0] ?? Infinity) >= ANNOUNCEMENT_MS);
  t.true(health.isLoading('engine-0', clock.now()));
  coordinator.stop();
});

test('an engine of a service that is not configured gets no load command', async (t) => {
  const { clock, coordinator, loadCommands } = coordinatorHarness({ isKnownService: false });
  await clock.advance(2_000);
  t.deepEqual(loadCommands, []);
  coordinator.stop();
});

test('no load command is sent if the lease was lost after the announcement', async (t) => {
  const { clock, coordinator, lease, log, health, announcedMs, sentMs } = coordinatorHarness();
  while (announcedMs.length === 0) await clock.advance(10);
  lease.activeToken = undefined;
  await clock.advance(ANNOUNCEMENT_MS + 50);
  t.deepEqual(sentMs, []);
  t.deepEqual(
    log.of('weights_order_abandoned').map(({ reason }) => reason),
    ['lease-expired'],
  );
  t.false(health.isLoading('engine-0', clock.now()));
  coordinator.stop();
});

test('a router that leaves after its announcement sends no load command', async (t) => {
  const { clock, coordinator, announcedMs, sentMs } = coordinatorHarness();
  while (announcedMs.length === 0) await clock.advance(10);
  coordinator.leave();
  await clock.advance(1_000);
  t.deepEqual(sentMs, []);
  coordinator.stop();
});
