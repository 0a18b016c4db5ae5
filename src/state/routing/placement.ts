/** Chooses the engine for a request and the source from which it fetches cached prefixes. Pure. */
import { type RandomSource, randomInteger } from '../../runtime/random.js';
import type { CacheNamespace } from './cache-namespace.js';
import type { CacheStore, EngineProfile } from './configuration.js';
import { type SlotSharing, isBackingOff, isWithinLimit } from './engine-eligibility.js';
import type { EngineHealth } from './engine-health.js';
import { type Engine, versionAt } from './engine-registry.js';
import { type GenerationShape, affinityKeyOf, expectedOutputOf } from './generation.js';
import type { HomeRanking } from './home-ranking.js';
import type { CachedPrefixes } from './cached-prefixes.js';
import type { EngineSpeed, EngineSpeedView } from './engine-speeds.js';
import { type MemoryUse, expectedMemoryUse, wholeMemoryUse } from './memory-use.js';
import type { EngineLoad, LoadTable } from './load-table.js';
import { affinityCostShare, homeCount, isHomePreferred } from './prefix-homes.js';
import { type PromptView, sourceAddress, storeToSave } from './prompt-source-choice.js';
import {
  type BestSource,
  CachedPromptsBySalt,
  bestSource,
  sharedTokensOf,
} from './prompt-sources.js';
import { RejectionReason } from './rejection.js';
import { chooseByWeight } from './plain-spread.js';
import { harmFromPrefillMs, harmToStreamsMs, lateFirstTokenMs } from './stream-gaps.js';
import type { StorePressure } from './save-choice.js';
import type { WeightVersions } from './weight-versions.js';

/** Input of a placement decision. */
export interface PlacementRequest extends SlotSharing {
  readonly profile: EngineProfile | undefined;
  readonly generation: GenerationShape | undefined;
  readonly cacheNamespace: CacheNamespace;
  /** Engines already tried for this request. */
  readonly excluded: ReadonlySet<string>;
  /** Zone of this router. */
  readonly zone: string;
  /**
   * Longest pause within a stream that counts as in time, on the strictest route to the service;
   * undefined if no route sets one.
   */
  readonly gapObjectiveMs?: number | undefined;
  /** Time to the first token that counts as in time; undefined if it is not considered. */
  readonly objectiveMs?: number | undefined;
  /** Whether requests without generation are spread by chance and kept off full engines. */
  readonly spreadsPlainRequests?: boolean | undefined;
  readonly stores: readonly CacheStore[];
  /** Whether the prompts of the group exceed the retention capacity of the cache stores. */
  readonly storePressure: StorePressure;
  /** Maximum concurrent requests of this router at one engine. */
  readonly connectionShare: number;
  /** Whether the bodies that an engine has not taken leave room for this one. */
  hasRoomAt?(engineId: string): boolean;
}

/** The chosen engine and the parameters of the call to it. */
export interface Placement {
  readonly engine: Engine;
  readonly expectedVersion: number | undefined;
  readonly cacheSalt: string | undefined;
  readonly fetchFrom: string | undefined;
  readonly saveTo: string | undefined;
  /** KV memory that the request takes; undefined if it generates no tokens. */
  readonly memory?: MemoryUse | undefined;
  /** Prompt tokens that the engine is expected to prefill. */
  readonly unreadTokens: number;
  /** Estimated time to first token in milliseconds. */
  readonly expectedMs: number;
  /** Cost of the streams at the engine that its prefill is expected to make late, in milliseconds. */
  readonly harmMs?: number | undefined;
  /** Cost by which engines are compared, in milliseconds: the expected time and penalties. */
  readonly costMs: number;
}

/** Reasons why no engine was chosen. */
export type PlacementFailure =
  | RejectionReason.NoEngine
  | RejectionReason.EnginesBackingOff
  | RejectionReason.EnginesLimited
  | RejectionReason.AllBusy;

/** State read by a placement. */
export interface PlacementTables {
  readonly loads: LoadTable;
  readonly health: EngineHealth;
  readonly cachedPrefixes: CachedPrefixes;
  readonly versions: WeightVersions;
  readonly random: RandomSource;
  readonly homes: HomeRanking;
  readonly speeds: EngineSpeedView;
}

