/** Finds the holders of a prompt's cached prefix and the best source for an engine. Pure. */
import type { CacheNamespace } from './cache-namespace.js';
import type { CacheStore, EngineProfile } from './configuration.js';
import { DEFAULT_ENGINE_SPEED, type EngineSpeed } from './engine-speeds.js';
import type { Engine } from './engine-registry.js';
import { type GenerationShape, cacheSaltOf, sharedPartsOf } from './generation.js';
import type { CachedPrefixes } from './cached-prefixes.js';

/** Transfers between zones take this many times as long. */
const CROSS_ZONE_TRANSFER_FACTOR = 2;
const MILLISECONDS_PER_SECOND = 1_000;
const BITS_PER_BYTE = 8;
const BITS_PER_MEGABIT = 1e6;

/** Input for finding the cached prefixes of one prompt. */
export interface PromptLookup {
  readonly generation: GenerationShape;
  readonly cacheNamespace: CacheNamespace;
  readonly candidates: readonly Engine[];
  readonly profile: EngineProfile | undefined;
  readonly stores: readonly CacheStore[];
}

/** Holders of a prompt's cached prefix under one salt. */
export interface CachedPrompt {
  /** Length of the cached prefix by holder: an engine's incarnation or a store's address. */
  readonly tokensByHolder: ReadonlyMap<string, number>;
  readonly sources: readonly CachedPromptSource[];
}

/** A cached prompt with its salt. */
export interface SaltedPrompt extends CachedPrompt {
  readonly salt: string;
}

/** An engine or store that has a prefix of the prompt cached. */
interface CachedPromptSource {
  readonly tokens: number;
  readonly address: string;
  readonly zone: string;
  readonly linkMbps: number;
  /** Whether its cache events are received; otherwise it may have evicted the prefix. */
  readonly isReported: boolean;
}

/** The source from which an engine should fetch a cached prefix. */
export interface BestSource {
  readonly address: string;
  readonly tokens: number;
  readonly fetchMs: number;
  /** Whether its cache events are received; otherwise it may have evicted the prefix. */
  readonly isReported: boolean;
}

/** Cached prefixes of one prompt, looked up once per salt. */
export class CachedPromptsBySalt {
  private readonly byVersion = new Map<number, SaltedPrompt>();

  constructor(
    private readonly lookup: PromptLookup,
    private readonly cachedPrefixes: CachedPrefixes,
  ) {}

  private saltOf(version: number): string {
    return cacheSaltOf(this.lookup.generation.model, version, this.lookup.cacheNamespace);
  }

  isReported(holder: string): boolean {
    return this.cachedPrefixes.isReported(holder);
  }

  /** Holders of the prompt's prefix for engines with this weight version. */
  of(version: number): SaltedPrompt {
    let cachedPrompt = this.byVersion.get(version);
    if (!cachedPrompt) {
      const salt = this.saltOf(version);
      cachedPrompt = { salt, ...this.findCachedPrompt(salt) };
      this.byVersion.set(version, cachedPrompt);
    }
    return cachedPrompt;
  }

  private findCachedPrompt(salt: string): CachedPrompt {
    const { generation, profile, stores, candidates } = this.lookup;
    const tokensByHolder = this.cachedPrefixes.leadingTokens(salt, generation.parts);
    const sources: CachedPromptSource[] = [];
    if (tokensByHolder.size === 0 || !profile) return { tokensByHolder, sources };
    for (const { record } of candidates) {
      const tokens = tokensByHolder.get(record.id);
      if (tokens === undefined) continue;
      const { address, zone } = record;
      const isReported = this.cachedPrefixes.isReported(record.id);
      sources.push({ tokens, address, zone, linkMbps: profile.linkMbps, isReported });
    }
    for (const { address, zone, linkMbps } of stores) {
      const tokens = tokensByHolder.get(address);
      if (tokens === undefined) continue;
      const slowestMbps = Math.min(linkMbps, profile.linkMbps);
      const isReported = this.cachedPrefixes.isReported(address);
      sources.push({ tokens, address, zone, linkMbps: slowestMbps, isReported });
    }
    return { tokensByHolder, sources: withoutEquivalents(sources) };
  }
}

/**
 * Keeps at most two sources per combination of tokens, zone and link rate. An engine uses the first
 * of them, or the second if the first is the engine itself. Popular prompts are cached by most
 * engines, so this keeps the comparison short.
 */
function withoutEquivalents(sources: readonly CachedPromptSource[]): CachedPromptSource[] {
  const addressesByClass = new Map<string, Set<string>>();
  return sources.filter(({ tokens, zone, linkMbps, address }) => {
    const key = `${tokens} ${linkMbps} ${zone}`;
    const addresses = addressesByClass.get(key) ?? new Set<string>();
    if (addresses.size >= 2 || addresses.has(address)) return false;
    addressesByClass.set(key, addresses.add(address));
    return true;
  });
}

/** The source that saves the most time over prefill at the engine, if any does. */
export function bestSource(
  engine: Engine,
  ownTokens: number,
  sources: readonly CachedPromptSource[],
  profile: EngineProfile | undefined,
  { prefillTokensPerMs }: EngineSpeed = DEFAULT_ENGINE_SPEED,
): BestSource | undefined {
  if (!profile) return undefined;
  let best: BestSource | undefined;
  let bestSavedMs = 0;
  for (const { address, tokens, zone, linkMbps, isReported } of sources) {
    if (tokens <= ownTokens || address === engine.record.address) continue;
    const fetchedTokens = tokens - ownTokens;
    const fetchMs = fetchedTokens * transferMsPerToken(engine, zone, linkMbps, profile);
    const savedMs = fetchedTokens / prefillTokensPerMs - fetchMs;
    if (savedMs <= bestSavedMs) continue;
    bestSavedMs = savedMs;
    best = { address, tokens, fetchMs, isReported };
  }
  return best;
}

/** Whether the engine fetches tokens from the store faster than it prefills them. */
export function isFetchFasterThanPrefill(
  engine: Engine,
  store: CacheStore,
  profile: EngineProfile,
  { prefillTokensPerMs }: EngineSpeed,
): boolean {
  const linkMbps = Math.min(store.linkMbps, profile.linkMbps);
  return transferMsPerToken(engine, store.zone, linkMbps, profile) < 1 / prefillTokensPerMs;
}

function transferMsPerToken(
  engine: Engine,
  zone: string,
  linkMbps: number,
  profile: EngineProfile,
): number {
  const megabits = (profile.cacheTokenBytes * BITS_PER_BYTE) / BITS_PER_MEGABIT;
  const zoneFactor = zone === engine.record.zone ? 1 : CROSS_ZONE_TRANSFER_FACTOR;
  return (megabits / linkMbps) * MILLISECONDS_PER_SECOND * zoneFactor;
}

/** Tokens of the parts that other requests may share. */
export function sharedTokensOf(generation: GenerationShape): number {
  return sharedPartsOf(generation).reduce((sum, part) => sum + part.tokens, 0);
}
