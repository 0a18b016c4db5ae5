/** Plans which engines take new weights, and when. Pure. */
import { type Engine, versionAt } from './engine-registry.js';
import type { WeightVersions } from './weight-versions.js';

/** How fast engines take weights. */
export interface RolloutSettings {
  /** Time from naming a version until all engines should serve it. */
  readonly graceMs: number;
  /** Expected time for one batch of engines: running requests end, weights load. */
  readonly batchMs: number;
  /** Batches into which the engines of a model are divided. */
  readonly batches: number;
  /** Kept free at the end. */
  readonly marginMs: number;
  /** Time another router needs to take over from one that fails while it gives orders. */
  readonly handoverMs: number;
  /** Share of a request's worth that is lost when it begins on replaced weights. */
  readonly replacedWeightsLoss: number;
  /** What a load costs, with the time the engine is out of service, in requests' worth. */
  readonly loadCostRequests: number;
}

/** What a rollout is weighed by. */
export interface RolloutObservations {
  /** Requests for the model that the group sends to engines, each second. */
  readonly requestsPerSecond: number;
  /** Versions of the model that operators name, each second. */
  readonly namesPerSecond: number;
}

/** Why a rollout goes on now, or waits. */
export enum RolloutReason {
  /** A version named soon may spare more loads than the wait loses. */
  Waiting = 'waiting',
  /** What requests on replaced weights lose is more than what a wait may save. */
  Worth = 'worth',
  /** The earliest deadline allows no longer wait. */
  Deadline = 'deadline',
}

/** What to do for one model now. */
export interface RolloutPlan {
  readonly model: string;
  readonly version: number;
  readonly reason: RolloutReason;
  /** Engines that have older weights. */
  readonly behind: number;
  /** Engines to order now: those of the oldest weights first, then the least busy; none while waiting. */
  readonly engines: readonly Engine[];
}

/** What a rollout of one model is planned from. */
export interface RolloutView {
  readonly model: string;
  /** All that hold the model. */
  readonly engines: readonly Engine[];
  readonly versions: WeightVersions;
  readonly observed: RolloutObservations;
  /** Whether an engine is being changed by an order that was given. */
  isLoading(engineId: string): boolean;
  /** Whether an engine is left alone because it did not take an order; others go first meanwhile. */
  isPaused(engineId: string): boolean;
  /** Requests under way at an engine. */
  requestsAt(engineId: string): number;
}

/**
 * The engines to order now; undefined where all have the newest weights. A rollout starts at once where requests on replaced weights lose more than
 * a wait may save; otherwise as late as the earliest deadline allows, so that a version named shortly
 * after is met by the same load.
 */
export function planRollout(
  view: RolloutView,
  settings: RolloutSettings,
  nowMs: number,
): RolloutPlan | undefined {
  const { model, versions } = view;
  const newest = versions.newest(model);
  if (newest === undefined) return undefined;
  const active = view.engines.filter((engine) => !engine.record.isDraining);
  const behind = active.filter((engine) => (versionAt(engine, model) ?? 0) < newest);
  if (behind.length === 0) return undefined;
  const dueMs = earliestDueMs(model, behind, versions, nowMs);
  const batchSize = Math.max(1, Math.round(active.length / settings.batches));
  const batchesLeft = Math.ceil(behind.length / batchSize);
  const rollingMs = batchesLeft * settings.batchMs + settings.handoverMs;
  const isDue = nowMs >= dueMs - settings.marginMs - rollingMs;
  const isWorth = paysNow(behind.length, active.length, view.observed, settings);
  const plan = { model, version: newest, behind: behind.length };
  if (!isDue && !isWorth) return { ...plan, reason: RolloutReason.Waiting, engines: [] };
  const reason = isWorth ? RolloutReason.Worth : RolloutReason.Deadline;
  // Past the deadline the engines behind serve nothing, so there is nothing to spare.
  const atOnce = nowMs >= dueMs ? behind.length : batchSize;
  return { ...plan, reason, engines: nextEngines(behind, atOnce, view) };
}

/** Engines to order beside those that load already: the oldest weights first, then the least busy. */
function nextEngines(behind: readonly Engine[], atOnce: number, view: RolloutView): Engine[] {
  const { model } = view;
  const isLoading = (engine: Engine): boolean => view.isLoading(engine.record.id);
  const loading = behind.filter(isLoading).length;
  const idle = behind.filter((engine) => !isLoading(engine) && !view.isPaused(engine.record.id));
  const room = atOnce === behind.length ? idle.length : atOnce - loading;
  const sorted = idle.sort(
    (left, right) =>
      (versionAt(left, model) ?? 0) - (versionAt(right, model) ?? 0) ||
      view.requestsAt(left.record.id) - view.requestsAt(right.record.id),
  );
  return sorted.slice(0, Math.max(0, room));
}

/**
 * Whether a second of waiting loses more than it may save: requests at the engines behind lose a share
 * of their worth, and a version named within that second would spare a load of each of them.
 */
export function paysNow(
  behind: number,
  active: number,
  { requestsPerSecond, namesPerSecond }: RolloutObservations,
  { replacedWeightsLoss, loadCostRequests }: RolloutSettings,
): boolean {
  const lost = requestsPerSecond * (behind / active) * replacedWeightsLoss;
  const saved = namesPerSecond * behind * loadCostRequests;
  return lost > saved;
}

function earliestDueMs(
  model: string,
  behind: readonly Engine[],
  versions: WeightVersions,
  nowMs: number,
): number {
  const dues = behind.map((engine) => versions.dueMs(model, versionAt(engine, model) ?? 0, nowMs));
  return Math.min(...dues.map((due) => due ?? Infinity));
}
