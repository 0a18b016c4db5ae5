/** Plans which engines load new weights, and when. Pure. */
import { type Engine, versionAt } from './engine-registry.js';
import type { WeightVersions } from './weight-versions.js';

/** Parameters of a rollout. */
export interface RolloutSettings {
  /** Time from the publication of a version until all engines should serve it. */
  readonly graceMs: number;
  /** Expected time for one batch of engines to finish running requests and load the weights. */
  readonly batchMs: number;
  /** Batches into which the engines of a model are divided. */
  readonly batches: number;
  /** Safety margin before the deadline. */
  readonly marginMs: number;
  /** Time until another router takes over from a coordinator that fails. */
  readonly handoverMs: number;
  /** Cost of a request that starts on outdated weights, as a share of the value of a request. */
  readonly replacedWeightsLoss: number;
  /** Cost of one load, including the downtime of the engine, in values of a request. */
  readonly loadCostRequests: number;
}

/** Observed rates that decide when a rollout starts. */
export interface RolloutObservations {
  /** Rate at which the group sends requests for the model to engines. */
  readonly requestsPerSecond: number;
  /** Rate at which operators publish versions of the model. */
  readonly namesPerSecond: number;
}

/** Why a rollout proceeds or waits. */
export enum RolloutReason {
  /** Waiting costs less than the loads that the next version may make unnecessary. */
  Waiting = 'waiting',
  /** Requests on outdated weights cost more than waiting may save. */
  Profitable = 'worth',
  /** The earliest deadline allows no further delay. */
  Deadline = 'deadline',
}

/** The next step of the rollout of one model. */
export interface RolloutPlan {
  readonly model: string;
  readonly version: number;
  readonly reason: RolloutReason;
  /** Number of engines with older weights. */
  readonly behind: number;
  /** Engines to load now: oldest weights first, then least busy; empty while waiting. */
  readonly engines: readonly Engine[];
}

/** The state from which the rollout of one model is planned. */
export interface RolloutView {
  readonly model: string;
  /** All engines that serve the model. */
  readonly engines: readonly Engine[];
  readonly versions: WeightVersions;
  readonly observed: RolloutObservations;
  /** Whether an engine is executing a load command. */
  isLoading(engineId: string): boolean;
  /** Whether an engine is skipped for a while because it refused a load command. */
  isPaused(engineId: string): boolean;
  /** Number of running requests at an engine. */
  requestsAt(engineId: string): number;
}

/**
 * Returns the plan for a model; undefined if all engines have the newest weights. A rollout starts
 * at once if requests on outdated weights cost more than waiting may save. Otherwise it starts as
 * late as the earliest deadline allows, so that one load can cover several versions published in
 * succession.
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
  const isProfitable = isStartProfitable(behind.length, active.length, view.observed, settings);
  const plan = { model, version: newest, behind: behind.length };
  if (!isDue && !isProfitable) return { ...plan, reason: RolloutReason.Waiting, engines: [] };
  const reason = isProfitable ? RolloutReason.Profitable : RolloutReason.Deadline;
  // Past the deadline outdated engines serve no requests, so all of them can load at once.
  const batchLimit = nowMs >= dueMs ? behind.length : batchSize;
  return { ...plan, reason, engines: nextEngines(behind, batchLimit, view) };
}

/** Selects engines in addition to those already loading: oldest weights first, then least busy. */
function nextEngines(behind: readonly Engine[], batchLimit: number, view: RolloutView): Engine[] {
  const { model } = view;
  const isLoading = (engine: Engine): boolean => view.isLoading(engine.record.id);
  const loading = behind.filter(isLoading).length;
  const idle = behind.filter((engine) => !isLoading(engine) && !view.isPaused(engine.record.id));
  const room = batchLimit === behind.length ? idle.length : batchLimit - loading;
  const sorted = idle.sort(
    (left, right) =>
      (versionAt(left, model) ?? 0) - (versionAt(right, model) ?? 0) ||
      view.requestsAt(left.record.id) - view.requestsAt(right.record.id),
  );
  return sorted.slice(0, Math.max(0, room));
}

/**
 * Whether a second of waiting costs more than it may save. Requests on outdated engines lose a
 * share of their value; a version published within that second saves one load of each of these
 * engines.
 */
export function isStartProfitable(
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
  const deadlinesMs = behind.map((engine) =>
    versions.dueMs(model, versionAt(engine, model) ?? 0, nowMs),
  );
  return Math.min(...deadlinesMs.map((deadlineMs) => deadlineMs ?? Infinity));
}
