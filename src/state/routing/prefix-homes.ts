/**
 * Home engines of a prompt's affinity key where the locations of prefixes are learned from the reads
 * of the group. Elsewhere the number of homes is fixed. Pure.
 */
import { type Engine, versionAt } from './engine-registry.js';
import { type GenerationShape, affinityKeyOf } from './generation.js';
import type { CachedPrefixes } from './cached-prefixes.js';
import type { EngineSpeedView } from './engine-speeds.js';
import { type CachedPromptsBySalt, sharedTokensOf } from './prompt-sources.js';
import { replicaCount } from './replica-count.js';

/** Engines of the home ranking that are always considered. */
export const HOME_COUNT = 3;
/** Bounds the cost of ranking; more engines get the prefix by fetches if their load is lower. */
const MAXIMUM_REPLICAS = 12;

/** Number of homes, by the rate at which the group's requests use the affinity key. */
export function homeCount(
  generation: GenerationShape,
  cachedPrompts: CachedPromptsBySalt,
  candidates: readonly Engine[],
  cachedPrefixes: CachedPrefixes,
  speeds: EngineSpeedView,
  nowMs: number,
): number {
  const [first] = candidates;
  if (!cachedPrefixes.learnsFromReads || !first) return HOME_COUNT;
  const { salt } = cachedPrompts.of(versionAt(first, generation.model) ?? 0);
  const partId = affinityKeyOf(generation);
  const requestsPerSecond = cachedPrefixes.readsPerSecond(salt, partId, nowMs);
  const ownTokens = generation.promptTokens - sharedTokensOf(generation);
  const prefillMs = ownTokens / speeds.at(first.record.id).prefillTokensPerMs;
  const replicas = replicaCount({ requestsPerSecond, prefillMs }, 1, MAXIMUM_REPLICAS);
  return HOME_COUNT - 1 + replicas;
}

/**
 * Share of the affinity cost that an engine has by its rank: 0 for the replicas of a popular prefix,
 * 1 for engines that are not among the homes.
 */
export function affinityCostShare(engine: Engine, homes: readonly Engine[]): number {
  const rank = homes.indexOf(engine);
  const extraReplicas = Math.max(0, homes.length - HOME_COUNT);
  return rank < 0 ? 1 : Math.max(0, rank - extraReplicas) / HOME_COUNT;
}

/**
 * Whether a prompt should go to a home of its affinity key. Where the locations are learned from
 * reads, most engines have the parts that all prompts share, so only a prompt whose shared parts are
 * all available counts as cached. Otherwise routers that see the first requests of a prefix at the
 * same time would send them to different engines.
 *
 * @param availableTokens shared tokens that the engine has or can fetch
 */
export function isHomePreferred(
  availableTokens: number,
  generation: GenerationShape,
  cachedPrefixes: CachedPrefixes,
): boolean {
  if (!cachedPrefixes.learnsFromReads) return availableTokens === 0;
  return availableTokens < sharedTokensOf(generation);
}