/** Cost of the cache capacity that a second copy of cached tokens takes. */
const COPY_COST_MS_PER_KILOTOKEN = 8;
/**
 * Penalty for an engine other than the home of the affinity key where no part of the prompt can be
 * reused, as a multiple of the time to prefill the shared parts. It exceeds 1 because repeated
 * prefill costs more than a delayed response. It scales with the shared parts, so short prompts go
 * to the least loaded engine. Engines ranked after the home get a smaller penalty than the others,
 * so that the overflow of a busy home is concentrated on a few engines.
 */
const HOME_AFFINITY_FACTOR = 2;
const CROSS_ZONE_COST_MS = 8;
/** Engines with a larger share of their KV cache in use count as full. */
const FULL_CACHE_SHARE = 0.92;
const FULL_CACHE_COST_MS = 2_000;
/** Estimated wait per request beyond an engine's slots, for calls that generate no tokens. */
const QUEUED_REQUEST_COST_MS = 200;
/** Cost of an engine with no free slots relative to an idle one; exceeds the cross-zone cost. */
const FULL_UTILIZATION_COST_MS = 50;
/** Weight of a costly engine with a free slot, by which it still gets a few requests. */
const MINIMUM_SPREAD_WEIGHT_MS = 1;
/** Cost of an engine at which all recent requests failed. */
const FAILURE_COST_MS = 400;
/** Maximum engines sampled for one request, besides those with cached prefixes of its prompt. */
const MAXIMUM_SAMPLED_ENGINES = 48;

/** Chooses the allowed engine with the lowest cost. */
export function placeRequest(
  request: PlacementRequest,
  tables: PlacementTables,
  nowMs: number,
): Placement | PlacementFailure {
  if (request.gapObjectiveMs !== undefined) tables.loads.sampleUnread(nowMs);
  const prompt = request.generation && promptView(request, request.generation, tables, nowMs);
  const sampled = sampleEngines(request, prompt, tables);
  const allowed = sampled.filter((engine) => isAllowed(engine, request, tables, nowMs));
  if (allowed.length === 0) return RejectionReason.NoEngine;
  const notBackingOff = allowed.filter((engine) => !isBackingOff(engine, tables, nowMs));
  if (notBackingOff.length === 0) return RejectionReason.EnginesBackingOff;
  const withinLimit = notBackingOff.filter((engine) =>
    isWithinLimit(engine, request, tables, nowMs),
  );
  if (withinLimit.length === 0) return RejectionReason.EnginesLimited;
  const healthy = healthyEngines(withinLimit, tables, nowMs);
  const available = healthy.filter(
    ({ record }) =>
      tables.loads.ownRequestsAt(record.id) < request.connectionShare &&
      (request.hasRoomAt?.(record.id) ?? true),
  );
  if (available.length === 0) return RejectionReason.AllBusy;
  if (!prompt) return placePlain(available, request, tables);
  const scored = available.map((engine) => scoreGeneration(engine, prompt, request, tables));
  return placementOf(lowestCost(scored), prompt, request, tables);
}

function promptView(
  request: PlacementRequest,
  generation: GenerationShape,
  tables: PlacementTables,
  nowMs: number,
): PromptView {
  const { candidates, stores } = request;
  const affinityKey = affinityKeyOf(generation);
  const isEligible = (engine: Engine): boolean =>
    isAllowed(engine, request, tables, nowMs) &&
    !isBackingOff(engine, tables, nowMs) &&
    isWithinLimit(engine, request, tables, nowMs) &&
    !tables.health.isAvoided(engine.record.id, nowMs);
  const nameOf = (engine: Engine): string => engine.record.name;
  const cachedPrompts = new CachedPromptsBySalt({ ...request, generation }, tables.cachedPrefixes);
  const count = homeCount(
    generation,
    cachedPrompts,
    candidates,
    tables.cachedPrefixes,
    tables.speeds,
    nowMs,
  );
  const homes = tables.homes.firstEligible(affinityKey, candidates, nameOf, count, isEligible);
  const [store] = tables.homes.first(affinityKey, stores, (each) => each.address, 1);
  const { storePressure } = request;
  return { generation, cachedPrompts, homes, store, storePressure };
}

/**
 * Limits the engines to score in a large service to the homes of the affinity key, the engines with
 * cached prefixes of the prompt, and a random sample.
 */
