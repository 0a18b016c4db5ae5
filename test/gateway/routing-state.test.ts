/** Property tests of the pure parts of the routing state. */
import test from 'ava';
import fc from 'fast-check';
import { CachedPrefixes } from '../../src/state/routing/cached-prefixes.js';
import { type CacheFeed, assignedFeeds } from '../../src/state/routing/feed-share.js';
import { SharedRetryBudget } from '../../src/state/routing/shared-retry-budget.js';
import { TrafficSplit } from '../../src/state/routing/traffic-split.js';
import type { Route } from '../../src/state/routing/configuration.js';

const SEED = { seed: 77, numRuns: 300 };

test('cached prefixes equal those of a plain table', (t) => {
  const holder = fc.constantFrom('a', 'b', 'c');
  const salt = fc.constantFrom('s1', 's2');
  const part = fc.constantFrom('p', 'q', 'r');
  const entry = fc.tuple(holder, salt, part, fc.constantFrom(0, 5, 10));
  const property = fc.property(fc.array(entry, { maxLength: 40 }), (entries) => {
    const cachedPrefixes = new CachedPrefixes();
    const table = new Map<string, number>();
    for (const [name, salted, id, tokens] of entries) {
      cachedPrefixes.record(name, salted, id, tokens);
      table.set(`${name}/${salted}/${id}`, tokens);
    }
    const parts = ['p', 'q', 'r'].map((id) => ({ id, tokens: 10 }));
    for (const salted of ['s1', 's2']) {
      const leading = cachedPrefixes.leadingTokens(salted, parts);
      for (const name of ['a', 'b', 'c']) {
        let expected = 0;
        for (const { id } of parts) {
          const tokens = table.get(`${name}/${salted}/${id}`) ?? 0;
          expected += tokens;
          if (tokens < 10) break;
        }
        t.is(leading.get(name) ?? 0, expected);
      }
    }
    cachedPrefixes.forget('a');
    t.is(cachedPrefixes.leadingTokens('s1', parts).get('a') ?? 0, 0);
    t.is(cachedPrefixes.sizeOf('a'), 0);
  });
  fc.assert(property, SEED);
});

test('no holder has more followers than it allows, and no router follows too many feeds', (t) => {
  const property = fc.property(
    fc.integer({ min: 1, max: 120 }),
    fc.integer({ min: 1, max: 120 }),
    fc.constantFrom(3, 12),
    (holders, routers, maximumCalls) => {
      const feeds: CacheFeed[] = Array.from({ length: holders }, (_, index) => ({
        holder: `engine-${index}`,
        address: `10.0.0.${index}:1`,
        maximumCalls,
      }));
      const followers = new Map<string, number>();
      for (let rank = 0; rank < routers; rank += 1) {
        const own = assignedFeeds(feeds, rank, routers);
        t.true(own.length <= 48);
        t.is(new Set(own.map((feed) => feed.holder)).size, own.length);
        for (const { holder } of own) followers.set(holder, (followers.get(holder) ?? 0) + 1);
      }
      for (const count of followers.values()) t.true(count <= maximumCalls);
    },
  );
  fc.assert(property, SEED);
});

test('a router follows no feeds if it could follow only a small share of them', (t) => {
  const feeds = Array.from({ length: 66 }, (_, index) => ({
    holder: `engine-${index}`,
    address: 'a:1',
    maximumCalls: 12,
  }));
  t.is(assignedFeeds(feeds, 5, 79).length, 0);
  t.is(assignedFeeds(feeds, 5, 12).length, 48);
});

test('cached prefixes of a holder without a feed expire unless recorded again', (t) => {
  const cachedPrefixes = new CachedPrefixes();
  const tokensAt = (holder: string): number =>
    cachedPrefixes.leadingTokens('salt', [{ id: 'part', tokens: 5 }]).get(holder) ?? 0;
  for (const holder of ['reported', 'unreported', 'used'])
    cachedPrefixes.record(holder, 'salt', 'part', 5);
  cachedPrefixes.setReportingHolders(new Set(['reported']));
  cachedPrefixes.expire();
  t.is(tokensAt('unreported'), 5);
  cachedPrefixes.record('used', 'salt', 'part', 5);
  cachedPrefixes.expire();
  t.deepEqual(['reported', 'unreported', 'used'].map(tokensAt), [5, 0, 5]);
});

test('in a small deployment every router follows every holder', (t) => {
  const feeds = Array.from({ length: 14 }, (_, index) => ({
    holder: `engine-${index}`,
    address: 'a:1',
    maximumCalls: 12,
  }));
  for (let rank = 0; rank < 7; rank += 1) t.is(assignedFeeds(feeds, rank, 7).length, 14);
});

test('retries stay within their share of the requests in the window', (t) => {
  const event = fc.tuple(fc.boolean(), fc.integer({ min: 0, max: 400 }));
  const property = fc.property(fc.array(event, { maxLength: 300 }), (events) => {
    const budget = new SharedRetryBudget({ ratio: 0.2, windowMs: 10_000, allowance: 54 });
    let nowMs = 0;
    const requests: number[] = [];
    const retries: number[] = [];
    for (const [isFirstAttempt, gapMs] of events) {
      nowMs += gapMs;
      if (isFirstAttempt) {
        budget.noteRequest(nowMs);
        requests.push(nowMs);
      } else if (budget.trySpend(nowMs, 7)) retries.push(nowMs);
      const countInWindow = (times: number[]): number =>
        times.filter((timeMs) => timeMs > nowMs - 10_000).length;
      t.true(countInWindow(retries) <= 0.2 * countInWindow(requests) + 54 / 7 + 10);
    }
  });
  fc.assert(property, SEED);
});

test('a traffic split deviates from each weight by at most one request per target', (t) => {
  const weights = fc.array(fc.integer({ min: 1, max: 100 }), { minLength: 2, maxLength: 5 });
  const property = fc.property(weights, fc.integer({ min: 1, max: 400 }), (parts, count) => {
    const targets = parts.map((weight, index) => ({ service: `s${index}`, weight }));
    const route = { name: 'r', targets } as unknown as Route;
    const split = new TrafficSplit();
    const total = parts.reduce((sum, weight) => sum + weight, 0);
    const requestsByService = new Map<string, number>();
    for (let index = 0; index < count; index += 1) {
      const service = split.next(route) as string;
      requestsByService.set(service, (requestsByService.get(service) ?? 0) + 1);
    }
    for (const { service, weight } of targets) {
      const share = (count * weight) / total;
      t.true(Math.abs((requestsByService.get(service) ?? 0) - share) <= parts.length);
    }
  });
  fc.assert(property, SEED);
});
