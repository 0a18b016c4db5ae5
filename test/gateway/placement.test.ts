/** Guards against routers that disagree on a home engine or choose a wrong cache source. */
import { fc } from '@fast-check/ava';
import test from 'ava';
import { createHasher } from '../../src/runtime/hasher.js';
import { SeededRandom } from '../../src/runtime/random.js';
import { DEFAULT_ENGINE_SPEEDS } from '../../src/state/routing/engine-speeds.js';
import { EngineHealth } from '../../src/state/routing/engine-health.js';
import { EngineRegistry } from '../../src/state/routing/engine-registry.js';
import { HomeRanking } from '../../src/state/routing/home-ranking.js';
import { CachedPrefixes } from '../../src/state/routing/cached-prefixes.js';
import { LoadTable } from '../../src/state/routing/load-table.js';
import {
  type Placement,
  type PlacementRequest,
  type PlacementTables,
  placeRequest,
} from '../../src/state/routing/placement.js';
import { StorePressure, storePressure } from '../../src/state/routing/save-choice.js';
import { StoreOutages } from '../../src/state/routing/store-outages.js';
import { WeightVersions } from '../../src/state/routing/weight-versions.js';
import { engineRecord } from '../helpers/engine-record.js';

const hasher = await createHasher();
const MODEL = 'model-a';
const STORE = 'store:1';

function registryOf(engines: number): EngineRegistry {
  const registry = new EngineRegistry();
  for (let index = 0; index < engines; index += 1) {
    registry.put(
      engineRecord(`engine-${index}`, undefined, { zone: `zone-${index % 3}`, slots: 16 }),
    );
  }
  return registry;
}

function tablesOf(seed: number): PlacementTables {
  return {
    loads: new LoadTable(),
    health: new EngineHealth(),
    cachedPrefixes: new CachedPrefixes(),
    versions: new WeightVersions(7_000, new StoreOutages()),
    random: new SeededRandom(seed),
    homes: new HomeRanking(hasher),
    speeds: DEFAULT_ENGINE_SPEEDS,
  };
}

function requestFor(affinityKey: string, registry: EngineRegistry, zone: string): PlacementRequest {
  return {
    candidates: registry.ofService('generation'),
    profile: {
      slots: 16,
      cacheCapacityTokens: 90_000,
      cacheTokenBytes: 163_840,
      linkMbps: 1_000_000,
      maximumEventCalls: 12,
    },
    generation: {
      model: MODEL,
      parts: [
        { id: 'common', tokens: 2_500 },
        { id: affinityKey, tokens: 3_800 },
        { id: `${affinityKey}-own`, tokens: 2_900 },
      ],
      promptTokens: 9_200,
      maximumOutputTokens: 10,
    },
    cacheNamespace: '',
    excluded: new Set(),
    storePressure: StorePressure.Low,
    zone,
    stores: [
      {
        address: STORE,
        zone: 'zone-0',
        linkMbps: 400_000,
        maximumEventCalls: 12,
        capacityTokens: 1_000_000,
      },
    ],
    connectionShare: 10,
    slotView: { wallMs: 0, interval: undefined },
  };
}

function place(request: PlacementRequest, tables: PlacementTables): Placement {
  const placed = placeRequest(request, tables, 0);
  if (typeof placed === 'string') throw new Error(placed);
  return placed;
}

test('the first entries of a ranking equal those of a full sort', (t) => {
  const homes = new HomeRanking(hasher);
  const ids = fc.uniqueArray(fc.stringMatching(/^[a-z0-9]{1,6}$/), { minLength: 1, maxLength: 60 });
  const property = fc.property(
    ids,
    fc.string(),
    fc.integer({ min: 1, max: 5 }),
    (all, key, count) => {
      const whole = homes.first(key, all, (id) => id, all.length);
      const few = homes.first(key, all, (id) => id, count);
      const shuffled = homes.first(key, [...all].reverse(), (id) => id, count);
      t.deepEqual(few, whole.slice(0, count));
      t.deepEqual(shuffled, few);
    },
  );
  fc.assert(property, { seed: 1, numRuns: 300 });
});

