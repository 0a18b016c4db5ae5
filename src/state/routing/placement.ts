/** The decision: which engine answers a request, and where it takes kept prompts from. Pure. */
import { type RandomSource, randomInteger } from '../../runtime/random.js';
import type { CacheStore, EngineProfile } from './configuration.js';
import type { EngineHealth } from './engine-health.js';
import { type Engine, versionAt } from './engine-registry.js';
import { type GenerationShape, affinityKeyOf } from './generation.js';
import type { HomeRanking } from './home-ranking.js';
import type { CachedPrefixes } from './cached-prefixes.js';
import type { LoadTable } from './load-table.js';
import { type PromptView, sourceAddress, storeToSave } from './prompt-source-choice.js';
import {
  type BestSource,
  CachedPromptsBySalt,
  READ_TOKENS_PER_MS,
  bestSource,
  sharedTokensOf,
} from './prompt-sources.js';
import { RejectionReason } from './rejection.js';
import type { StorePressure } from './save-choice.js';
import type { SlotView } from './send-slots.js';
import type { WeightVersions } from './weight-versions.js';

/** What a placement is decided from. */
export interface PlacementRequest {
  readonly candidates: readonly Engine[];
  readonly profile: EngineProfile | undefined;
  readonly generation: GenerationShape | undefined;
  /** Tenant whose cached prompts are its own; undefined where they are shared. */
  readonly isolatedTenant: string | undefined;
  /** Engines that this request has been sent to. */
  readonly excluded: ReadonlySet<string>;
  /** Zone of this router. */
  readonly zone: string;
  readonly stores: readonly CacheStore[];
  /** How the cache stores stand to what the group sends to them. */
  readonly storePressure: StorePressure;
  /** Requests this router may have at one engine at once. */
  readonly connectionShare: number;
  /** Decides which limited engines this router may send to now. */
  readonly turns: SlotView;
}

/** The chosen engine and how the request is sent there. */
export interface Placement {
  readonly engine: Engine;
  readonly expectedVersion: number | undefined;
  readonly cacheSalt: string | undefined;
  readonly fetchFrom: string | undefined;
  readonly saveTo: string | undefined;
  /** Prompt tokens the engine is expected to read itself. */
  readonly unreadTokens: number;
  /** Time until the first token, as estimated from loads and what is kept, in milliseconds. */
  readonly expectedMs: number;
  /** What the choice compared, in milliseconds: the expected time and preferences. */
  readonly costMs: number;
}

/** Why no engine was chosen. */
export type PlacementFailure =
  | RejectionReason.NoEngine
  | RejectionReason.EnginesBackingOff
  | RejectionReason.EnginesLimited
  | RejectionReason.AllBusy;

/** The tables a placement reads. */
export interface PlacementTables {
  readonly loads: LoadTable;
  readonly health: EngineHealth;
  readonly kept: CachedPrefixes;
  readonly versions: WeightVersions;
  readonly random: RandomSource;
  readonly homes: HomeRanking;
}

/** The first token of a request that waits behind another comes this much later. */
const RUNNING_REQUEST_MS = 1;
/** Cost of taking memory for a second copy, for each 1,000 tokens. */
const COPY_MS_PER_KILOTOKEN = 8;
/**
 * Preference for the first engine of the ranking that all routers agree on, for a subject nobody is known
 * to keep, in times that an engine needs to read the shared parts: reading them again costs more than a
 * late answer. Short prompts so go where least waits. The next of the ranking are preferred by less, so
 * that what a busy home leaves over meets at a few engines. Measured on the large fleets.
 */
const AWAY_FROM_HOME_READINGS = 2;
const OTHER_ZONE_MS = 8;
/** Memory beyond this share of an engine makes requests give way. */
const FULL_MEMORY_SHARE = 0.92;
const FULL_MEMORY_MS = 2_000;
/** Wait that each request beyond an engine's slots adds where nothing is generated: a guess at one short call. */
const QUEUED_REQUEST_MS = 200;
/** Preference for an engine with free slots over one whose slots are all taken; more than another zone costs. */
const ALL_SLOTS_TAKEN_MS = 50;
/** A cost that only an engine under suspicion has. */
const FAILING_MS = 400;
/** Engines weighed for one request, besides those that keep something of its prompt. */
const MAXIMUM_WEIGHED = 48;

/** Engines of a subject's ranking that are weighed in any case. */
const HOMES_WEIGHED = 3;

