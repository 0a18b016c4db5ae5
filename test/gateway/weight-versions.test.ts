/** Guards against version deadlines that depend on the order in which versions are learned. */
import test from 'ava';
import fc from 'fast-check';
import { StoreOutages } from '../../src/state/routing/store-outages.js';
import { type PublishedVersion, WeightVersions } from '../../src/state/routing/weight-versions.js';

const MODEL = 'model-a';
const GRACE_MS = 9_000;
const SEED = { seed: 41, numRuns: 400 };

const anyVersion: fc.Arbitrary<PublishedVersion> = fc.record({
  version: fc.integer({ min: 1, max: 6 }),
  namedMs: fc.integer({ min: 0, max: 30_000 }),
  isWitnessed: fc.boolean(),
});

/** Reference implementation: the most reliable time of each version. */
function mostReliableTimes(notes: readonly PublishedVersion[]): Map<number, number> {
  const times = new Map<number, number>();
  for (const version of new Set(notes.map((note) => note.version))) {
    const all = notes.filter((note) => note.version === version);
    const witnessed = all.filter((note) => note.isWitnessed);
    const mostReliable = witnessed.length > 0 ? witnessed : all;
    times.set(version, Math.min(...mostReliable.map((note) => note.namedMs)));
  }
  return times;
}

test('the versions and deadlines do not depend on the order of arrival', (t) => {
  const property = fc.property(
    fc.array(anyVersion, { minLength: 1, maxLength: 20 }),
    fc.integer({ min: 0, max: 45_000 }),
    (notes, nowMs) => {
      const versions = new WeightVersions(GRACE_MS, new StoreOutages());
      let newest = 0;
      for (const note of notes) {
        t.is(versions.record(MODEL, note), note.version > newest);
        newest = Math.max(newest, note.version);
      }
      const times = [...mostReliableTimes(notes)].sort(([left], [right]) => left - right);
      t.is(versions.newest(MODEL), newest);
      const due = times.filter(([, namedMs]) => nowMs >= namedMs + GRACE_MS);
      t.is(versions.minimum(MODEL, nowMs), Math.max(0, ...due.map(([version]) => version)));
      for (let version = 0; version <= newest; version += 1) {
        const next = times.find(([each]) => each > version);
        t.is(versions.dueMs(MODEL, version, nowMs), next && next[1] + GRACE_MS);
      }
    },
  );
  fc.assert(property, SEED);
});

test('only recent versions with an observed publication are returned', (t) => {
  const versions = new WeightVersions(GRACE_MS, new StoreOutages());
  versions.record(MODEL, { version: 2, namedMs: 1_000, isWitnessed: true });
  versions.record(MODEL, { version: 3, namedMs: 2_000, isWitnessed: false });
  versions.record(MODEL, { version: 4, namedMs: 3_000, isWitnessed: true });
  const returned = (sinceMs: number): number[] =>
    versions.observedSince(MODEL, sinceMs).map(({ version }) => version);
  t.deepEqual(returned(0), [2, 4]);
  t.deepEqual(returned(1_500), [4]);
});

test('the publication rate follows from the intervals between versions and the time since the last', (t) => {
  const versions = new WeightVersions(GRACE_MS, new StoreOutages());
  const rate = (nowMs: number): number => versions.publicationsPerSecond(MODEL, 20_000, nowMs);
  t.is(rate(2_000), 0);
  versions.record(MODEL, { version: 2, namedMs: 2_000, isWitnessed: true });
  t.is(rate(2_000), 0.05);
  versions.record(MODEL, { version: 3, namedMs: 6_000, isWitnessed: true });
  t.is(rate(6_000), 0.25);
  versions.record(MODEL, { version: 4, namedMs: 10_000, isWitnessed: true });
  t.is(rate(14_000), 0.25);
  // Two intervals of 4 s, and 6 s since the last version.
  t.is(rate(16_000), 0.2);
  t.true(rate(21_000) < 0.16);
  t.is(rate(40_000), 0);
});
