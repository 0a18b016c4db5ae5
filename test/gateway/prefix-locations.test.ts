/**
 * Guards against shared prompt parts that are prefilled again because each router of a large group
 * knows only its own requests, and against estimates of unread tokens that are far from the truth.
 */
import test from 'ava';
import {
  type GenerationKind,
  PlacementHarness,
  type PlacementScenario,
} from '../helpers/placement-harness.js';

const LONG: GenerationKind = {
  name: 'long',
  perSecond: 91,
  affinityKeyCount: 732,
  sharedTokens: 3_780,
  base: { count: 4, tokens: 2_520 },
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
  engineChanges: {
    slots: 24,
    cacheTokens: 86_832,
    stepMs: 6.17,
    readTokensPerMs: 30.9,
    chunkTokens: 2_048,
    tokensPerEvent: 5,
    slowdownFactors: [1 / 0.6, 1, 1 / 1.6],
  },
};
interface Figures {
  readonly readAgainShare: number;
  readonly readAgainTokens: number;
  readonly believed: number;
  readonly unread: number;
  readonly readsPerSecond: number;
  readonly onTimeLong: number;
  readonly onTimeShort: number;
}

async function figuresOf(changes: Partial<PlacementScenario>): Promise<Figures> {
  const harness = await PlacementHarness.create({ ...SCENARIO, ...changes });
  await harness.run(WARM_UP_MS + COUNTED_MS);
  const long = harness.outcomes.get('long');
  const short = harness.outcomes.get('short');
  if (!long || !short) throw new Error('no outcomes');
  return {
    readAgainTokens: harness.sharedReadAgainTokens,
    readAgainShare: harness.sharedReadAgainTokens / harness.readTokens,
    believed: Math.round(long.believedUnreadTokens / long.admitted),
    unread: Math.round(long.unreadTokens / long.admitted),
    readsPerSecond: (harness.reads?.summaryReads ?? 0) / (COUNTED_MS / 1_000),
    onTimeLong: long.onTime / long.sent,
    onTimeShort: short.onTime / short.sent,
  };
}

for (const seed of [1, 2]) {
  for (const hasFetches of [true, false]) {
    test(`trial ${seed} ${hasFetches}`, async (t) => {
      t.log('today', await figuresOf({ seed, hasFetches }));
      t.log('reads', await figuresOf({ seed, hasFetches, prefixReads: { lostShare: 0 } }));
      t.pass();
    });
  }
}
