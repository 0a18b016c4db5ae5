/** When a request is rejected, and when its caller is told to come back. */
import test from 'ava';
import fc from 'fast-check';
import { Rejections } from '../../src/coordination/gateway/rejections.js';
import { GatewayStatistics } from '../../src/coordination/gateway/gateway-statistics.js';
import { SeededRandom } from '../../src/runtime/random.js';
import { VirtualClock } from '../../src/runtime/virtual-clock.js';
import { EngineRegistry } from '../../src/state/routing/engine-registry.js';
import { FinishEstimate, type FinishSample } from '../../src/state/routing/finish-estimate.js';
import {
  RejectionAdvice,
  type RejectionFacts,
  RejectionReason,
} from '../../src/state/routing/rejection.js';
import { ReturnSchedule } from '../../src/state/routing/return-schedule.js';
import { StoreOutages } from '../../src/state/routing/store-outages.js';
import { engineRecord } from '../helpers/engine-record.js';

const MODEL = 'model-a';
const SHORTEST_MS = 100;
const LONGEST_WITH_JITTER_MS = 3_900;

const anyFacts: fc.Arbitrary<RejectionFacts> = fc.record({
  reason: fc.constantFrom(...Object.values(RejectionReason)),
  priority: fc.integer({ min: 0, max: 9 }),
  finishesPerSecond: fc.double({ min: 0, max: 500, noNaN: true }),
  excessMs: fc.double({ min: 0, max: 20_000, noNaN: true }),
  engineWaitMs: fc.double({ min: 0, max: 60_000, noNaN: true }),
  storeOutMs: fc.double({ min: 0, max: 60_000, noNaN: true }),
  hasPeers: fc.boolean(),
});

test('whatever is known, a caller is told a time within both bounds', (t) => {
  const property = fc.property(
    fc.array(fc.tuple(anyFacts, fc.integer({ min: 0, max: 400 })), { minLength: 1 }),
    fc.nat(),
    (rejections, seed) => {
      const advice = new RejectionAdvice(new SeededRandom(seed));
      let nowMs = 0;
      for (const [facts, pauseMs] of rejections) {
        nowMs += pauseMs;
        const afterMs = advice.retryAfterMs('service', facts, nowMs);
        t.true(afterMs >= SHORTEST_MS && afterMs <= LONGEST_WITH_JITTER_MS, `${afterMs}`);
      }
    },
  );
  fc.assert(property, { seed: 5, numRuns: 300 });
});

test('callers of one priority come back no faster than they can be served, until the horizon', (t) => {
  const property = fc.property(
    fc.array(fc.integer({ min: 0, max: 40 }), { minLength: 2, maxLength: 80 }),
    fc.integer({ min: 1, max: 200 }),
    (pausesMs, returnsPerSecond) => {
      const schedule = new ReturnSchedule();
      const gapMs = 1_000 / returnsPerSecond;
      let nowMs = 0;
      let latestMs = -Infinity;
      for (const pauseMs of pausesMs) {
        nowMs += pauseMs;
        const horizonMs = nowMs + 3_000;
        const atMs = schedule.book(4, nowMs + 100, returnsPerSecond, horizonMs);
        t.true(atMs >= latestMs + gapMs - 1e-6 || atMs === horizonMs);
        latestMs = atMs;
      }
    },
  );
  fc.assert(property, { seed: 6, numRuns: 300 });
});

test('the urgent come back before those of less urgency that were turned away earlier', (t) => {
  const schedule = new ReturnSchedule();
  const horizonMs = 10_000;
  const patient = [0, 1, 2, 3].map(() => schedule.book(5, 100, 10, horizonMs));
  const urgent = schedule.book(1, 100, 10, horizonMs);
  const nextPatient = schedule.book(5, 100, 10, horizonMs);
  t.deepEqual(patient, [100, 200, 300, 400]);
  t.is(urgent, 100);
  t.is(nextPatient, 500);
});

test('in an outage of the store callers are told to wait the longer the longer it lasts', (t) => {
  const advice = new RejectionAdvice({ next: () => 0 });
  const facts = {
    reason: RejectionReason.ConfigurationUnproven,
    priority: 1,
    finishesPerSecond: 10,
    excessMs: 0,
    engineWaitMs: 0,
    hasPeers: true,
  };
  const told = [0, 1_000, 4_000, 60_000].map((storeOutMs) =>
    advice.retryAfterMs('', { ...facts, storeOutMs }, 0),
  );
  t.deepEqual(told, [300, 500, 2_000, 3_000]);
  // A router that nobody responds to knows nothing of the others: they may well have a proof.
  t.is(advice.retryAfterMs('', { ...facts, storeOutMs: 60_000, hasPeers: false }, 0), 150);
});

/** Answers whose first token takes twice the time expected, with a piece each 50 ms for each token. */
function learnSlowAnswers(
  estimate: Pick<Rejections, 'notePause'>,
  noteEnd: (sample: FinishSample) => void,
): void {
  for (let count = 0; count < 200; count += 1) {
    noteEnd({ expectedMs: 1_000, firstTokenMs: 2_000, pieces: 10, outputTokens: 10 });
    estimate.notePause(MODEL, 50);
  }
}

test('the estimate is learnt from answers, and forgotten when they are old', (t) => {
  const estimate = new FinishEstimate();
  t.is(estimate.finishMs(MODEL, 1_000, 10, 0), undefined);
  learnSlowAnswers(estimate, (sample) => estimate.noteEnd(MODEL, sample, 100));
  const finishMs = estimate.finishMs(MODEL, 2_000, 20, 200) ?? 0;
  t.true(Math.abs(finishMs - 5_000) < 1, `${finishMs}`);
  t.is(estimate.finishMs('model-b', 2_000, 20, 200), undefined);
  t.is(estimate.finishMs(MODEL, 2_000, 20, 10_000), undefined);
});

test('what would end too late is rejected but for a sample', (t) => {
  const statistics = new GatewayStatistics();
  const rejections = new Rejections({
    clock: new VirtualClock(),
    random: new SeededRandom(9),
    outages: new StoreOutages(),
    statistics,
    hasPeers: () => true,
  });
  learnSlowAnswers(rejections, (sample) => rejections.noteEnd(MODEL, sample));
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
});
