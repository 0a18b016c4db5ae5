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
}

/** What to do for one model now. */
export interface RolloutPlan {
  readonly model: string;
  readonly version: number;
  /** Engines to order now: those of the oldest weights first, then the least busy. */
  readonly engines: readonly Engine[];
}

/** Whether an engine is being changed by an order that was given. */
export type IsLoading = (engineId: string) => boolean;

/**
 * The engines to order now. Rolling starts as late as the earliest deadline allows, so that a version
 * named shortly after is met by the same load.
 */
export function planRollout(
  model: string,
  engines: readonly Engine[],
  versions: WeightVersions,
  isLoading: IsLoading,
  requestsAt: (engineId: string) => number,
  settings: RolloutSettings,
  nowMs: number,
): RolloutPlan | undefined {
  const newest = versions.newest(model);
  if (newest === undefined) return undefined;
  const active = engines.filter((engine) => !engine.record.isDraining);
  const behind = active.filter((engine) => (versionAt(engine, model) ?? 0) < newest);
  if (behind.length === 0) return undefined;
  const dueMs = earliestDueMs(model, behind, versions, nowMs);
  const batchSize = Math.max(1, Math.floor(active.length / settings.batches));
  const batchesLeft = Math.ceil(behind.length / batchSize);
  const startMs = dueMs - settings.marginMs - batchesLeft * settings.batchMs;
  if (nowMs < startMs) return undefined;
  const loading = behind.filter((engine) => isLoading(engine.record.id)).length;
  // Past the deadline the engines behind serve nothing, so there is nothing to spare.
  const room = nowMs >= dueMs ? behind.length : batchSize - loading;
  const next = behind
    .filter((engine) => !isLoading(engine.record.id))
    .sort(
      (left, right) =>
        (versionAt(left, model) ?? 0) - (versionAt(right, model) ?? 0) ||
        requestsAt(left.record.id) - requestsAt(right.record.id),
    )
    .slice(0, Math.max(0, room));
  return next.length === 0 ? undefined : { model, version: newest, engines: next };
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
