/** Who keeps how much of one prompt, and from where an engine best takes what it lacks. Pure. */
import type { CacheStore, EngineProfile } from './configuration.js';
import type { Engine } from './engine-registry.js';
import { type GenerationShape, cacheSaltOf, sharedPartsOf } from './generation.js';
import type { CachedPrefixes } from './cached-prefixes.js';

/** Prompt tokens an engine reads in a millisecond; engines do not tell it. */
export const READ_TOKENS_PER_MS = 40;
/** Moves between zones take this many times as long (the users' page on the cache). */
const OTHER_ZONE_LINK_FACTOR = 2;
const MILLISECONDS_PER_SECOND = 1_000;
const BITS_PER_BYTE = 8;
const BITS_PER_MEGABIT = 1e6;

/** What the look-ups for one prompt need. */
export interface PromptQuestion {
  readonly generation: GenerationShape;
  /** Tenant whose cached prompts are its own; undefined where they are shared. */
  readonly isolatedTenant: string | undefined;
  readonly candidates: readonly Engine[];
  readonly profile: EngineProfile | undefined;
  readonly stores: readonly CacheStore[];
}

/** Who keeps how much of a prompt under one salt. */
export interface CachedPrompt {
  /** Tokens of the prompt's beginning, by holder: an engine's incarnation or a store's address. */
  readonly tokensByHolder: ReadonlyMap<string, number>;
  readonly sources: readonly KeptSource[];
}

/** The same with its salt. */
export interface SaltedPrompt extends CachedPrompt {
  readonly salt: string;
}

/** An engine or store that keeps a beginning of the prompt. */
interface KeptSource {
  readonly tokens: number;
  readonly address: string;
  readonly zone: string;
  readonly linkMbps: number;
  /** Whether it reports what it keeps; otherwise it may have dropped it since. */
  readonly isReported: boolean;
}

/** The place from where an engine best takes kept prompts. */
export interface BestSource {
  readonly address: string;
  readonly tokens: number;
  readonly fetchMs: number;
  /** Whether it reports what it keeps; otherwise it may have dropped it since. */
  readonly isReported: boolean;
}

/** What is kept of one prompt, looked up once for each salt that engines have. */
export class CachedPromptsBySalt {
  private readonly byVersion = new Map<number, SaltedPrompt>();

  constructor(
    private readonly question: PromptQuestion,
    private readonly kept: CachedPrefixes,
  ) {}

  private saltOf(version: number): string {
    return cacheSaltOf(this.question.generation.model, version, this.question.isolatedTenant);
  }

  isReported(holder: string): boolean {
    return this.kept.isReported(holder);
  }

  /** What is kept for engines that hold a version of the prompt's model. */
  of(version: number): SaltedPrompt {
    let kept = this.byVersion.get(version);
    if (!kept) {
      const salt = this.saltOf(version);
      kept = { salt, ...this.lookUp(salt) };
      this.byVersion.set(version, kept);
    }
    return kept;
  }

  private lookUp(salt: string): CachedPrompt {
    const { generation, profile, stores, candidates } = this.question;
    const tokensByHolder = this.kept.leadingTokens(salt, generation.parts);
    const sources: KeptSource[] = [];
    if (tokensByHolder.size === 0 || !profile) return { tokensByHolder, sources };
    for (const { record } of candidates) {
      const tokens = tokensByHolder.get(record.id);
      if (tokens === undefined) continue;
      const { address, zone } = record;
      const isReported = this.kept.isReported(record.id);
      sources.push({ tokens, address, zone, linkMbps: profile.linkMbps, isReported });
    }
    for (const { address, zone, linkMbps } of stores) {
      const tokens = tokensByHolder.get(address);
      if (tokens === undefined) continue;
      const slowestMbps = Math.min(linkMbps, profile.linkMbps);
      const isReported = this.kept.isReported(address);
      sources.push({ tokens, address, zone, linkMbps: slowestMbps, isReported });
    }
    return { tokensByHolder, sources: withoutEquals(sources) };
  }
}

/**
 * Sources that differ in what matters: of those of equal tokens, zone and link an engine takes the first, or
 * the second where the first has its own address. A prompt that many ask is kept by most engines.
 */
function withoutEquals(sources: readonly KeptSource[]): KeptSource[] {
  const addressesByClass = new Map<string, Set<string>>();
  return sources.filter(({ tokens, zone, linkMbps, address }) => {
    const key = `${tokens} ${linkMbps} ${zone}`;
    const addresses = addressesByClass.get(key) ?? new Set<string>();
    if (addresses.size >= 2 || addresses.has(address)) return false;
    addressesByClass.set(key, addresses.add(address));
    return true;
  });
}

/** Where more of the prompt is kept than at the engine itself, if taking it pays. */
export function bestSource(
  engine: Engine,
  ownTokens: number,
  sources: readonly KeptSource[],
  profile: EngineProfile | undefined,
): BestSource | undefined {
  if (!profile) return undefined;
  let best: BestSource | undefined;
  let bestGainMs = 0;
  for (const { address, tokens, zone, linkMbps, isReported } of sources) {
    if (tokens <= ownTokens || address === engine.record.address) continue;
    const fetched = tokens - ownTokens;
    const fetchMs = fetched * moveMsPerToken(engine, zone, linkMbps, profile);
    const gainMs = fetched / READ_TOKENS_PER_MS - fetchMs;
    if (gainMs <= bestGainMs) continue;
    bestGainMs = gainMs;
    best = { address, tokens, fetchMs, isReported };
  }
  return best;
}

/** Whether an engine takes tokens from a store sooner than it reads them. */
export function paysToFetch(engine: Engine, store: CacheStore, profile: EngineProfile): boolean {
  const linkMbps = Math.min(store.linkMbps, profile.linkMbps);
  return moveMsPerToken(engine, store.zone, linkMbps, profile) < 1 / READ_TOKENS_PER_MS;
}

function moveMsPerToken(
  engine: Engine,
  zone: string,
  linkMbps: number,
  profile: EngineProfile,
): number {
  const megabits = (profile.cacheTokenBytes * BITS_PER_BYTE) / BITS_PER_MEGABIT;
  const zoneFactor = zone === engine.record.zone ? 1 : OTHER_ZONE_LINK_FACTOR;
  return (megabits / linkMbps) * MILLISECONDS_PER_SECOND * zoneFactor;
}

/** Tokens of the parts that other requests may share. */
export function sharedTokensOf(generation: GenerationShape): number {
  return sharedPartsOf(generation).reduce((sum, part) => sum + part.tokens, 0);
}
