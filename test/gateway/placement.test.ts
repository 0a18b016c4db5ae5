/** Placement in large services: routers agree on a subject's home and guess where it is kept. */
import { fc } from '@fast-check/ava';
import test from 'ava';
import { createHasher } from '../../src/runtime/hasher.js';
import { SeededRandom } from '../../src/runtime/random.js';
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
    kept: new CachedPrefixes(),
    versions: new WeightVersions(7_000, new StoreOutages()),
    random: new SeededRandom(seed),
    homes: new HomeRanking(hasher),
  };
}

function requestAbout(subject: string, registry: EngineRegistry, zone: string): PlacementRequest {
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
        { id: subject, tokens: 3_800 },
        { id: `${subject}-own`, tokens: 2_900 },
      ],
      promptTokens: 9_200,
      maximumOutputTokens: 10,
    },
    isolatedTenant: undefined,
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
    turns: { wallMs: 0, interval: undefined },
  };
}

function place(request: PlacementRequest, tables: PlacementTables): Placement {
  const placed = placeRequest(request, tables, 0);
  if (typeof placed === 'string') throw new Error(placed);
  return placed;
}

test('the first of a ranking are those a full sort puts first', (t) => {
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

test('a holder that leaves moves only its own subjects', (t) => {
  const homes = new HomeRanking(hasher);
  const all = Array.from({ length: 90 }, (_, index) => `engine-${index}`);
  const fewer = all.slice(1);
  for (let turn = 0; turn < 300; turn += 1) {
    const [before] = homes.first(`subject-${turn}`, all, (id) => id, 1);
    const [after] = homes.first(`subject-${turn}`, fewer, (id) => id, 1);
    if (before !== 'engine-0') t.is(after, before);
  }
});

test('routers of all zones choose the same engine for a subject that nobody is known to keep', (t) => {
  const registry = registryOf(200);
  for (let subject = 0; subject < 40; subject += 1) {
    const chosen = [1, 2, 3].map((seed) => {
      const request = requestAbout(`subject-${subject}`, registry, `zone-${seed % 3}`);
      return place(request, tablesOf(seed)).engine.record.id;
    });
    t.is(new Set(chosen).size, 1, `subject ${subject}: ${chosen.join(', ')}`);
  }
});

/** The same request where the store's link is so slow that reading is faster. */
function withSlowStore(request: PlacementRequest): PlacementRequest {
  return { ...request, stores: request.stores.map((store) => ({ ...store, linkMbps: 1_000 })) };
}

/** Makes an engine so busy that others are chosen. */
function makeBusy(engineId: string, tables: PlacementTables): void {
  tables.loads.change(engineId, { requests: 1, unreadTokens: 40_000, heldTokens: 40_000 });
}

test('an engine that stands in for a busy home takes the shared parts from the store', (t) => {
  const registry = registryOf(90);
  const tables = tablesOf(4);
  const request = requestAbout('subject', registry, 'zone-0');
  const home = place(request, tables);
  t.is(home.fetchFrom, STORE);
  makeBusy(home.engine.record.id, tables);
  const other = place(request, tables);
  t.not(other.engine.record.id, home.engine.record.id);
  t.is(other.fetchFrom, STORE);
});

test('what a busy home leaves over meets at the next engines of the ranking', (t) => {
  const registry = registryOf(90);
  const chosen = new Set<string>();
  for (let seed = 1; seed <= 20; seed += 1) {
    const tables = tablesOf(seed);
    const request = requestAbout('subject', registry, `zone-${seed % 3}`);
    makeBusy(place(request, tables).engine.record.id, tables);
    chosen.add(place(request, tables).engine.record.id);
  }
  t.is(chosen.size, 1);
});

test('a short prompt goes where least waits, a long one waits a while for its home', (t) => {
  const registry = registryOf(90);
  const chosenBeside = (sharedTokens: number): boolean => {
    const tables = tablesOf(4);
    const base = requestAbout('subject', registry, 'zone-0');
    const parts = [
      { id: 'common', tokens: sharedTokens / 2 },
      { id: 'subject', tokens: sharedTokens / 2 },
      { id: 'own', tokens: 400 },
    ];
    const promptTokens = sharedTokens + 400;
    const generation = { model: MODEL, parts, promptTokens, maximumOutputTokens: 10 };
    const request = { ...base, generation };
    const home = place(request, tables).engine.record.id;
    // 100 ms of reading wait at the home.
    tables.loads.change(home, { requests: 1, unreadTokens: 4_000, heldTokens: 4_000 });
    return place(request, tables).engine.record.id === home;
  };
  t.true(chosenBeside(6_300));
  t.false(chosenBeside(200));
});

/** A request about `subject` whose own part is of the given length. */
function withOwnPart(request: PlacementRequest, ownTokens: number): PlacementRequest {
  const { generation } = request;
  if (!generation) return request;
  const parts = [...generation.parts.slice(0, -1), { id: 'own', tokens: ownTokens }];
  const promptTokens = parts.reduce((sum, part) => sum + part.tokens, 0);
  return { ...request, generation: { ...generation, parts, promptTokens } };
}

test('a store under pressure is sent only prompts that are mostly shared', (t) => {
  const base = requestAbout('subject', registryOf(20), 'zone-0');
  const savedTo = (ownTokens: number, pressure: StorePressure, isReported = false) => {
    const tables = tablesOf(7);
    if (isReported) tables.kept.setReported(new Set([STORE]));
    const request = { ...withOwnPart(base, ownTokens), storePressure: pressure };
    return place(request, tables).saveTo;
  };
  t.is(savedTo(3_000, StorePressure.Low), STORE);
  t.is(savedTo(3_000, StorePressure.High), undefined);
  t.is(savedTo(1_000, StorePressure.High), STORE);
  t.is(savedTo(3_000, StorePressure.High, true), STORE);
});

test('stores are under pressure where they would keep a prompt for less than ten seconds', (t) => {
  const { stores } = requestAbout('subject', registryOf(1), 'zone-0');
  t.is(storePressure(90_000, stores), StorePressure.Low);
  t.is(storePressure(110_000, stores), StorePressure.High);
  t.is(storePressure(0, []), StorePressure.Low);
});

test('where the store is slower than reading, a stand-in takes the shared parts from the home', (t) => {
  const registry = registryOf(90);
  const tables = tablesOf(4);
  const request = withSlowStore(requestAbout('subject', registry, 'zone-0'));
  const home = place(request, tables);
  makeBusy(home.engine.record.id, tables);
  const other = place(request, tables);
  t.not(other.engine.record.id, home.engine.record.id);
  t.is(other.fetchFrom, home.engine.record.address);
});

test('no source is named where the engine reports that it keeps all that is shared', (t) => {
  const registry = registryOf(90);
  const tables = tablesOf(5);
  const request = requestAbout('subject', registry, 'zone-0');
  const home = place(request, tables).engine.record.id;
  tables.kept.notePrompt(home, `${MODEL}@1`, request.generation?.parts.slice(0, 2) ?? []);
  tables.kept.setReported(new Set([home]));
  const placed = place(request, tables);
  t.is(placed.engine.record.id, home);
  t.is(placed.fetchFrom, undefined);
});

test('the store is named where nothing tells what the engine still keeps', (t) => {
  const registry = registryOf(90);
  const tables = tablesOf(5);
  const request = requestAbout('subject', registry, 'zone-0');
  const home = place(request, tables).engine.record.id;
  tables.kept.notePrompt(home, `${MODEL}@1`, request.generation?.parts.slice(0, 2) ?? []);
  const placed = place(request, tables);
  t.is(placed.engine.record.id, home);
  t.is(placed.fetchFrom, STORE);
});

test('a holder that reports goes before the store, one that does not goes after it', (t) => {
  const registry = registryOf(90);
  const request = requestAbout('subject', registry, 'zone-0');
  const sourceOf = (isReported: boolean): string | undefined => {
    const tables = tablesOf(5);
    const home = place(request, tables).engine.record;
    tables.kept.notePrompt(home.id, `${MODEL}@1`, request.generation?.parts.slice(0, 2) ?? []);
    tables.kept.setReported(new Set(isReported ? [home.id] : []));
    makeBusy(home.id, tables);
    const placed = place(request, tables);
    t.not(placed.engine.record.id, home.id);
    return placed.fetchFrom === home.address ? 'home' : placed.fetchFrom;
  };
  t.is(sourceOf(true), 'home');
  t.is(sourceOf(false), STORE);
});

test('an engine of another version is no source', (t) => {
  const registry = registryOf(90);
  const tables = tablesOf(6);
  const request = withSlowStore(requestAbout('subject', registry, 'zone-0'));
  const home = place(request, tables).engine;
  home.observedVersions.set(MODEL, 2);
  makeBusy(home.record.id, tables);
  t.not(place(request, tables).fetchFrom, home.record.address);
});