test('the removal of a holder moves only the affinity keys it was home to', (t) => {
  const homes = new HomeRanking(hasher);
  const all = Array.from({ length: 90 }, (_, index) => `engine-${index}`);
  const fewer = all.slice(1);
  for (let index = 0; index < 300; index += 1) {
    const [before] = homes.first(`subject-${index}`, all, (id) => id, 1);
    const [after] = homes.first(`subject-${index}`, fewer, (id) => id, 1);
    if (before !== 'engine-0') t.is(after, before);
  }
});

test('routers of all zones choose the same engine for an uncached affinity key', (t) => {
  const registry = registryOf(200);
  for (let index = 0; index < 40; index += 1) {
    const chosen = [1, 2, 3].map((seed) => {
      const request = requestFor(`subject-${index}`, registry, `zone-${seed % 3}`);
      return place(request, tablesOf(seed)).engine.record.id;
    });
    t.is(new Set(chosen).size, 1, `affinity key ${index}: ${chosen.join(', ')}`);
  }
});

/** The same request with a store link so slow that prefill is faster. */
function withSlowStore(request: PlacementRequest): PlacementRequest {
  return { ...request, stores: request.stores.map((store) => ({ ...store, linkMbps: 1_000 })) };
}

/** Adds so much load to an engine that others are chosen. */
function overload(engineId: string, tables: PlacementTables): void {
  tables.loads.change(engineId, { requests: 1, unreadTokens: 40_000, heldTokens: 40_000 });
}

test('an engine chosen instead of a busy home fetches the shared parts from the store', (t) => {
  const registry = registryOf(90);
  const tables = tablesOf(4);
  const request = requestFor('subject', registry, 'zone-0');
  const home = place(request, tables);
  t.is(home.fetchFrom, STORE);
  overload(home.engine.record.id, tables);
  const other = place(request, tables);
  t.not(other.engine.record.id, home.engine.record.id);
  t.is(other.fetchFrom, STORE);
});

test('the overflow of a busy home goes to the next engine of the ranking', (t) => {
  const registry = registryOf(90);
  const chosen = new Set<string>();
  for (let seed = 1; seed <= 20; seed += 1) {
    const tables = tablesOf(seed);
    const request = requestFor('subject', registry, `zone-${seed % 3}`);
    overload(place(request, tables).engine.record.id, tables);
    chosen.add(place(request, tables).engine.record.id);
  }
  t.is(chosen.size, 1);
});

test('a short prompt goes to the least loaded engine, a long one waits for its home', (t) => {
  const registry = registryOf(90);
  const staysAtHome = (sharedTokens: number): boolean => {
    const tables = tablesOf(4);
    const base = requestFor('subject', registry, 'zone-0');
    const parts = [
      { id: 'common', tokens: sharedTokens / 2 },
      { id: 'subject', tokens: sharedTokens / 2 },
      { id: 'own', tokens: 400 },
    ];
    const promptTokens = sharedTokens + 400;
    const generation = { model: MODEL, parts, promptTokens, maximumOutputTokens: 10 };
    const request = { ...base, generation };
    const home = place(request, tables).engine.record.id;
    // 100 ms of prefill are queued at the home.
    tables.loads.change(home, { requests: 1, unreadTokens: 4_000, heldTokens: 4_000 });
    return place(request, tables).engine.record.id === home;
  };
  t.true(staysAtHome(6_300));
  t.false(staysAtHome(200));
});

/** The same request with an unshared part of the given length. */
function withOwnTokens(request: PlacementRequest, ownTokens: number): PlacementRequest {
  const { generation } = request;
  if (!generation) return request;
  const parts = [...generation.parts.slice(0, -1), { id: 'own', tokens: ownTokens }];
  const promptTokens = parts.reduce((sum, part) => sum + part.tokens, 0);
  return { ...request, generation: { ...generation, parts, promptTokens } };
}

