/** Guards against directories that keep returning routers after they lost power. */
import test from 'ava';
import { GroupHarness } from '../helpers/group-harness.js';

/** Limit for any size of the group and of the loss. */
const BOUND_MS = 3_500;
const STEP_MS = 100;
const OBSERVED_MS = 12_000;
const SETTLING_MS = 4_000;

/** Sizes of groups and losses: [routers, routers that lose power]. */
const LOSSES: readonly (readonly [routers: number, lost: number])[] = [
  [3, 1],
  [3, 2],
  [8, 2],
  [8, 7],
  [30, 2],
  [30, 20],
  [120, 70],
];

/** The longest time for which any directory still returned a router after its loss of power. */
async function maximumStaleEntryMs(harness: GroupHarness): Promise<number> {
  let longestMs = 0;
  for (let spentMs = 0; spentMs < OBSERVED_MS; spentMs += STEP_MS) {
    await harness.clock.advance(STEP_MS);
    longestMs = Math.max(longestMs, harness.longestStaleEntryMs());
  }
  return longestMs;
}

for (const [routers, lost] of LOSSES) {
  test(`directories of ${routers} routers soon drop ${lost} that lose power`, async (t) => {
    const harness = await GroupHarness.create(routers, routers + lost);
    await harness.clock.advance(SETTLING_MS);
    for (let index = 0; index < lost; index += 1) harness.powerOff(index);
    const longestMs = await maximumStaleEntryMs(harness);
    t.true(longestMs <= BOUND_MS, `returned ${longestMs} ms after the loss`);
  });
}

test('a router that starts during a loss drops the lost routers within the bound', async (t) => {
  const harness = await GroupHarness.create(8, 21);
  await harness.clock.advance(SETTLING_MS);
  for (const index of [3, 4, 5]) harness.powerOff(index);
  await harness.clock.advance(1_000);
  harness.powerOff(2);
  await harness.start(2);
  const longestMs = await maximumStaleEntryMs(harness);
  t.true(longestMs <= BOUND_MS, `returned ${longestMs} ms after the loss`);
});

test('a router that was frozen does not return routers that lost power meanwhile', async (t) => {
  const harness = await GroupHarness.create(8, 22);
  await harness.clock.advance(SETTLING_MS);
  const frozen = harness.routers[0]?.host;
  frozen?.pause();
  await harness.clock.advance(1_000);
  harness.powerOff(3);
  // Too short for the others to declare the frozen router dead, but longer than the bound.
  await harness.clock.advance(4_000);
  frozen?.unpause();
  const longestMs = await maximumStaleEntryMs(harness);
  t.is(longestMs, 0);
});

test('a partitioned router soon returns only itself', async (t) => {
  const harness = await GroupHarness.create(8, 23);
  await harness.clock.advance(SETTLING_MS);
  harness.network.setPartition((left, right) => left === 'router-0' || right === 'router-0');
  await harness.clock.advance(BOUND_MS);
  const router = harness.routers[0];
  t.deepEqual(router?.directory.resolve(router.group.own, true), ['router-0:80']);
  harness.network.heal();
  await harness.clock.advance(1_500);
  t.true((router?.directory.resolve(router.group.own, true).length ?? 0) > 1);
});

test('all running routers are returned despite datagram loss', async (t) => {
  const harness = await GroupHarness.create(8, 24);
  harness.network.faults.datagramLoss = 0.1;
  await harness.clock.advance(SETTLING_MS);
  for (let spentMs = 0; spentMs < OBSERVED_MS; spentMs += STEP_MS) {
    await harness.clock.advance(STEP_MS);
    for (const { group } of harness.running) t.is(group.responding.length, 8);
  }
});

test('a large group returns most running routers although few report to each other directly', async (t) => {
  const harness = await GroupHarness.create(60, 25);
  await harness.clock.advance(SETTLING_MS);
  await harness.clock.advance(2_000);
  const shares = harness.running.map(({ group }) => group.responding.length / 60);
  const mean = shares.reduce((sum, share) => sum + share, 0) / shares.length;
  t.true(mean > 0.75, `${mean} of the group`);
});
