/** Guards against shortcuts in the placement's lookups that change their result. */
import test from 'ava';
import fc from 'fast-check';
import { createHasher } from '../../src/runtime/hasher.js';
import { EngineRegistry } from '../../src/state/routing/engine-registry.js';
import { cacheSaltOf } from '../../src/state/routing/generation.js';
import { HomeRanking } from '../../src/state/routing/home-ranking.js';
import { CachedPrefixes } from '../../src/state/routing/cached-prefixes.js';
import { CachedPromptsBySalt, bestSource } from '../../src/state/routing/prompt-sources.js';
import { engineRecord } from '../helpers/engine-record.js';

const MODEL = 'model-a';
const SERVICE = 'generation';
const PARTS = [
  { id: 'first', tokens: 300 },
  { id: 'second', tokens: 600 },
];
const PROFILE = {
  slots: 8,
  cacheCapacityTokens: 100_000,
  cacheTokenBytes: 100,
  linkMbps: 10_000,
  maximumEventCalls: 8,
};

test('the first eligible holders equal a ranking of the eligible ones', async (t) => {
  const homes = new HomeRanking(await createHasher());
  const property = fc.property(
    fc.uniqueArray(fc.string(), { maxLength: 40 }),
    fc.string(),
    fc.nat({ max: 5 }),
    fc.func(fc.boolean()),
    (holders, affinityKey, count, draw) => {
      const isEligible = (holder: string): boolean => draw(holder);
      const idOf = (holder: string): string => holder;
      const expected = homes.first(affinityKey, holders.filter(isEligible), idOf, count);
      t.deepEqual(homes.firstEligible(affinityKey, holders, idOf, count, isEligible), expected);
    },
  );
  fc.assert(property, { seed: 11, numRuns: 300 });
});

const anyHolder = fc.record({
  zone: fc.nat({ max: 2 }),
  cachedParts: fc.nat({ max: 2 }),
  isReported: fc.boolean(),
});

test('the best source among the filtered ones is the best of all', (t) => {
  const property = fc.property(fc.array(anyHolder, { maxLength: 20 }), (holders) => {
    const registry = new EngineRegistry();
    const cachedPrefixes = new CachedPrefixes();
    const salt = cacheSaltOf(MODEL, 1, '');
    holders.forEach(({ zone, cachedParts }, index) => {
      const id = `engine-${index}`;
      registry.put(engineRecord(id, undefined, { service: SERVICE, zone: `zone-${zone}` }));
      cachedPrefixes.recordPrompt(id, salt, PARTS.slice(0, cachedParts));
    });
    const reporting = holders.flatMap(({ isReported }, index) =>
      isReported ? [`engine-${index}`] : [],
    );
    cachedPrefixes.setReportingHolders(new Set(reporting));
    const candidates = registry.ofService(SERVICE);
    const generation = { model: MODEL, parts: PARTS, promptTokens: 900, maximumOutputTokens: 9 };
    const bySalt = new CachedPromptsBySalt(
      { generation, cacheNamespace: '', candidates, profile: PROFILE, stores: [] },
      cachedPrefixes,
    );
    const { tokensByHolder, sources } = bySalt.of(1);
    const allSources = candidates.flatMap(({ record: { id, address, zone } }) => {
      const tokens = tokensByHolder.get(id);
      if (tokens === undefined) return [];
      const { linkMbps } = PROFILE;
      return [{ tokens, address, zone, linkMbps, isReported: cachedPrefixes.isReported(id) }];
    });
    for (const engine of candidates) {
      const ownTokens = tokensByHolder.get(engine.record.id) ?? 0;
      const expected = bestSource(engine, ownTokens, allSources, PROFILE);
      t.deepEqual(bestSource(engine, ownTokens, sources, PROFILE), expected);
    }
  });
  fc.assert(property, { seed: 12, numRuns: 200 });
});
