/** Cost of placing one request, for a service of typical size and a large one. */
import { createHasher } from '../src/runtime/hasher.js';
import { SeededRandom, randomInteger } from '../src/runtime/random.js';
import { DEFAULT_ENGINE_SPEEDS } from '../src/state/routing/engine-speeds.js';
import { EngineHealth } from '../src/state/routing/engine-health.js';
import { EngineRegistry } from '../src/state/routing/engine-registry.js';
import { cacheSaltOf } from '../src/state/routing/generation.js';
import { HomeRanking } from '../src/state/routing/home-ranking.js';
import { CachedPrefixes } from '../src/state/routing/cached-prefixes.js';
import { LoadTable } from '../src/state/routing/load-table.js';
import { type PlacementTables, placeRequest } from '../src/state/routing/placement.js';
import { StorePressure } from '../src/state/routing/save-choice.js';
import { StoreOutages } from '../src/state/routing/store-outages.js';
import { WeightVersions } from '../src/state/routing/weight-versions.js';
import { type BenchResult, medianMicroseconds } from './result.js';

const MODEL = 'model-a';
const SERVICE = 'generation';
const ENGINE_COUNTS = [82, 730];
const ZONES = 6;
const AFFINITY_KEYS = 64;
const SHARED_TOKENS = 6_000;
const UNIQUE_TOKENS = 400;
/** Share of the engines that cache the prefix of an affinity key. */
const CACHED_SHARE = 0.2;
const GAP_OBJECTIVE_MS = 500;
const OBJECTIVE_MS = 815;
const ROUNDS = 60;
const CALLS_PER_ROUND = 200;

/** Median time of a placement, for each engine count. */
export async function benchPlacement(): Promise<BenchResult[]> {
  const homes = new HomeRanking(await createHasher());
  return ENGINE_COUNTS.flatMap((engines) => [
    benchPlacementOf(engines, homes, undefined),
    benchPlacementOf(engines, homes, GAP_OBJECTIVE_MS),
  ]);
}

function benchPlacementOf(
  engines: number,
  homes: HomeRanking,
  gapObjectiveMs: number | undefined,
): BenchResult {
  const random = new SeededRandom(engines);
  const registry = createRegistry(engines);
  const tables = createTables(registry, homes, random);
  const candidates = registry.ofService(SERVICE);
  let requests = 0;
  const value = medianMicroseconds(ROUNDS, CALLS_PER_ROUND, () => {
    requests += 1;
    const parts = [
      { id: `subject-${requests % AFFINITY_KEYS}`, tokens: SHARED_TOKENS },
      { id: `own-${requests}`, tokens: UNIQUE_TOKENS },
    ];
    placeRequest(
      {
        candidates,
        profile: {
          slots: 16,
          cacheCapacityTokens: 86_721,
          cacheTokenBytes: 163_840,
          linkMbps: 1_100_000,
          maximumEventCalls: 8,
        },
        generation: {
          model: MODEL,
          parts,
          promptTokens: SHARED_TOKENS + UNIQUE_TOKENS,
          maximumOutputTokens: 200,
        },
        cacheNamespace: '',
        excluded: new Set(),
        zone: 'zone-0',
        gapObjectiveMs,
        objectiveMs: gapObjectiveMs && OBJECTIVE_MS,
        stores: [],
        storePressure: StorePressure.High,
        connectionShare: 16,
        slotView: { wallMs: 0, interval: undefined },
      },
      tables,
      requests,
    );
  });
  const form = gapObjectiveMs === undefined ? '' : ' by gaps';
  const name = `placement of a generation over ${engines} engines${form}, median`;
  return { name, value, unit: 'us' };
}

function createRegistry(engines: number): EngineRegistry {
  const registry = new EngineRegistry();
  for (let index = 0; index < engines; index += 1) {
    registry.put({
      id: `engine-${index}`,
      name: `engine-${index}`,
      startedAtMs: undefined,
      service: SERVICE,
      address: `engine-${index}:1`,
      zone: `zone-${index % ZONES}`,
      slots: 16,
      isDraining: false,
      modelVersions: new Map([[MODEL, 1]]),
    });
  }
  return registry;
}

function createTables(
  registry: EngineRegistry,
  homes: HomeRanking,
  random: SeededRandom,
): PlacementTables {
  const loads = new LoadTable();
  const cachedPrefixes = new CachedPrefixes();
  const versions = new WeightVersions(7_000, new StoreOutages());
  versions.record(MODEL, { version: 1, namedMs: -100_000, isWitnessed: true });
  const engineLoads = new Map(
    [...registry.ids].map((id) => [
      id,
      {
        requests: randomInteger(random, 12),
        unreadTokens: randomInteger(random, 5_000),
        heldTokens: randomInteger(random, 60_000),
      },
    ]),
  );
  loads.receive('summary', 1, engineLoads, 0);
  const salt = cacheSaltOf(MODEL, 1, '');
  for (const id of registry.ids) {
    for (let affinityKey = 0; affinityKey < AFFINITY_KEYS; affinityKey += 1) {
      if (random.next() < CACHED_SHARE)
        cachedPrefixes.record(id, salt, `subject-${affinityKey}`, SHARED_TOKENS);
    }
  }
  return {
    loads,
    health: new EngineHealth(),
    cachedPrefixes,
    versions,
    random,
    homes,
    speeds: DEFAULT_ENGINE_SPEEDS,
  };
}
