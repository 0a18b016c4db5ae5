/** Guards against late streams under load, which depend on how recent the load reports are. */
import test from 'ava';
import { PlacementHarness } from '../helpers/placement-harness.js';

/** Two kinds of traffic; about half of the engines are prefilling at any time. */
const LONG = {
  name: 'long',
  perSecond: 137,
  affinityKeyCount: 1_314,
  sharedTokens: 6_300,
  ownTokens: 2_890,
  outputTokens: 9,
  firstTokenObjectiveMs: 815,
  maximumPauseMs: 600,
  priority: 1,
};
const SHORT = {
  name: 'short',
  perSecond: 257,
  affinityKeyCount: 954,
  sharedTokens: 198,
  ownTokens: 628,
  outputTokens: 49,
  firstTokenObjectiveMs: 607,
  maximumPauseMs: 600,
  priority: 0,
};
const SCENARIO = { routers: 79, engines: 63, zones: 3, seed: 1, kinds: [LONG, SHORT] };
const TRAFFIC_MS = 5_000;

async function onTimeShares(reports: {
  reportPeriodMs: number;
  reportFanout?: number;
}): Promise<{ long: number; short: number }> {
  const harness = await PlacementHarness.create({ ...SCENARIO, ...reports });
  await harness.run(TRAFFIC_MS);
  const shareOf = (name: string): number => {
    const outcomes = harness.outcomes.get(name);
    return outcomes ? outcomes.onTime / outcomes.sent : 0;
  };
  return { long: shareOf('long'), short: shareOf('short') };
}

test('streams are on time if routers know the whole load with a delay of 100 ms', async (t) => {
  const shares = await onTimeShares({ reportPeriodMs: 100 });
  t.log(shares);
  t.true(shares.long > 0.9);
  t.true(shares.short > 0.9);
});

test('streams are late if routers know only part of the load with a longer delay', async (t) => {
  const shares = await onTimeShares({ reportPeriodMs: 250, reportFanout: 4 });
  t.log(shares);
  t.true(shares.long < 0.88);
  t.true(shares.short < 0.88);
});