function sampleEngines(
  request: PlacementRequest,
  prompt: PromptView | undefined,
  tables: PlacementTables,
): readonly Engine[] {
  const { candidates } = request;
  if (candidates.length <= MAXIMUM_SAMPLED_ENGINES) return candidates;
  const chosen = new Set<Engine>(prompt?.homes);
  while (chosen.size < MAXIMUM_SAMPLED_ENGINES) {
    chosen.add(candidates[randomInteger(tables.random, candidates.length)] as Engine);
  }
  if (!prompt) return [...chosen];
  for (const engine of candidates) {
    const version = versionAt(engine, prompt.generation.model) ?? 0;
    const { tokensByHolder } = prompt.cachedPrompts.of(version);
    if (tokensByHolder.has(engine.record.id)) chosen.add(engine);
  }
  return [...chosen];
}

function lowestCost<Scored extends { readonly costMs: number }>(scored: readonly Scored[]): Scored {
  return scored.reduce((best, each) => (each.costMs < best.costMs ? each : best));
}

/** Engines that are not avoided after failures, or all of them if none is left. */
function healthyEngines(
  engines: readonly Engine[],
  { health }: PlacementTables,
  nowMs: number,
): readonly Engine[] {
  const healthy = engines.filter((engine) => !health.isAvoided(engine.record.id, nowMs));
  return healthy.length > 0 ? healthy : engines;
}

function isAllowed(
  engine: Engine,
  request: PlacementRequest,
  tables: PlacementTables,
  nowMs: number,
): boolean {
  const { id, isDraining } = engine.record;
  if (isDraining || request.excluded.has(id) || tables.health.isLoading(id, nowMs)) return false;
  if (!request.generation) return true;
  const { model } = request.generation;
  const version = versionAt(engine, model);
  if (version === undefined) return false;
  // A request queued until newer weights are required would start on the older ones.
  const { prefillTokensPerMs } = tables.speeds.at(id);
  const expectedStartMs = nowMs + tables.loads.at(id).unreadTokens / prefillTokensPerMs;
  return version >= tables.versions.minimum(model, expectedStartMs);
}

/**
 * Chooses an engine for a request without generation: the one with the lowest cost, or by chance
 * among those with a free slot. The choice by chance ignores how many slots are free: with work of
 * 43 ms and reports every 100 ms, preferring engines with more free slots gave up to twice as many rejections.
 */
function placePlain(
  available: readonly Engine[],
  request: PlacementRequest,
  tables: PlacementTables,
): Placement {
  const scored = available.map((engine) => scorePlain(engine, request, tables));
  if (!request.spreadsPlainRequests) return lowestCost(scored);
  const withFreeSlot = scored.filter(
    ({ engine: { record } }) => tables.loads.at(record.id).requests < record.slots,
  );
  const choices = withFreeSlot.map((item) => ({
    item,
    weight: Math.max(
      MINIMUM_SPREAD_WEIGHT_MS,
      FULL_UTILIZATION_COST_MS - zoneAndFailureMs(item.engine, request, tables),
    ),
  }));
  return chooseByWeight(choices, tables.random) ?? lowestCost(scored);
}

function scorePlain(engine: Engine, request: PlacementRequest, tables: PlacementTables): Placement {
  const { id, slots } = engine.record;
  const { requests } = tables.loads.at(id);
  const utilization = requests / Math.max(1, slots);
  const queueMs = requests >= slots ? (requests - slots + 1) * QUEUED_REQUEST_COST_MS : 0;
  const costMs =
    utilization * FULL_UTILIZATION_COST_MS +
    queueMs +
    zoneAndFailureMs(engine, request, tables) +
    tables.random.next();
  return {
    engine,
    expectedVersion: undefined,
    cacheSalt: undefined,
    fetchFrom: undefined,
    saveTo: undefined,
    memory: undefined,
    unreadTokens: 0,
    expectedMs: queueMs,
    costMs,
  };
}

/** An engine scored for a generation. */
interface ScoredEngine {
  readonly engine: Engine;
  readonly version: number;
  readonly ownTokens: number;
  readonly source: BestSource | undefined;
  readonly unreadTokens: number;
  readonly expectedMs: number;
  readonly harmMs: number;
  readonly costMs: number;
}

