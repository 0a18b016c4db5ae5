/** Guards against rollouts that start too late or too early, or load too many engines at once. */
import test from 'ava';
import { type Engine } from '../../src/state/routing/engine-registry.js';
import { SendRate } from '../../src/state/routing/send-rate.js';
import { StoreOutages } from '../../src/state/routing/store-outages.js';
import {
  type RolloutObservations,
  RolloutReason,
  type RolloutSettings,
  type RolloutView,
  planRollout,
} from '../../src/state/routing/weight-rollout.js';
import { WeightVersions } from '../../src/state/routing/weight-versions.js';
import { engineRecord } from '../helpers/engine-record.js';

const MODEL = 'model-a';
const GRACE_MS = 9_000;
const SETTINGS: RolloutSettings = {
  graceMs: GRACE_MS,
  batchMs: 850,
  batches: 4,
  marginMs: 500,
  handoverMs: 2_000,
  replacedWeightsLoss: 0.2,
  loadCostRequests: 2,
};
const BUSY: RolloutObservations = { requestsPerSecond: 50, namesPerSecond: 0.25 };
const IDLE: RolloutObservations = { requestsPerSecond: 2, namesPerSecond: 0.25 };

function enginesOf(versions: readonly number[]): Engine[] {
  return versions.map((version, index) => ({
    record: engineRecord(`engine-${index}`, undefined, {
      modelVersions: new Map([[MODEL, version]]),
    }),
    observedVersions: new Map<string, number>(),
    observedLoadCommands: undefined,
    isListed: true,
  }));
}

function viewOf(
  engines: readonly Engine[],
  observed: RolloutObservations,
  requests: ReadonlyMap<string, number> = new Map(),
): RolloutView {
  const versions = new WeightVersions(GRACE_MS, new StoreOutages());
  versions.record(MODEL, { version: 2, namedMs: 0, isWitnessed: true });
  versions.record(MODEL, { version: 3, namedMs: 4_000, isWitnessed: true });
  return {
    model: MODEL,
    engines,
    versions,
    observed,
    isLoading: () => false,
    isPaused: () => false,
    requestsAt: (engineId) => requests.get(engineId) ?? 0,
  };
}

test('engines with the oldest weights load first, then the least busy', (t) => {
  const engines = enginesOf([2, 1, 2, 1, 1, 2, 2, 2]);
  const requests = new Map([
    ['engine-1', 9],
    ['engine-3', 7],
    ['engine-4', 8],
  ]);
  const plan = planRollout(viewOf(engines, BUSY, requests), SETTINGS, 5_000);
  t.deepEqual(
    plan?.engines.map((engine) => engine.record.id),
    ['engine-3', 'engine-4'],
  );
});

test('a rollout starts at once if requests on outdated weights cost more than a load', (t) => {
  const plan = planRollout(viewOf(enginesOf([2, 2, 2, 2]), BUSY), SETTINGS, 4_000);
  t.is(plan?.reason, RolloutReason.Profitable);
  t.is(plan?.version, 3);
});

test('with few requests a rollout waits, but leaves time for another router to take over', (t) => {
  const view = viewOf(enginesOf([2, 2, 2, 2]), IDLE);
  const early = planRollout(view, SETTINGS, 4_000);
  t.is(early?.reason, RolloutReason.Waiting);
  t.deepEqual(early?.engines, []);
  // Four batches, the handover and the margin before the deadline.
  const latestMs = 4_000 + GRACE_MS - 500 - 2_000 - 4 * 850;
  t.is(planRollout(view, SETTINGS, latestMs - 1)?.reason, RolloutReason.Waiting);
  t.is(planRollout(view, SETTINGS, latestMs)?.reason, RolloutReason.Deadline);
});

test('the number of engines that load at once is limited to a share of the active ones', (t) => {
  for (const [engines, batchLimit] of [
    [1, 1],
    [3, 1],
    [7, 2],
    [8, 2],
    [13, 3],
    [63, 16],
  ] as const) {
    const behind = enginesOf(Array.from({ length: engines }, () => 2));
    const observed = { requestsPerSecond: 10 * engines, namesPerSecond: 0.25 };
    t.is(planRollout(viewOf(behind, observed), SETTINGS, 4_000)?.engines.length, batchLimit);
  }
});

test('the request rate is the mean over the last complete spans', (t) => {
  const rate = new SendRate();
  for (let nowMs = 0; nowMs < 6_000; nowMs += 100) rate.record(MODEL, 1, nowMs);
  t.is(rate.perSecond(MODEL, 6_000), 10);
  t.is(rate.perSecond(MODEL, 7_500), 5);
  t.is(rate.perSecond(MODEL, 60_000), 0);
  t.is(rate.perSecond('another', 6_000), 0);
});

test('engines that are already loading count towards the batch size', (t) => {
  const view = viewOf(enginesOf([2, 2, 2, 2, 2, 2, 2, 2]), BUSY);
  const loadingOne = { ...view, isLoading: (engineId: string) => engineId === 'engine-0' };
  const ids = (nowMs: number): (string | undefined)[] | undefined =>
    planRollout(loadingOne, SETTINGS, nowMs)?.engines.map(({ record }) => record.id);
  t.deepEqual(ids(5_000), ['engine-1']);
  // Past the deadline the batch size does not apply.
  t.is(ids(14_000)?.length, 7);
  const loadingAll = { ...view, isLoading: () => true };
  t.deepEqual(planRollout(loadingAll, SETTINGS, 5_000)?.engines, []);
});

test('there is no plan if all engines have the newest weights', (t) => {
  t.is(planRollout(viewOf(enginesOf([3, 3]), BUSY), SETTINGS, 5_000), undefined);
});

test('an engine that refuses load commands does not count towards the batch size', (t) => {
  const view = viewOf(enginesOf([1, 1, 2, 2, 2, 2, 2, 2]), BUSY);
  const paused = new Set(['engine-0', 'engine-1']);
  const plan = planRollout(
    { ...view, isPaused: (engineId: string) => paused.has(engineId) },
    SETTINGS,
    5_000,
  );
  t.deepEqual(
    plan?.engines.map(({ record }) => record.id),
    ['engine-2', 'engine-3'],
  );
});
