/** Streams at engines that read long prompts, under load: what routers know of each other's work decides. */
import test from 'ava';
import { PlacementHarness } from '../helpers/placement-harness.js';

/** Both kinds of a shared deployment, a third over the usual load: one engine in two reads at any moment. */
const LONG = {
  name: 'long',
  perSecond: 137,
  subjects: 1_314,
  sharedTokens: 6_300,
  ownTokens: 2_890,
  outputTokens: 9,
  objectiveMs: 815,
  longestPauseMs: 600,
  priority: 1,
};
const SHORT = {
  name: 'short',
  perSecond: 257,
  subjects: 954,
  sharedTokens: 198,
  ownTokens: 628,
  outputTokens: 49,
  objectiveMs: 607,
  longestPauseMs: 600,
  priority: 0,
};
const SCENARIO = { routers: 79, engines: 63, zones: 3, seed: 1, kinds: [LONG, SHORT] };
const PLAY_MS = 5_000;

async function sharesInTime(reports: {
  reportPeriodMs: number;
  reportFanout?: number;
}): Promise<{ long: number; short: number }> {
  const world = await PlacementHarness.create({ ...SCENARIO, ...reports });
  await world.play(PLAY_MS);
  const shareOf = (name: string): number => {
    const figures = world.figures.get(name);
    return figures ? figures.inTime / figures.asked : 0;
  };
  return { long: shareOf('long'), short: shareOf('short') };
}

test('routers that know the work of all, a tenth of a second old, keep streams in time', async (t) => {
  const shares = await sharesInTime({ reportPeriodMs: 100 });
  t.log(shares);
  t.true(shares.long > 0.9);
  t.true(shares.short > 0.9);
});

test('routers that hear of a third of the work late send long prompts behind each other', async (t) => {
  const shares = await sharesInTime({ reportPeriodMs: 250, reportFanout: 4 });
  t.log(shares);
  t.true(shares.long < 0.88);
  t.true(shares.short < 0.88);
});
