/** The decision: which engine answers a request, and where it takes kept prompts from. Pure. */
import type { Hasher } from '../../runtime/hasher.js';
import { type RandomSource, randomInteger } from '../../runtime/random.js';
import { pickByRendezvous } from '../rendezvous.js';
import type { CacheStore, EngineProfile } from './configuration.js';
import type { EngineHealth } from './engine-health.js';
import { type Engine, versionAt } from './engine-registry.js';
import { type GenerationShape, cacheSaltOf, sharedPartsOf, subjectOf } from './generation.js';
import type { KeptPrefixes } from './kept-prefixes.js';
import type { LoadTable } from './load-table.js';
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
  /** Requests this router may have at one engine at once. */
  readonly connectionShare: number;
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
  /** What the choice compared, in milliseconds. */
  readonly costMs: number;
}

/** Why no engine was chosen. */
export type PlacementFailure = 'no-engine' | 'all-busy';

/** The tables a placement reads. */
export interface PlacementTables {
  readonly loads: LoadTable;
  readonly health: EngineHealth;
  readonly kept: KeptPrefixes;
  readonly versions: WeightVersions;
  readonly random: RandomSource;
  readonly hasher: Hasher;
}

/** Prompt tokens an engine reads in a millisecond; engines do not tell it. */
const READ_TOKENS_PER_MS = 40;
/** The first token of a request that waits behind another comes this much later. */
const RUNNING_REQUEST_MS = 1;
/** Cost of taking memory for a second copy, for each 1,000 tokens. */
const COPY_MS_PER_KILOTOKEN = 8;
/** Preference for the engine that all routers agree on for a subject nobody keeps. */
const NOT_HOME_MS = 40;
const OTHER_ZONE_MS = 8;
const OTHER_ZONE_LINK_FACTOR = 2;
/** Memory beyond this share of an engine makes requests give way. */
const FULL_MEMORY_SHARE = 0.92;
const FULL_MEMORY_MS = 2_000;
/** A cost that only an engine under suspicion has. */
const FAILING_MS = 400;
const MILLISECONDS_PER_SECOND = 1_000;
const BITS_PER_BYTE = 8;
const BITS_PER_MEGABIT = 1e6;
/** Engines weighed for one request, besides those that keep something of its prompt. */
const MAXIMUM_WEIGHED = 48;

/** Chooses the engine of lowest cost. */
export function placeRequest(
  request: PlacementRequest,
  tables: PlacementTables,
  nowMs: number,
): Placement | PlacementFailure {
  const kept = new KeptBySalt(request, tables);
  const considered = narrowEngines(request, kept, tables);
  const usable = usableEngines(considered, request, tables, nowMs);
  if (usable.length === 0) return 'no-engine';
  const open = usable.filter(
    (engine) => tables.loads.ownRequestsAt(engine.record.id) < request.connectionShare,
  );
  if (open.length === 0) return 'all-busy';
  const { generation } = request;
  if (!generation) return cheapest(open.map((engine) => weighPlain(engine, request, tables)));
  const home = homeOf(generation, usable, tables.hasher);
  return cheapest(
    open.map((engine) => weighGeneration(engine, home, kept, generation, request, tables)),
  );
}

/** What is kept of one prompt, looked up once for each salt that engines have. */
class KeptBySalt {
  private readonly bySalt = new Map<string, KeptPrompt>();

  constructor(
    private readonly request: PlacementRequest,
    private readonly tables: PlacementTables,
  ) {}

  /** Salt of a version of the request's model. */
  saltOf(generation: GenerationShape, version: number): string {
    return cacheSaltOf(generation.model, version, this.request.isolatedTenant);
  }

  of(salt: string): KeptPrompt {
    let kept = this.bySalt.get(salt);
    if (!kept) {
      kept = this.lookUp(salt);
      this.bySalt.set(salt, kept);
    }
    return kept;
  }

  private lookUp(salt: string): KeptPrompt {
    const { generation, profile, stores, candidates } = this.request;
    const tokensByHolder = this.tables.kept.leadingTokens(salt, generation?.parts ?? []);
    const sources: KeptSource[] = [];
    if (tokensByHolder.size === 0 || !profile) return { tokensByHolder, sources };
    for (const { record } of candidates) {
      const tokens = tokensByHolder.get(record.id);
      if (tokens === undefined) continue;
      sources.push({
        tokens,
        address: record.address,
        zone: record.zone,
        linkMbps: profile.linkMbps,
      });
    }
    for (const { address, zone, linkMbps } of stores) {
      const tokens = tokensByHolder.get(address);
      if (tokens === undefined) continue;
      sources.push({ tokens, address, zone, linkMbps: Math.min(linkMbps, profile.linkMbps) });
    }
    return { tokensByHolder, sources };
  }
}

/** Who keeps how much of a prompt under one salt. */
interface KeptPrompt {
  readonly tokensByHolder: ReadonlyMap<string, number>;
  readonly sources: readonly KeptSource[];
}

/** An engine or store that keeps a beginning of the prompt. */
interface KeptSource {
  readonly tokens: number;
  readonly address: string;
  readonly zone: string;
  readonly linkMbps: number;
}

/**
 * The engines to weigh. Of a large service: those that keep something of the prompt, and a random
 * sample, which is as good as all where loads are even.
 */
