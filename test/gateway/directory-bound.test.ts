/** For how long the directory goes on naming routers that lost their power. */
import test from 'ava';
import { GroupWorld } from '../helpers/group-world.js';

/** Whatever the size of the group and of the loss; the users' bench tolerates about six seconds. */
const BOUND_MS = 3_500;
const STEP_MS = 100;
const OBSERVED_MS = 12_000;
const SETTLING_MS = 4_000;

/** The longest time that any router was off when some directory still named it. */
async function longestNamedOffMs(world: GroupWorld): Promise<number> {
  let longestMs = 0;
  for (let spentMs = 0; spentMs < OBSERVED_MS; spentMs += STEP_MS) {
    await world.clock.advance(STEP_MS);
    longestMs = Math.max(longestMs, world.longestNamedOffMs());
  }
  return longestMs;
}

test.failing('routers that lose their power are not named for long', async (t) => {
  const world = await GroupWorld.create(8, 10);
  await world.clock.advance(SETTLING_MS);
  world.powerOff(0);
  world.powerOff(1);
  const longestMs = await longestNamedOffMs(world);
  t.true(longestMs <= BOUND_MS, `named ${longestMs} ms after the loss`);
});