test('only prompts that are mostly shared are saved to a store under pressure', (t) => {
  const base = requestFor('subject', registryOf(20), 'zone-0');
  const saveTarget = (ownTokens: number, pressure: StorePressure, isReported = false) => {
    const tables = tablesOf(7);
    if (isReported) tables.cachedPrefixes.setReportingHolders(new Set([STORE]));
    const request = { ...withOwnTokens(base, ownTokens), storePressure: pressure };
    return place(request, tables).saveTo;
  };
  t.is(saveTarget(3_000, StorePressure.Low), STORE);
  t.is(saveTarget(3_000, StorePressure.High), undefined);
  t.is(saveTarget(1_000, StorePressure.High), STORE);
  t.is(saveTarget(3_000, StorePressure.High, true), STORE);
});

test('stores are under pressure if they would retain a prompt for less than ten seconds', (t) => {
  const { stores } = requestFor('subject', registryOf(1), 'zone-0');
  t.is(storePressure(90_000, stores), StorePressure.Low);
  t.is(storePressure(110_000, stores), StorePressure.High);
  t.is(storePressure(0, []), StorePressure.Low);
});

test('if the store is slower than prefill, the shared parts are fetched from the home', (t) => {
  const registry = registryOf(90);
  const tables = tablesOf(4);
  const request = withSlowStore(requestFor('subject', registry, 'zone-0'));
  const home = place(request, tables);
  overload(home.engine.record.id, tables);
  const other = place(request, tables);
  t.not(other.engine.record.id, home.engine.record.id);
  t.is(other.fetchFrom, home.engine.record.address);
});

test('no source is named if the engine reports that it has all shared parts cached', (t) => {
  const registry = registryOf(90);
  const tables = tablesOf(5);
  const request = requestFor('subject', registry, 'zone-0');
  const home = place(request, tables).engine.record.id;
  tables.cachedPrefixes.recordPrompt(
    home,
    `${MODEL}@1`,
    request.generation?.parts.slice(0, 2) ?? [],
  );
  tables.cachedPrefixes.setReportingHolders(new Set([home]));
  const placed = place(request, tables);
  t.is(placed.engine.record.id, home);
  t.is(placed.fetchFrom, undefined);
});

test('the store is named if the engine does not report its cache contents', (t) => {
  const registry = registryOf(90);
  const tables = tablesOf(5);
  const request = requestFor('subject', registry, 'zone-0');
  const home = place(request, tables).engine.record.id;
  tables.cachedPrefixes.recordPrompt(
    home,
    `${MODEL}@1`,
    request.generation?.parts.slice(0, 2) ?? [],
  );
  const placed = place(request, tables);
  t.is(placed.engine.record.id, home);
  t.is(placed.fetchFrom, STORE);
});

test('a holder that reports its cache is preferred over the store, another one is not', (t) => {
  const registry = registryOf(90);
  const request = requestFor('subject', registry, 'zone-0');
  const fetchSource = (isReported: boolean): string | undefined => {
    const tables = tablesOf(5);
    const home = place(request, tables).engine.record;
    tables.cachedPrefixes.recordPrompt(
      home.id,
      `${MODEL}@1`,
      request.generation?.parts.slice(0, 2) ?? [],
    );
    tables.cachedPrefixes.setReportingHolders(new Set(isReported ? [home.id] : []));
    overload(home.id, tables);
    const placed = place(request, tables);
    t.not(placed.engine.record.id, home.id);
    return placed.fetchFrom === home.address ? 'home' : placed.fetchFrom;
  };
  t.is(fetchSource(true), 'home');
  t.is(fetchSource(false), STORE);
});

test('an engine with another weight version is not used as a source', (t) => {
  const registry = registryOf(90);
  const tables = tablesOf(6);
  const request = withSlowStore(requestFor('subject', registry, 'zone-0'));
  const home = place(request, tables).engine;
  home.observedVersions.set(MODEL, 2);
  overload(home.record.id, tables);
  t.not(place(request, tables).fetchFrom, home.record.address);
});
