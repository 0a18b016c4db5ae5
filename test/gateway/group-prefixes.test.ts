/**
 * Guards against locations of cached prefixes that are wrong for long, are learned twice or never,
 * or cost too many bytes.
 */
import test from 'ava';
import { encodeObservations } from '../../src/protocol/peer/observation-codec.js';
import { memberKey } from '../../src/state/member-key.js';
import { CachedPrefixes } from '../../src/state/routing/cached-prefixes.js';
import { GroupPrefixes } from '../../src/state/routing/group-prefixes.js';
import type { PrefixRead } from '../../src/state/routing/prefix-read-queue.js';

const ENGINES = ['engine-1@1000', 'engine-2@1000'];
const [FIRST, SECOND] = ENGINES as [string, string];
const SALT = 'model-a@1';
const BASE = { id: 'base', tokens: 2_520 };
const SUBJECT = { id: 'subject', tokens: 3_780 };
const SHARED = [BASE, SUBJECT];
const LIMIT = 40;
const MEMORY = { capacityTokens: 86_832, unsharedTokensPerSecond: 5_400 };

class Router {
  readonly cachedPrefixes = new CachedPrefixes();
  engines = [...ENGINES];
  readonly prefixes = new GroupPrefixes(this.cachedPrefixes, {
    idsByKey: () => new Map(this.engines.map((id) => [memberKey(id), id])),
    memoryOf: (id) => (this.engines.includes(id) ? MEMORY : undefined),
  });

  tokensAt(engine: string, salt = SALT): number {
    return this.cachedPrefixes.leadingTokens(salt, SHARED).get(engine) ?? 0;
  }
}

function readsOf(engine: string, nowMs = 0): PrefixRead[] {
  const reporter = new Router();
  reporter.engines.push(engine);
  reporter.prefixes.recordRead(engine, SALT, SHARED, nowMs);
  return reporter.prefixes.takeOwn(LIMIT, nowMs);
}

test('a router resolves the keys of others for prompts that it has never sent', (t) => {
  const router = new Router();
  t.is(router.prefixes.receive(readsOf(FIRST), 100), 2);
  t.is(router.tokensAt(FIRST), 6_300);
  t.is(router.tokensAt(SECOND), 0);
});

test('parts of other weights and of isolated tenants do not match', (t) => {
  const router = new Router();
  router.prefixes.receive(readsOf(FIRST), 100);
  t.is(router.tokensAt(FIRST, 'model-a@2'), 0);
  t.is(router.tokensAt(FIRST, 'model-a@1/tenant'), 0);
});

test('short parts are not reported', (t) => {
  const router = new Router();
  router.prefixes.recordRead(FIRST, SALT, [{ id: 'short', tokens: 198 }], 0);
  t.deepEqual(router.prefixes.takeOwn(LIMIT, 0), []);
});

test('a part that an engine reads often is reported at most every 1.5 s, with the count', (t) => {
  const router = new Router();
  const taken: PrefixRead[] = [];
  for (let nowMs = 0; nowMs < 3_000; nowMs += 100) {
    router.prefixes.recordRead(FIRST, SALT, [SUBJECT], nowMs);
    taken.push(...router.prefixes.takeOwn(LIMIT, nowMs));
  }
  t.deepEqual(
    taken.map(({ reads }) => reads),
    [1, 15],
  );
  t.deepEqual(
    taken.map(({ ageMs }) => ageMs),
    [0, 0],
  );
});

test('a late, duplicated or reordered read does not make a part older or younger', (t) => {
  const router = new Router();
  const reads = readsOf(FIRST);
  router.prefixes.receive(reads, 5_000);
  router.prefixes.receive(
    reads.map((read) => ({ ...read, ageMs: 4_000 })),
    5_100,
  );
  router.prefixes.receive(reads, 5_000);
  t.is(router.prefixes.size, 2);
  router.prefixes.expire(14_900);
  t.is(router.tokensAt(FIRST), 6_300);
  router.prefixes.expire(15_500);
  t.is(router.tokensAt(FIRST), 0);
  router.prefixes.receive(
    reads.map((read) => ({ ...read, ageMs: 60_000 })),
    16_000,
  );
  t.is(router.tokensAt(FIRST), 0);
});

test('a lost report is made good by the next read of the part', (t) => {
  const reporter = new Router();
  const router = new Router();
  reporter.prefixes.recordRead(FIRST, SALT, SHARED, 0);
  reporter.prefixes.takeOwn(LIMIT, 0);
  reporter.prefixes.recordRead(FIRST, SALT, SHARED, 2_000);
  router.prefixes.receive(reporter.prefixes.takeOwn(LIMIT, 2_000), 2_100);
  t.is(router.tokensAt(FIRST), 6_300);
});

test('the least recently used parts expire once newer tokens take the memory', (t) => {
  const router = new Router();
  const engine = FIRST;
  // The parts take 45,360 tokens and the unshared tokens of 6 s 32,400; together over 0.85 of the
  // memory, so the oldest parts are evicted and the base, which was used again, is not.
  for (let index = 0; index < 12; index += 1) {
    const parts = [BASE, { id: `subject-${index}`, tokens: 3_780 }];
    router.prefixes.recordRead(engine, SALT, parts, index * 500);
  }
  router.prefixes.expire(6_000);
  const tokensOf = (index: number): number =>
    router.cachedPrefixes
      .leadingTokens(SALT, [BASE, { id: `subject-${index}`, tokens: 3_780 }])
      .get(engine) ?? 0;
  t.is(tokensOf(0), BASE.tokens);
  t.is(tokensOf(11), 6_300);
});