/** Chooses the engine of lowest cost. */
export function placeRequest(
  request: PlacementRequest,
  tables: PlacementTables,
  nowMs: number,
): Placement | PlacementFailure {
  const prompt = request.generation && promptView(request, request.generation, tables, nowMs);
  const considered = narrowEngines(request, prompt, tables);
  const allowed = considered.filter((engine) => isAllowed(engine, request, tables, nowMs));
  if (allowed.length === 0) return RejectionReason.NoEngine;
  const unpaused = allowed.filter((engine) => !isBackingOff(engine, tables, nowMs));
  if (unpaused.length === 0) return RejectionReason.EnginesBackingOff;
  const willing = unpaused.filter((engine) => isWithinLimit(engine, request, tables));
  if (willing.length === 0) return RejectionReason.EnginesLimited;
  const usable = usableEngines(willing, tables, nowMs);
  const open = usable.filter(
    (engine) => tables.loads.ownRequestsAt(engine.record.id) < request.connectionShare,
  );
  if (open.length === 0) return RejectionReason.AllBusy;
  if (!prompt) return cheapest(open.map((engine) => weighPlain(engine, request, tables)));
  const weighed = open.map((engine) => weighGeneration(engine, prompt, request, tables));
  return placementOf(cheapest(weighed), prompt, request);
}

function promptView(
  request: PlacementRequest,
  generation: GenerationShape,
  tables: PlacementTables,
  nowMs: number,
): PromptView {
  const { candidates, stores } = request;
  const subject = affinityKeyOf(generation);
  const isSound = (engine: Engine): boolean =>
    isAllowed(engine, request, tables, nowMs) &&
    !isBackingOff(engine, tables, nowMs) &&
    isWithinLimit(engine, request, tables) &&
    !tables.health.isAvoided(engine.record.id, nowMs);
  const nameOf = (engine: Engine): string => engine.record.name;
  const homes = tables.homes.firstFit(subject, candidates, nameOf, HOMES_WEIGHED, isSound);
  const [store] = tables.homes.first(subject, stores, (each) => each.address, 1);
  const kept = new CachedPromptsBySalt({ ...request, generation }, tables.kept);
  const { storePressure } = request;
  return { generation, kept, homes, store, storePressure };
}

/**
 * The engines to weigh. Of a large service: the subject's homes, those that keep something of the
 * prompt, and a random sample, which is as good as all where loads are even.
 */
function narrowEngines(
  request: PlacementRequest,
  prompt: PromptView | undefined,
  tables: PlacementTables,
): readonly Engine[] {
  const { candidates } = request;
  if (candidates.length <= MAXIMUM_WEIGHED) return candidates;
  const chosen = new Set<Engine>(prompt?.homes);
  while (chosen.size < MAXIMUM_WEIGHED) {
    chosen.add(candidates[randomInteger(tables.random, candidates.length)] as Engine);
  }
  if (!prompt) return [...chosen];
  for (const engine of candidates) {
    const version = versionAt(engine, prompt.generation.model) ?? 0;
    const { tokensByHolder } = prompt.kept.of(version);
    if (tokensByHolder.has(engine.record.id)) chosen.add(engine);
  }
  return [...chosen];
}

function cheapest<Weighed extends { readonly costMs: number }>(
  weighed: readonly Weighed[],
): Weighed {
  return weighed.reduce((best, each) => (each.costMs < best.costMs ? each : best));
}

/** Engines in good standing; where there are none, the ones left alone for failures. */
function usableEngines(
  willing: readonly Engine[],
  { health }: PlacementTables,
  nowMs: number,
): readonly Engine[] {
  const trusted = willing.filter((engine) => !health.isAvoided(engine.record.id, nowMs));
  return trusted.length > 0 ? trusted : willing;
}

/**
 * Unlike an engine that is left alone for failures, one that asked for a pause gets nothing even where no other
 * is left. Left alone for a fixed 150 ms, one got up to 13 requests of a router in the 3 s that it had asked
 * for (simulated deployment of 3 routers and 5 engines).
 */
function isBackingOff({ record }: Engine, { health }: PlacementTables, nowMs: number): boolean {
  return health.backoffs.remainingMs(record.name, nowMs) > 0;
}

/**
 * A limit that an engine named is no preference either: passed over, engines got 28 to 34 requests in 4 s where 12 are
 * tolerated (simulated deployment of 3 routers and 5 engines that take 1.2 a second).
 */
function isWithinLimit(
  { record }: Engine,
  { turns }: PlacementRequest,
  { health }: PlacementTables,
): boolean {
  return health.limits.maySend(record.name, turns);
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
  // A request that waits at the engine until older weights are out would begin on them.
  const beginsMs = nowMs + tables.loads.at(id).unreadTokens / READ_TOKENS_PER_MS;
  return version >= tables.versions.minimum(model, beginsMs);
}

