/**
 * Guards against shared prompt parts that are prefilled again because each router of a large group
 * knows only its own requests, and against estimates of unread tokens that are far from the truth.
 */
import test from 'ava';
import type { BatchingEngine } from '../helpers/batching-engine.js';
import { PlacementHarness } from '../helpers/placement-harness.js';
import type { GenerationKind, PlacementScenario } from '../helpers/placement-scenario.js';

const LONG: GenerationKind = {
  name: 'long',
  perSecond: 91,
  affinityKeyCount: 732,
  sharedTokens: 6_300,
  root: { count: 4, tokens: 2_520, name: 'base' },
  cachesOwnParts: true,
  ownTokens: 2_890,
  outputTokens: 10,
  firstTokenObjectiveMs: 815,
  maximumPauseMs: 500,
  priority: 1,
};
const SHORT: GenerationKind = {
  name: 'short',
  perSecond: 125,
  affinityKeyCount: 954,
  sharedTokens: 198,
  ownTokens: 628,
  outputTokens: 58,
  firstTokenObjectiveMs: 1_007,
  maximumPauseMs: 500,
  priority: 0,
};
/** Most subjects have been prefilled once after this time. */
const WARM_UP_MS = 12_000;
const COUNTED_MS = 8_000;
const SCENARIO: PlacementScenario = {
  routers: 84,
  engines: 63,
  zones: 3,
  kinds: [LONG, SHORT],
  reportPeriodMs: 100,
  seed: 1,
  countFromMs: WARM_UP_MS,
  hasFetches: true,
  fleet: {
    slots: 24,
    cacheTokens: 86_832,
    stepMs: 6.17,
    stepMsPerStream: 0,
    readTokensPerMs: 30.9,
    chunkTokens: 2_048,
    tokensPerEvent: 5,
    speeds: [0.6, 1, 1.6],
  },
};
const HOT = { share: 0.39, fromMs: 4_000, untilMs: 10_000, key: 0 };
const HOT_PART_ID = 'long-0';

interface Figures {
  readonly readAgainTokens: number;
  /** Tokens a long prompt that placement expected to be prefilled, and that were. */
  readonly expectedUnread: number;
  readonly actualUnread: number;
  readonly readsPerSecond: number;
  readonly onTimeLong: number;
  readonly onTimeShort: number;
}

function figuresOf(harness: PlacementHarness): Figures {
  const long = harness.outcomes.get('long');
  const short = harness.outcomes.get('short');
  const prefills = harness.prefills.get('long');
  if (!long || !short || !prefills) throw new Error('no outcomes');
  return {
    readAgainTokens: harness.sharedReadAgainTokens,
    expectedUnread: Math.round(prefills.believedUnreadTokens / prefills.admitted),
    actualUnread: Math.round(prefills.unreadTokens / prefills.admitted),
    readsPerSecond: (harness.reads?.summaryReads ?? 0) / (COUNTED_MS / 1_000),
    onTimeLong: long.onTime / long.sent,
    onTimeShort: short.onTime / short.sent,
  };
}

async function figuresWith(changes: Partial<PlacementScenario>): Promise<Figures> {
  const harness = await PlacementHarness.create({ ...SCENARIO, ...changes });
  await harness.run(WARM_UP_MS + COUNTED_MS);
  return figuresOf(harness);
}

for (const { seed, lostShare } of [
  { seed: 1, lostShare: 0 },
  { seed: 2, lostShare: 0.1 },
]) {
  test(`a large group prefills far fewer shared tokens again, ${lostShare} lost`, async (t) => {
    const before = await figuresWith({ seed });
    const after = await figuresWith({ seed, prefixReads: { lostShare } });
    t.log({ before, after });
    t.true(after.readAgainTokens < 0.45 * before.readAgainTokens);
    t.true(after.expectedUnread < 5_000);
    t.true(Math.abs(after.expectedUnread / after.actualUnread - 1) < 0.1);
    t.true(after.onTimeLong > before.onTimeLong - 0.02);
    t.true(after.onTimeShort > before.onTimeShort - 0.02);
  });
}

test('the engines that keep a prefix grow in number with its request rate and shrink after', async (t) => {
  const harness = await PlacementHarness.create({
    ...SCENARIO,
    kinds: [{ ...LONG, hotKey: HOT }, SHORT],
    countFromMs: HOT.fromMs,
    prefixReads: { lostShare: 0 },
  });
  const countAt = (ms: number): Promise<number> =>
    new Promise((resolve) => {
      harness.clock.setTimer(ms, () => {
        const isHolder = (engine: BatchingEngine): boolean => engine.cachedTokens(HOT_PART_ID) > 0;
        resolve(harness.engines.filter(isHolder).length);
      });
    });
  const SETTLED_MS = 4_000;
  const LONG_AFTER_MS = 12_000;
  const counts = Promise.all([
    countAt(HOT.fromMs),
    countAt(HOT.fromMs + SETTLED_MS),
    countAt(HOT.untilMs + LONG_AFTER_MS),
  ]);
  await harness.run(HOT.untilMs + LONG_AFTER_MS);
  const [before, during, after] = (await counts) as [number, number, number];
  t.log({ before, during, after });
  // 35 requests a second with 2,890 own tokens take the whole prefill time of 3.3 engines.
  t.true(during >= 5);
  t.true(during <= 16);
  t.true(before < during);
  t.true(after < during);
});