function narrowEngines(
  request: PlacementRequest,
  kept: KeptBySalt,
  tables: PlacementTables,
): readonly Engine[] {
  const { candidates, generation } = request;
  if (candidates.length <= MAXIMUM_WEIGHED) return candidates;
  const chosen = new Set<Engine>();
  for (let turn = 0; turn < MAXIMUM_WEIGHED; turn += 1) {
    chosen.add(candidates[randomInteger(tables.random, candidates.length)] as Engine);
  }
  if (!generation) return [...chosen];
  for (const engine of candidates) {
    const version = versionAt(engine, generation.model) ?? 0;
    const { tokensByHolder } = kept.of(kept.saltOf(generation, version));
    if (tokensByHolder.has(engine.record.id)) chosen.add(engine);
  }
  return [...chosen];
}

/** The engine that every router agrees on for the subject of a prompt. */
function homeOf(
  generation: GenerationShape,
  engines: readonly Engine[],
  hasher: Hasher,
): string | undefined {
  const key = hasher.hashText(subjectOf(generation), 0n);
  const ids = engines.map((engine) => engine.record.id);
  return pickByRendezvous(hasher, key, ids);
}

function cheapest(placements: readonly Placement[]): Placement {
  return placements.reduce((best, each) => (each.costMs < best.costMs ? each : best));
}

/** Engines in good standing; where there are none, the ones left alone for failures. */
function usableEngines(
  considered: readonly Engine[],
  request: PlacementRequest,
  tables: PlacementTables,
  nowMs: number,
): Engine[] {
  const allowed = considered.filter((engine) => isAllowed(engine, request, tables, nowMs));
  const trusted = allowed.filter((engine) => !tables.health.isAvoided(engine.record.id, nowMs));
  return trusted.length > 0 ? trusted : allowed;
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
  const FULL_SLOTS_MS = 200;
  const MILLISECONDS_PER_SHARE = 50;
  const takenShare = requests / Math.max(1, slots);
  const queueMs = requests >= slots ? (requests - slots + 1) * FULL_SLOTS_MS : 0;
  const zoneMs = zone === request.zone ? 0 : OTHER_ZONE_MS;
  const costMs =
    takenShare * MILLISECONDS_PER_SHARE +
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
    costMs,
  };
}

/** A place kept prompts may be taken from. */
interface Source {
  readonly address: string;
  readonly tokens: number;
  readonly fetchMs: number;
}

function weighGeneration(
  engine: Engine,
  home: string | undefined,
  kept: KeptBySalt,
  generation: GenerationShape,
  request: PlacementRequest,
  tables: PlacementTables,
): Placement {
  const version = versionAt(engine, generation.model) ?? 0;
  const salt = kept.saltOf(generation, version);
  const keptPrompt = kept.of(salt);
  const ownTokens = keptPrompt.tokensByHolder.get(engine.record.id) ?? 0;
  const source = bestSource(engine, ownTokens, keptPrompt.sources, request.profile);
  const fetchedTokens = source ? source.tokens - ownTokens : 0;
  const unreadTokens = Math.max(0, generation.promptTokens - ownTokens - fetchedTokens);
  const nobodyKeeps = ownTokens === 0 && fetchedTokens === 0;
  const costMs =
    waitMs(engine, request, tables) +
    unreadTokens / READ_TOKENS_PER_MS +
    (source?.fetchMs ?? 0) +
    (fetchedTokens / 1_000) * COPY_MS_PER_KILOTOKEN +
    (nobodyKeeps && engine.record.id !== home ? NOT_HOME_MS : 0) +
    (engine.record.zone === request.zone ? 0 : OTHER_ZONE_MS) +
    suspicionMs(engine, tables);
  return {
    engine,
    expectedVersion: version,
    cacheSalt: salt,
    fetchFrom: source?.address,
    saveTo: storeToSave(keptPrompt, generation, request),
    unreadTokens,
    costMs,
  };
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

/** Where more of the prompt is kept than at the engine itself, if taking it pays. */
function bestSource(
  engine: Engine,
  ownTokens: number,
  sources: readonly KeptSource[],
  profile: EngineProfile | undefined,
): Source | undefined {
  if (!profile) return undefined;
  let best: Source | undefined;
  let bestGainMs = 0;
  for (const { address, tokens, zone, linkMbps } of sources) {
    if (tokens <= ownTokens || address === engine.record.address) continue;
    const fetched = tokens - ownTokens;
    const megabits = (fetched * profile.cacheTokenBytes * BITS_PER_BYTE) / BITS_PER_MEGABIT;
    const zoneFactor = zone === engine.record.zone ? 1 : OTHER_ZONE_LINK_FACTOR;
    const fetchMs = (megabits / linkMbps) * MILLISECONDS_PER_SECOND * zoneFactor;
    const gainMs = fetched / READ_TOKENS_PER_MS - fetchMs;
    if (gainMs <= bestGainMs) continue;
    bestGainMs = gainMs;
    best = { address, tokens, fetchMs };
  }
  return best;
}

/** The store that should get this prompt's shared parts; undefined where it has them. */
function storeToSave(
  kept: KeptPrompt,
  generation: GenerationShape,
  request: PlacementRequest,
): string | undefined {
  const sharedTokens = sharedPartsOf(generation).reduce((sum, part) => sum + part.tokens, 0);
  if (sharedTokens === 0) return undefined;
  const lacking = request.stores.find(
    (store) => (kept.tokensByHolder.get(store.address) ?? 0) < sharedTokens,
  );
  return lacking?.address;
}
