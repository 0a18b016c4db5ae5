/**
 * Decides which prompts to save to a cache store that does not report its contents. An engine saves
 * the whole prompt, including the request's own part, even if the store already has it. If prompts
 * arrive so fast that the store evicts each within seconds, only prompts that consist mostly of
 * shared parts are worth saving. Pure.
 */
import type { CacheStore } from './configuration.js';
import type { GenerationShape } from './generation.js';
import { sharedTokensOf } from './prompt-sources.js';

/**
 * Minimum retention of a store that is not under pressure; on a busy deployment the prompts of a
 * subject recur within about 10 s.
 */
const MINIMUM_RETENTION_S = 10;
/** Minimum shared fraction of prompts saved to a store under pressure. */
const HIGH_PRESSURE_SHARED_FRACTION = 0.8;
/** Minimum shared fraction otherwise; prompts below it would mostly evict shared parts. */
const LOW_PRESSURE_SHARED_FRACTION = 0.5;

/** Whether the stores retain prompts long enough for reuse. */
export enum StorePressure {
  /** Prompts are retained long enough to be reused. */
  Low = 'low',
  /** Prompts are evicted before they are reused. */
  High = 'high',
}

/**
 * Compares the capacity of the stores with the rate of unshared tokens. Shared parts are stored
 * once, however often they are saved, so unshared parts determine how fast a store fills.
 *
 * @param unsharedTokensPerSecond unshared tokens in the prompts that the whole group sends to
 * engines
 */
export function storePressure(
  unsharedTokensPerSecond: number,
  stores: readonly CacheStore[],
): StorePressure {
  const capacityTokens = stores.reduce((sum, store) => sum + store.capacityTokens, 0);
  const isOverloaded = unsharedTokensPerSecond * MINIMUM_RETENTION_S > capacityTokens;
  return isOverloaded ? StorePressure.High : StorePressure.Low;
}

/**
 * Whether a prompt with shared parts should be saved to a store that does not report its contents.
 */
export function isWorthSaving(generation: GenerationShape, pressure: StorePressure): boolean {
  const minimumShare =
    pressure === StorePressure.Low ? LOW_PRESSURE_SHARED_FRACTION : HIGH_PRESSURE_SHARED_FRACTION;
  return sharedTokensOf(generation) >= generation.promptTokens * minimumShare;
}
