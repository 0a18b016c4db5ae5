/** What a placement leaves out of its look-ups does not change what it finds. */
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

test('the first fit holders are those of a ranking of the fit ones', async (t) => {
  const homes = new HomeRanking(await createHasher());
  const property = fc.property(
    fc.uniqueArray(fc.string(), { maxLength: 40 }),
    fc.string(),
    fc.nat({ max: 5 }),
    fc.func(fc.boolean()),
    (holders, subject, count, draw) => {
      const isFit = (holder: string): boolean => draw(holder);
      const idOf = (holder: string): string => holder;
      const expected = homes.first(subject, holders.filter(isFit), idOf, count);
      t.deepEqual(homes.firstEligible(subject, holders, idOf, count, isFit), expected);
    },
  );
  fc.assert(property, { seed: 11, numRuns: 300 });
});

const anyHolder = fc.record({
  zone: fc.nat({ max: 2 }),
  keptParts: fc.nat({ max: 2 }),
  isReported: fc.boolean(),
});

test('an engine takes a prompt from where it would if it looked at all that keep it', (t) => {
  const property = fc.property(fc.array(anyHolder, { maxLength: 20 }), (holders) => {
    const registry = new EngineRegistry();
    const kept = new CachedPrefixes();
    const salt = cacheSaltOf(MODEL, 1, undefined);
    holders.forEach(({ zone, keptParts }, index) => {
      const id = `engine-${index}`;
      registry.put(engineRecord(id, undefined, { service: SERVICE, zone: `zone-${zone}` }));
      kept.notePrompt(id, salt, PARTS.slice(0, keptParts));
    });
    const reported = holders.flatMap(({ isReported }, index) =>
      isReported ? [`engine-${index}`] : [],
    );
    kept.setReported(new Set(reported));
    const candidates = registry.ofService(SERVICE);
    const generation = { model: MODEL, parts: PARTS, promptTokens: 900, maximumOutputTokens: 9 };
    const bySalt = new CachedPromptsBySalt(
      { generation, isolatedTenant: undefined, candidates, profile: PROFILE, stores: [] },
      kept,
    );
    const { tokensByHolder, sources } = bySalt.of(1);
    const all = candidates.flatMap(({ record: { id, address, zone } }) => {
      const tokens = tokensByHolder.get(id);
      if (tokens === undefined) return [];
      const { linkMbps } = PROFILE;
      return [{ tokens, address, zone, linkMbps, isReported: kept.isReported(id) }];
    });
    for (const engine of candidates) {
      const own = tokensByHolder.get(engine.record.id) ?? 0;
      const expected = bestSource(engine, own, all, PROFILE);
      t.deepEqual(bestSource(engine, own, sources, PROFILE), expected);
    }
  });
  fc.assert(property, { seed: 12, numRuns: 200 });
});