function scoreGeneration(
  engine: Engine,
  prompt: PromptView,
  request: PlacementRequest,
  tables: PlacementTables,
): ScoredEngine {
  const { generation, cachedPrompts } = prompt;
  const version = versionAt(engine, generation.model) ?? 0;
  const cachedPrompt = cachedPrompts.of(version);
  const ownTokens = cachedPrompt.tokensByHolder.get(engine.record.id) ?? 0;
  const speed = tables.speeds.at(engine.record.id);
  const load = tables.loads.at(engine.record.id);
  const source = bestSource(engine, ownTokens, cachedPrompt.sources, request.profile, speed);
  const fetchedTokens = source ? source.tokens - ownTokens : 0;
  const unreadTokens = Math.max(0, generation.promptTokens - ownTokens - fetchedTokens);
  const isUncached = isHomePreferred(ownTokens + fetchedTokens, generation, tables.cachedPrefixes);
  const expectedMs =
    waitMs(load, speed, request) + unreadTokens / speed.prefillTokensPerMs + (source?.fetchMs ?? 0);
  const { gapObjectiveMs } = request;
  const harmMs =
    gapObjectiveMs === undefined
      ? 0
      : harmToStreamsMs(unreadTokens, load.unreadTokens, load.requests, gapObjectiveMs, speed);
  const costMs =
    expectedMs +
    harmMs +
    lateResponseMs(engine, expectedMs, request, tables) +
    (fetchedTokens / 1_000) * COPY_COST_MS_PER_KILOTOKEN +
    (isUncached ? homeAffinityCostMs(engine, prompt, speed) : 0) +
    zoneAndFailureMs(engine, request, tables);
  return { engine, version, ownTokens, source, unreadTokens, expectedMs, harmMs, costMs };
}

/** Parameters of the call to the chosen engine. */
function placementOf(
  scored: ScoredEngine,
  prompt: PromptView,
  { profile, gapObjectiveMs }: PlacementRequest,
  { speeds }: PlacementTables,
): Placement {
  const { generation } = prompt;
  const { engine, version, ownTokens, source, unreadTokens, expectedMs, harmMs, costMs } = scored;
  const cachedPrompt = prompt.cachedPrompts.of(version);
  return {
    engine,
    expectedVersion: version,
    cacheSalt: cachedPrompt.salt,
    fetchFrom: sourceAddress(
      engine,
      ownTokens,
      source,
      prompt,
      profile,
      speeds.at(engine.record.id),
    ),
    saveTo: storeToSave(cachedPrompt, prompt),
    memory:
      gapObjectiveMs === undefined
        ? wholeMemoryUse(generation)
        : expectedMemoryUse(generation, cachedPrompt.salt, ownTokens),
    unreadTokens,
    expectedMs,
    harmMs,
    costMs,
  };
}

/** Cost that grows with the engine's rank among the homes of the affinity key. */
function homeAffinityCostMs(
  engine: Engine,
  { homes, generation }: PromptView,
  { prefillTokensPerMs }: EngineSpeed,
): number {
  const prefillMs = sharedTokensOf(generation) / prefillTokensPerMs;
  return HOME_AFFINITY_FACTOR * prefillMs * affinityCostShare(engine, homes);
}

/** Cost of the request's own response being late, by its first token or by a gap. */
function lateResponseMs(
  engine: Engine,
  expectedMs: number,
  { gapObjectiveMs, objectiveMs, generation }: PlacementRequest,
  { loads, speeds }: PlacementTables,
): number {
  if (gapObjectiveMs === undefined || !generation) return 0;
  const { id } = engine.record;
  const recentTokens = loads.recentUnreadAt(id);
  const outputTokens = expectedOutputOf(generation);
  return (
    harmFromPrefillMs(recentTokens, outputTokens, gapObjectiveMs, speeds.at(id)) +
    (objectiveMs === undefined ? 0 : lateFirstTokenMs(expectedMs, objectiveMs))
  );
}

/** Estimated wait at the engine: queued prefill, running requests, and a full KV cache. */
function waitMs(load: EngineLoad, speed: EngineSpeed, request: PlacementRequest): number {
  const { profile, generation, gapObjectiveMs } = request;
  const prefillMs = load.unreadTokens / speed.prefillTokensPerMs;
  const runningMs = load.requests * speed.runningRequestMs;
  if (!profile || !generation) return prefillMs + runningMs;
  const outputTokens =
    gapObjectiveMs === undefined ? generation.maximumOutputTokens : expectedOutputOf(generation);
  const neededTokens = load.heldTokens + generation.promptTokens + outputTokens;
  const isFull =
    load.requests >= profile.slots || neededTokens > profile.cacheCapacityTokens * FULL_CACHE_SHARE;
  return prefillMs + runningMs + (isFull ? FULL_CACHE_COST_MS : 0);
}

function zoneAndFailureMs(
  { record }: Engine,
  { zone }: PlacementRequest,
  { health }: PlacementTables,
): number {
  const zoneMs = record.zone === zone ? 0 : CROSS_ZONE_COST_MS;
  return zoneMs + health.failureShare(record.id) * FAILURE_COST_MS;
}
