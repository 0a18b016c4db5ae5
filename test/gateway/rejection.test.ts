/** Guards against retry delays out of bounds, retry storms and wrong admission decisions. */
import test from 'ava';
import fc from 'fast-check';
import { Rejections } from '../../src/coordination/gateway/rejections.js';
import { GatewayStatistics } from '../../src/coordination/gateway/gateway-statistics.js';
import { SeededRandom } from '../../src/runtime/random.js';
import { VirtualClock } from '../../src/runtime/virtual-clock.js';
import { EngineRegistry } from '../../src/state/routing/engine-registry.js';
import { FinishEstimate, type FinishSample } from '../../src/state/routing/finish-estimate.js';
import {
  RetryDelays,
  type RejectionContext,
  RejectionReason,
} from '../../src/state/routing/rejection.js';
import { RetrySchedule } from '../../src/state/routing/retry-schedule.js';
import { StoreOutages } from '../../src/state/routing/store-outages.js';
import { engineRecord } from '../helpers/engine-record.js';

const MODEL = 'model-a';
const MINIMUM_DELAY_MS = 100;
const MAXIMUM_DELAY_WITH_JITTER_MS = 3_900;

const anyContext: fc.Arbitrary<RejectionContext> = fc.record({
  reason: fc.constantFrom(...Object.values(RejectionReason)),
  priority: fc.integer({ min: 0, max: 9 }),
  finishesPerSecond: fc.double({ min: 0, max: 500, noNaN: true }),
  excessMs: fc.double({ min: 0, max: 20_000, noNaN: true }),
  engineWaitMs: fc.double({ min: 0, max: 60_000, noNaN: true }),
  storeOutMs: fc.double({ min: 0, max: 60_000, noNaN: true }),
  hasPeers: fc.boolean(),
});

test('retry delays are always within their bounds', (t) => {
  const property = fc.property(
    fc.array(fc.tuple(anyContext, fc.integer({ min: 0, max: 400 })), { minLength: 1 }),
    fc.nat(),
    (rejections, seed) => {
      const retryDelays = new RetryDelays(new SeededRandom(seed));
      let nowMs = 0;
      for (const [context, pauseMs] of rejections) {
        nowMs += pauseMs;
        const delayMs = retryDelays.retryAfterMs('service', context, nowMs);
        t.true(
          delayMs >= MINIMUM_DELAY_MS && delayMs <= MAXIMUM_DELAY_WITH_JITTER_MS,
          `${delayMs}`,
        );
      }
    },
  );
  fc.assert(property, { seed: 5, numRuns: 300 });
});

test('retries of one priority are reserved no faster than the given rate, up to the horizon', (t) => {
  const property = fc.property(
    fc.array(fc.integer({ min: 0, max: 40 }), { minLength: 2, maxLength: 80 }),
    fc.integer({ min: 1, max: 200 }),
    (pausesMs, retriesPerSecond) => {
      const schedule = new RetrySchedule();
      const gapMs = 1_000 / retriesPerSecond;
      let nowMs = 0;
      let latestMs = -Infinity;
      for (const pauseMs of pausesMs) {
        nowMs += pauseMs;
        const horizonMs = nowMs + 3_000;
        const atMs = schedule.reserve(4, nowMs + 100, retriesPerSecond, horizonMs);
        t.true(atMs >= latestMs + gapMs - 1e-6 || atMs === horizonMs);
        latestMs = atMs;
      }
    },
  );
  fc.assert(property, { seed: 6, numRuns: 300 });
});

test('retries of a higher priority precede earlier reservations of lower priorities', (t) => {
  const schedule = new RetrySchedule();
  const horizonMs = 10_000;
  const lowPriority = [0, 1, 2, 3].map(() => schedule.reserve(5, 100, 10, horizonMs));
  const highPriority = schedule.reserve(1, 100, 10, horizonMs);
  const nextLowPriority = schedule.reserve(5, 100, 10, horizonMs);
  t.deepEqual(lowPriority, [100, 200, 300, 400]);
  t.is(highPriority, 100);
  t.is(nextLowPriority, 500);
});

test('the retry delay grows with the duration of a store outage', (t) => {
  const retryDelays = new RetryDelays({ next: () => 0 });
  const context = {
    reason: RejectionReason.ConfigurationUnproven,
    priority: 1,
    finishesPerSecond: 10,
    excessMs: 0,
    engineWaitMs: 0,
    hasPeers: true,
  };
  const delaysMs = [0, 1_000, 4_000, 60_000].map((storeOutMs) =>
    retryDelays.retryAfterMs('', { ...context, storeOutMs }, 0),
  );
  t.deepEqual(delaysMs, [300, 500, 2_000, 3_000]);
  // Without responding peers the state of the other routers is unknown; they may have a proof.
  t.is(retryDelays.retryAfterMs('', { ...context, storeOutMs: 60_000, hasPeers: false }, 0), 150);
});

/** Records responses with twice the expected time to first token, then a token every 50 ms. */
function recordSlowResponses(
  estimate: Pick<Rejections, 'notePause'>,
  noteEnd: (sample: FinishSample) => void,
): void {
  for (let count = 0; count < 200; count += 1) {
    noteEnd({ expectedMs: 1_000, firstTokenMs: 2_000, chunkCount: 10, outputTokens: 10 });
    estimate.notePause(MODEL, 50);
  }
}

test('the estimate is computed from recent responses only', (t) => {
  const estimate = new FinishEstimate();
  t.is(estimate.finishMs(MODEL, 1_000, 10, 0), undefined);
  recordSlowResponses(estimate, (sample) => estimate.noteEnd(MODEL, sample, 100));
  const finishMs = estimate.finishMs(MODEL, 2_000, 20, 200) ?? 0;
  t.true(Math.abs(finishMs - 5_000) < 1, `${finishMs}`);
  t.is(estimate.finishMs('model-b', 2_000, 20, 200), undefined);
  t.is(estimate.finishMs(MODEL, 2_000, 20, 10_000), undefined);
});

test('requests estimated to end too late are rejected, except for a sample', (t) => {
  const statistics = new GatewayStatistics();
  const rejections = new Rejections({
    clock: new VirtualClock(),
    random: new SeededRandom(9),
    outages: new StoreOutages(),
    statistics,
    hasPeers: () => true,
  });
  recordSlowResponses(rejections, (sample) => rejections.noteEnd(MODEL, sample));
  const registry = new EngineRegistry();
  const record = engineRecord('engine-1', undefined);
  registry.put(record);
  const [engine] = registry.ofService('generation');
  if (!engine) throw new Error('no engine');
  const placement = {
    engine,
    expectedVersion: 1,
    cacheSalt: 'salt',
    fetchFrom: undefined,
    saveTo: undefined,
    unreadTokens: 100,
    expectedMs: 2_000,
    costMs: 2_000,
  };
  const generation = { model: MODEL, parts: [], promptTokens: 100, maximumOutputTokens: 10 };
  t.deepEqual(rejections.admit(generation, placement, 9_200), { kind: 'admitted' });
  const verdicts = Array.from({ length: 400 }, () =>
    rejections.admit(generation, placement, 8_000),
  );
  const samples = verdicts.filter(({ kind }) => kind === 'sample').length;
  t.true(samples > 10 && samples < 50, `${samples} samples`);
  t.is(statistics.tooLateRejections, 400 - samples);
  t.is(statistics.tooLateSamples, samples);
  const [first] = verdicts.filter(({ kind }) => kind === 'too-late');
  t.like(first, { kind: 'too-late' });
  t.true(first?.kind === 'too-late' && (first.inputs?.firstTokenRatio ?? 0) > 1);
});
