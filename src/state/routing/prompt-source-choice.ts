/** From where an engine takes the parts of a prompt that it lacks, and where they are saved. Pure. */
import type { CacheStore, EngineProfile } from './configuration.js';
import { type Engine, type EngineRecord, versionAt } from './engine-registry.js';
import type { GenerationShape } from './generation.js';
import {
  type BestSource,
  type CachedPromptsBySalt,
  type CachedPrompt,
  paysToFetch,
  sharedTokensOf,
} from './prompt-sources.js';
import { type StorePressure, isWorthSaving } from './save-choice.js';

/** What one placement knows of its prompt. */
export interface PromptView {
  readonly generation: GenerationShape;
  readonly kept: CachedPromptsBySalt;
  /** First engines of the subject's ranking that may be used now. */
  readonly homes: readonly Engine[];
  /** The store that all routers agree on for the subject. */
  readonly store: CacheStore | undefined;
  readonly storePressure: StorePressure;
}

/**
 * From where the engine takes what it lacks. Of holders that do not report, a router knows only what it
 * sent there itself a while ago, and memory is evicted within seconds: there the store goes first, and it
 * is named even where the engine is believed to keep all. Where nothing is known it is a guess; a wrong
 * one costs a millisecond, reading again a hundred times that.
 */
export function sourceAddress(
  engine: Engine,
  ownTokens: number,
  known: BestSource | undefined,
  prompt: PromptView,
  profile: EngineProfile | undefined,
): string | undefined {
  if (known?.isReported) return known.address;
  const keepsAll = ownTokens >= sharedTokensOf(prompt.generation);
  if (keepsAll && prompt.kept.isReported(engine.record.id)) return undefined;
  const lastResort = keepsAll ? undefined : otherHome(engine, prompt);
  const source = storeToAsk(engine, prompt.store, profile) ?? known ?? lastResort;
  return source?.address;
}

/** The store, where an engine takes tokens from it sooner than it reads them. */
function storeToAsk(
  engine: Engine,
  store: CacheStore | undefined,
  profile: EngineProfile | undefined,
): CacheStore | undefined {
  if (!store || !profile) return undefined;
  return paysToFetch(engine, store, profile) ? store : undefined;
}

/** The first other engine of the subject's ranking that has the same weights. */
function otherHome(engine: Engine, { generation, homes }: PromptView): EngineRecord | undefined {
  const version = versionAt(engine, generation.model);
  const home = homes.find(
    (each) => each !== engine && versionAt(each, generation.model) === version,
  );
  return home?.record;
}

/** The store that should get this prompt's shared parts; undefined where it has them. */
export function storeToSave(kept: CachedPrompt, prompt: PromptView): string | undefined {
  const sharedTokens = sharedTokensOf(prompt.generation);
  if (sharedTokens === 0 || !prompt.store) return undefined;
  const { address } = prompt.store;
  const isReported = prompt.kept.isReported(address);
  if (!isReported && !isWorthSaving(prompt.generation, prompt.storePressure)) return undefined;
  return (kept.tokensByHolder.get(address) ?? 0) < sharedTokens ? address : undefined;
}
