/** Chooses the source of an engine's missing prompt parts and the store that saves them. Pure. */
import type { CacheStore, EngineProfile } from './configuration.js';
import { type Engine, type EngineRecord, versionAt } from './engine-registry.js';
import type { EngineSpeed } from './engine-speeds.js';
import type { GenerationShape } from './generation.js';
import {
  type BestSource,
  type CachedPromptsBySalt,
  type CachedPrompt,
  isFetchFasterThanPrefill,
  sharedTokensOf,
} from './prompt-sources.js';
import { type StorePressure, isWorthSaving } from './save-choice.js';

/** A placement's view of its prompt. */
export interface PromptView {
  readonly generation: GenerationShape;
  readonly cachedPrompts: CachedPromptsBySalt;
  /** Highest-ranked engines for the affinity key that are currently eligible. */
  readonly homes: readonly Engine[];
  /** Store ranked first for the affinity key, the same on all routers. */
  readonly store: CacheStore | undefined;
  readonly storePressure: StorePressure;
}

/**
 * Returns the address from which the engine fetches missing prompt parts. Without cache events, a
 * router observes only the prompts that it sent itself, and engines evict within seconds. The store
 * is then preferred over such a source, and is used even if the engine should have the whole prefix
 * cached. A fetch that finds nothing is far cheaper than repeated prefill.
 */
export function sourceAddress(
  engine: Engine,
  ownTokens: number,
  knownSource: BestSource | undefined,
  prompt: PromptView,
  profile: EngineProfile | undefined,
  speed: EngineSpeed,
): string | undefined {
  if (knownSource?.isReported) return knownSource.address;
  const hasAllCached = ownTokens >= sharedTokensOf(prompt.generation);
  if (hasAllCached && prompt.cachedPrompts.isReported(engine.record.id)) return undefined;
  const fallback = hasAllCached ? undefined : otherHomeEngine(engine, prompt);
  const source = storeToFetchFrom(engine, prompt.store, profile, speed) ?? knownSource ?? fallback;
  return source?.address;
}

/** The store, if fetching from it is faster than prefill. */
function storeToFetchFrom(
  engine: Engine,
  store: CacheStore | undefined,
  profile: EngineProfile | undefined,
  speed: EngineSpeed,
): CacheStore | undefined {
  if (!store || !profile) return undefined;
  return isFetchFasterThanPrefill(engine, store, profile, speed) ? store : undefined;
}

/** The highest-ranked other engine that has the same weight version. */
function otherHomeEngine(
  engine: Engine,
  { generation, homes }: PromptView,
): EngineRecord | undefined {
  const version = versionAt(engine, generation.model);
  const home = homes.find(
    (each) => each !== engine && versionAt(each, generation.model) === version,
  );
  return home?.record;
}

/**
 * The store that should save the shared parts; undefined if it has them or they are not worth it.
 */
export function storeToSave(cachedPrompt: CachedPrompt, prompt: PromptView): string | undefined {
  const sharedTokens = sharedTokensOf(prompt.generation);
  if (sharedTokens === 0 || !prompt.store) return undefined;
  const { address } = prompt.store;
  const isReported = prompt.cachedPrompts.isReported(address);
  if (!isReported && !isWorthSaving(prompt.generation, prompt.storePressure)) return undefined;
  return (cachedPrompt.tokensByHolder.get(address) ?? 0) < sharedTokens ? address : undefined;
}
