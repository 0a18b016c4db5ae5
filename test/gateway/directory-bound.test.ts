/** For how long the directory goes on naming routers that lost their power. */
import test from 'ava';
import { GroupHarness } from '../helpers/group-harness.js';

/** Whatever the size of the group and of the loss; the users' bench tolerates about six seconds. */
const BOUND_MS = 3_500;
const STEP_MS = 100;
const OBSERVED_MS = 12_000;
const SETTLING_MS = 4_000;

/** Groups and losses: [routers, routers that lose their power]. */
const LOSSES: readonly (readonly [routers: number, lost: number])[] = [
  [3, 1],
  [3, 2],
  [8, 2],
  [8, 7],
  [30, 2],
  [30, 20],
  [120, 70],
];

/** The longest time that any router was off when some directory still named it. */
async function longestNamedOffMs(world: GroupHarness): Promise<number> {
  let longestMs = 0;
  for (let spentMs = 0; spentMs < OBSERVED_MS; spentMs += STEP_MS) {
    await world.clock.advance(STEP_MS);
    longestMs = Math.max(longestMs, world.longestNamedOffMs());
  }
  return longestMs;
}

for (const [routers, lost] of LOSSES) {
  test(`of ${routers} routers ${lost} lose their power and are not named for long`, async (t) => {
    const world = await GroupHarness.create(routers, routers + lost);
    await world.clock.advance(SETTLING_MS);
    for (let index = 0; index < lost; index += 1) world.powerOff(index);
    const longestMs = await longestNamedOffMs(world);
    t.true(longestMs <= BOUND_MS, `named ${longestMs} ms after the loss`);
  });
}

test('a router that starts meanwhile does not name the dead for longer', async (t) => {
  const world = await GroupHarness.create(8, 21);
  await world.clock.advance(SETTLING_MS);
  for (const index of [3, 4, 5]) world.powerOff(index);
  await world.clock.advance(1_000);
  world.powerOff(2);
  await world.start(2);
  const longestMs = await longestNamedOffMs(world);
  t.true(longestMs <= BOUND_MS, `named ${longestMs} ms after the loss`);
});

test('a router that was frozen does not name those that lost their power meanwhile', async (t) => {
  const world = await GroupHarness.create(8, 22);
  await world.clock.advance(SETTLING_MS);
  const frozen = world.routers[0]?.host;
  frozen?.pause();
  await world.clock.advance(1_000);
  world.powerOff(3);
  // Too short for the others to declare it dead, long enough to be past the bound.
  await world.clock.advance(4_000);
  frozen?.unpause();
  const longestMs = await longestNamedOffMs(world);
  t.is(longestMs, 0);
});

test('a router that is cut off from the others soon names only itself', async (t) => {
  const world = await GroupHarness.create(8, 23);
  await world.clock.advance(SETTLING_MS);
  world.network.cutAll((left, right) => left === 'router-0' || right === 'router-0');
  await world.clock.advance(BOUND_MS);
  const router = world.routers[0];
  t.deepEqual(router?.directory.answer(router.group.own, true), ['router-0:80']);
  world.network.heal();
  await world.clock.advance(1_500);
  t.true((router?.directory.answer(router.group.own, true).length ?? 0) > 1);
});

test('routers that run are all named, in a group that loses datagrams too', async (t) => {
  const world = await GroupHarness.create(8, 24);
  world.network.faults.datagramLoss = 0.1;
  await world.clock.advance(SETTLING_MS);
  for (let spentMs = 0; spentMs < OBSERVED_MS; spentMs += STEP_MS) {
    await world.clock.advance(STEP_MS);
    for (const { group } of world.running) t.is(group.responding.length, 8);
  }
});

test('in a large group nearly all that run are named, though each hears few of them itself', async (t) => {
  const world = await GroupHarness.create(60, 25);
  await world.clock.advance(SETTLING_MS);
  await world.clock.advance(2_000);
  const shares = world.running.map(({ group }) => group.responding.length / 60);
  const mean = shares.reduce((sum, share) => sum + share, 0) / shares.length;
  t.true(mean > 0.75, `${mean} of the group`);
});