test('an engine that restarts or leaves loses its locations', (t) => {
  const router = new Router();
  router.prefixes.receive(readsOf(FIRST), 0);
  router.engines = ['engine-1@2000', SECOND];
  router.cachedPrefixes.retain(new Set(router.engines));
  t.is(router.tokensAt(FIRST), 0);
  t.is(router.tokensAt('engine-1@2000'), 0);
  t.is(router.prefixes.receive(readsOf(FIRST), 100), 0);
  router.prefixes.expire(1_000);
  t.is(router.prefixes.size, 0);
});

test('a false report expires, whatever it claims', (t) => {
  const router = new Router();
  const falseReads = readsOf(FIRST).map((read) => ({ ...read, tokens: 4e9, reads: 4e9 }));
  router.prefixes.receive(falseReads, 0);
  router.prefixes.countReads(falseReads, 0);
  t.is(router.tokensAt(FIRST), 6_300);
  t.true(router.cachedPrefixes.readsPerSecond(SALT, SUBJECT.id, 0) < 200);
  // A part that exceeds the memory cannot be cached.
  router.prefixes.expire(500);
  t.is(router.tokensAt(FIRST), 0);
  router.prefixes.receive(readsOf(FIRST), 1_000);
  router.prefixes.expire(11_500);
  t.is(router.tokensAt(FIRST), 0);
  t.is(router.cachedPrefixes.sizeOf(FIRST), 0);
});

test('a false report of a part larger than the memory does not displace the other parts', (t) => {
  const router = new Router();
  router.prefixes.receive(readsOf(FIRST), 0);
  const falseRead = { engineKey: memberKey(FIRST), partKey: 77, tokens: 4e9, ageMs: 0, reads: 1 };
  router.prefixes.receive([falseRead], 100);
  router.prefixes.expire(500);
  t.is(router.tokensAt(FIRST), 6_300);
  t.is(router.prefixes.size, 2);
});

test('stale and short reads take no place in a summary, and a false count is limited', (t) => {
  const collector = new Router();
  const [read] = readsOf(FIRST) as [PrefixRead];
  const stale = Array.from({ length: LIMIT }, (_, partKey) => ({
    ...read,
    partKey,
    tokens: 80_000,
    ageMs: 60_000,
  }));
  collector.prefixes.collect([...stale, { ...read, partKey: 1_000, tokens: 1 }], 0);
  collector.prefixes.collect([{ ...read, reads: 4e9 }], 0);
  const summary = collector.prefixes.takeSummary(LIMIT, 0);
  t.deepEqual(
    summary.map(({ tokens, reads }) => [tokens, reads]),
    [[BASE.tokens, 256]],
  );
});

test('the number of locations and of waiting reads is bounded', (t) => {
  const router = new Router();
  for (let index = 0; index < 20_000; index += 1) {
    const parts = [{ id: `subject-${index}`, tokens: 3_780 }];
    router.prefixes.recordRead(FIRST, SALT, parts, index / 10);
    router.prefixes.collect(readsOf(FIRST), index / 10);
  }
  t.true(router.prefixes.size <= 8_192);
  t.true(router.cachedPrefixes.sizeOf(FIRST) <= 8_192);
  t.is(router.prefixes.takeOwn(1e9, 2_000).length, 2_048);
});

test('under a limit the collector sends new locations before repeated ones', (t) => {
  const router = new Router();
  const readOf = (partKey: number): PrefixRead => ({
    engineKey: memberKey(FIRST),
    partKey,
    tokens: 3_780,
    ageMs: 0,
    reads: 1,
  });
  const repeated = Array.from({ length: LIMIT }, (_, index) => readOf(index));
  router.prefixes.collect(repeated, 0);
  t.is(router.prefixes.takeSummary(LIMIT, 0).length, LIMIT);
  router.prefixes.collect([...repeated, readOf(1_000)], 2_000);
  const keys = router.prefixes.takeSummary(LIMIT, 2_000).map(({ partKey }) => partKey);
  t.is(keys[0], 1_000);
  t.is(keys.length, LIMIT);
});

test('the collector merges the reads of all routers into one entry with their number', (t) => {
  const collector = new Router();
  for (let router = 0; router < 84; router += 1) collector.prefixes.collect(readsOf(FIRST), 0);
  const summary = collector.prefixes.takeSummary(LIMIT, 0);
  t.deepEqual(
    summary.map(({ reads }) => reads),
    [84, 84],
  );
});

test('reads of a build that does not count them count as one', (t) => {
  const router = new Router();
  const uncounted = readsOf(FIRST).map((read) => ({ ...read, reads: 0 }));
  router.prefixes.countReads(uncounted, 0);
  t.true(router.cachedPrefixes.readsPerSecond(SALT, SUBJECT.id, 0) > 0);
  router.prefixes.collect(uncounted, 0);
  t.is(router.prefixes.takeSummary(LIMIT, 0)[0]?.reads, 1);
});

test('a full summary takes less than 1 KB, a report of a router less than 150 bytes', (t) => {
  const reads = Array.from({ length: LIMIT }, (_, index) => ({
    engineKey: 0xfffffff0 + (index % 8),
    partKey: 0xffffff00 + index,
    tokens: 3_780,
    ageMs: 300,
    reads: 3,
  }));
  const sizeOf = (count: number): number => {
    const set = { engineSpeeds: [], prefixReads: reads.slice(0, count), tenantUses: [] };
    return encodeObservations('observationSummary', 'router-0083', 1_000, set).length;
  };
  t.log({ summary: sizeOf(LIMIT), summaryOf33: sizeOf(33), report: sizeOf(2) });
  t.true(sizeOf(LIMIT) < 1_000);
  t.true(sizeOf(2) < 150);
});
