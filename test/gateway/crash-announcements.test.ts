/**
 * Crash announcements must reach all routers of a large group, over a network that loses datagrams.
 */
import test from 'ava';
import { CrashGuard, CrashSubject } from '../../src/coordination/gateway/crash-guard.js';
import { GatewayStatistics } from '../../src/coordination/gateway/gateway-statistics.js';
import { NoopLogger } from '../../src/runtime/logger.js';
import { VirtualClock } from '../../src/runtime/virtual-clock.js';
import { DEFAULT_PART_QUARANTINE_POLICY } from '../../src/state/routing/quarantine-policy.js';
import { CrashAnnouncementHarness, type Peer } from '../helpers/crash-announcement-harness.js';

const ROUTERS = 60;
const JOINED_MS = 6_000;
const UNRELATED_REQUESTS = 15;
const LOSS = 0.1;
/** A third of the 3 s after the third crash within which a router must apply the quarantine. */
const SPREAD_MS = 1_000;
const SMALL_GROUP = 6;
/** Time in which an announcement reaches all routers of a small group. */
const RECEIVED_MS = 100;
const STARTED_MS = 3_000;
const CAUSE = 'c'.repeat(32);

/** An engine crash during one suspect request and several unrelated ones. */
function crashOf(engine: number): { engineId: string; fingerprints: string[] } {
  const unrelated = Array.from({ length: UNRELATED_REQUESTS }, (_, index) =>
    (engine * UNRELATED_REQUESTS + index).toString(16).padStart(32, '0'),
  );
  return { engineId: `engine-${engine}`, fingerprints: [...unrelated, CAUSE] };
}

test('all routers of a large group quarantine a request whose crashes three routers observed', async (t) => {
  const harness = new CrashAnnouncementHarness();
  for (let index = 0; index < ROUTERS; index += 1) await harness.start();
  await harness.clock.advance(JOINED_MS);
  harness.network.faults.datagramLoss = LOSS;
  [7, 25, 50].forEach((router, engine) =>
    (harness.peers[router] as Peer).guard.noteCrash(crashOf(engine)),
  );
  await harness.clock.advance(SPREAD_MS);
  t.is(harness.peers.filter(({ guard }) => guard.isQuarantined(CAUSE)).length, ROUTERS);
  const quarantined = harness.peers.flatMap(({ guard }) => [...guard.quarantinedSince.keys()]);
  t.deepEqual(new Set(quarantined), new Set([CAUSE]));

  const late = await harness.start();
  await harness.clock.advance(STARTED_MS);
  t.true(late.guard.isQuarantined(CAUSE));
  harness.stop();
});

test('completion of a request at one router clears it at all routers', async (t) => {
  const harness = new CrashAnnouncementHarness();
  for (let index = 0; index < ROUTERS; index += 1) await harness.start();
  await harness.clock.advance(JOINED_MS);
  harness.network.faults.datagramLoss = LOSS;
  [0, 1, 2].forEach((router) => (harness.peers[router] as Peer).guard.noteCrash(crashOf(router)));
  await harness.clock.advance(SPREAD_MS);
  (harness.peers[40] as Peer).guard.recordSuccess(CAUSE);
  await harness.clock.advance(SPREAD_MS);
  t.is(harness.peers.filter(({ guard }) => guard.isQuarantined(CAUSE)).length, 0);
  await harness.clock.advance(JOINED_MS);
  t.is(harness.peers.filter(({ guard }) => guard.isQuarantined(CAUSE)).length, 0);
  harness.stop();
});

test('a router of a small group does not relay announcements that it received', async (t) => {
  const harness = new CrashAnnouncementHarness();
  for (let index = 0; index < SMALL_GROUP; index += 1) await harness.start();
  await harness.clock.advance(JOINED_MS);
  const [first, ...others] = harness.peers;
  first?.guard.noteCrash(crashOf(0));
  await harness.clock.advance(RECEIVED_MS);
  for (const { guard } of others) {
    t.is(guard.crashedEngines(CAUSE).length, 1);
    t.false(guard.hasAnnouncements);
  }
  first?.guard.recordSuccess(CAUSE);
  await harness.clock.advance(SPREAD_MS);
  for (const { guard } of others) {
    t.deepEqual(guard.crashedEngines(CAUSE), []);
    t.false(guard.hasAnnouncements);
  }
  harness.stop();
});

// Many sound requests share a part; engines that fail together must not cost all of them a retry.
test('engines that fail together do not leave retries of a prompt part to its callers', async (t) => {
  const clock = new VirtualClock();
  const guard = new CrashGuard({
    subject: CrashSubject.PromptPart,
    policy: DEFAULT_PART_QUARANTINE_POLICY,
    statistics: new GatewayStatistics(),
    clock,
    logger: new NoopLogger(),
    announce: () => undefined,
  });
  for (const engineId of ['engine-0', 'engine-1', 'engine-2'])
    guard.noteCrash({ engineId, fingerprints: [CAUSE] });
  t.false(guard.leavesRetryToCaller(CAUSE));
  await clock.advance(SPREAD_MS);
  guard.noteCrash({ engineId: 'engine-3', fingerprints: [CAUSE] });
  t.true(guard.leavesRetryToCaller(CAUSE));
});