function weighPlain(engine: Engine, request: PlacementRequest, tables: PlacementTables): Placement {
  const { id, slots, zone } = engine.record;
  const { requests } = tables.loads.at(id);
  const takenShare = requests / Math.max(1, slots);
  const queueMs = requests >= slots ? (requests - slots + 1) * QUEUED_REQUEST_MS : 0;
  const zoneMs = zone === request.zone ? 0 : OTHER_ZONE_MS;
  const costMs =
    takenShare * ALL_SLOTS_TAKEN_MS +
    queueMs +
    zoneMs +
    suspicionMs(engine, tables) +
    tables.random.next();
  return {
    engine,
    expectedVersion: undefined,
    cacheSalt: undefined,
    fetchFrom: undefined,
    saveTo: undefined,
    unreadTokens: 0,
    expectedMs: queueMs,
    costMs,
  };
}

/** An engine weighed for a generation. */
interface WeighedEngine {
  readonly engine: Engine;
  readonly version: number;
  readonly ownTokens: number;
  readonly source: BestSource | undefined;
  readonly unreadTokens: number;
  readonly expectedMs: number;
  readonly costMs: number;
}

function weighGeneration(
  engine: Engine,
  prompt: PromptView,
  request: PlacementRequest,
  tables: PlacementTables,
): WeighedEngine {
  const { generation, kept } = prompt;
  const version = versionAt(engine, generation.model) ?? 0;
  const keptPrompt = kept.of(version);
  const ownTokens = keptPrompt.tokensByHolder.get(engine.record.id) ?? 0;
  const source = bestSource(engine, ownTokens, keptPrompt.sources, request.profile);
  const fetchedTokens = source ? source.tokens - ownTokens : 0;
  const unreadTokens = Math.max(0, generation.promptTokens - ownTokens - fetchedTokens);
  const nobodyKeeps = ownTokens === 0 && fetchedTokens === 0;
  const expectedMs =
    waitMs(engine, request, tables) + unreadTokens / READ_TOKENS_PER_MS + (source?.fetchMs ?? 0);
  const costMs =
    expectedMs +
    (fetchedTokens / 1_000) * COPY_MS_PER_KILOTOKEN +
    (nobodyKeeps ? awayFromHomeMs(engine, prompt) : 0) +
    (engine.record.zone === request.zone ? 0 : OTHER_ZONE_MS) +
    suspicionMs(engine, tables);
  return { engine, version, ownTokens, source, unreadTokens, expectedMs, costMs };
}

/** How the generation is sent to the engine that was chosen. */
function placementOf(
  weighed: WeighedEngine,
  prompt: PromptView,
  { profile }: PlacementRequest,
): Placement {
  const { engine, version, ownTokens, source, unreadTokens, expectedMs, costMs } = weighed;
  const keptPrompt = prompt.kept.of(version);
  return {
    engine,
    expectedVersion: version,
    cacheSalt: keptPrompt.salt,
    fetchFrom: sourceAddress(engine, ownTokens, source, prompt, profile),
    saveTo: storeToSave(keptPrompt, prompt),
    unreadTokens,
    expectedMs,
    costMs,
  };
}

/** Grows with the place in the subject's ranking. */
function awayFromHomeMs(engine: Engine, { homes, generation }: PromptView): number {
  const readingMs = sharedTokensOf(generation) / READ_TOKENS_PER_MS;
  const place = homes.indexOf(engine);
  const share = place < 0 ? 1 : place / HOMES_WEIGHED;
  return AWAY_FROM_HOME_READINGS * readingMs * share;
}

/** Waiting at the engine: prompts to be read first, running requests, memory that is full. */
function waitMs(engine: Engine, request: PlacementRequest, tables: PlacementTables): number {
  const load = tables.loads.at(engine.record.id);
  const { profile, generation } = request;
  const readMs = load.unreadTokens / READ_TOKENS_PER_MS;
  const runningMs = load.requests * RUNNING_REQUEST_MS;
  if (!profile || !generation) return readMs + runningMs;
  const neededTokens = load.heldTokens + generation.promptTokens + generation.maximumOutputTokens;
  const isFull =
    load.requests >= profile.slots ||
    neededTokens > profile.cacheCapacityTokens * FULL_MEMORY_SHARE;
  return readMs + runningMs + (isFull ? FULL_MEMORY_MS : 0);
}

function suspicionMs(engine: Engine, tables: PlacementTables): number {
  return tables.health.failureShare(engine.record.id) * FAILING_MS;
}
