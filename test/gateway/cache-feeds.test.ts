/** Cache feeds must not mix the contents of two incarnations of an engine. */
import test from 'ava';
import { CacheFeeds } from '../../src/coordination/gateway/cache-feeds.js';
import type { CacheEventPage, InferencePort } from '../../src/protocol/inference/port.js';
import { NoopLogger } from '../../src/runtime/logger.js';
import { SeededRandom } from '../../src/runtime/random.js';
import { incarnationOf } from '../../src/state/routing/engine-incarnation.js';
import { CachedPrefixes } from '../../src/state/routing/cached-prefixes.js';
import { DECODER } from '../../src/lab/gateway-simulation/simulation-fixtures.js';
import { EngineListHarness } from '../helpers/engine-list-harness.js';
import { engineRecord } from '../helpers/engine-record.js';

const NAME = 'engine-0';
const ADDRESS = 'engine-0:1';
const FIRST_MS = 1_000_000;
const SECOND_MS = 1_060_000;
const PREVIOUS = incarnationOf(NAME, FIRST_MS);
const LATER = incarnationOf(NAME, SECOND_MS);

/** A router that follows one engine; `respond` provides the engine's responses. */
function feedHarness(respond: (since: number) => CacheEventPage) {
  const harness = new EngineListHarness({ decoder: DECODER });
  harness.incarnations.applyEntry(engineRecord(NAME, FIRST_MS));
  const cachedPrefixes = new CachedPrefixes();
  const requestedSince: number[] = [];
  const engines = {
    cacheContents: () => Promise.resolve({ epoch: 1, next: 40, held: [], startedAtMs: FIRST_MS }),
    cacheEvents: (_address: string, since: number) => {
      requestedSince.push(since);
      return Promise.resolve(respond(since));
    },
  };
  const feeds = new CacheFeeds({
    cachedPrefixes,
    engines: engines as unknown as InferencePort,
    clock: harness.clock,
    random: new SeededRandom(1),
    logger: new NoopLogger(),
    isOfHolder: (holder, startedAtMs) =>
      harness.incarnations.acceptResponseOf(holder, startedAtMs, 'cache-events'),
  });
  return {
    ...harness,
    clock: harness.clock,
    incarnations: harness.incarnations,
    cachedPrefixes,
    requestedSince,
    feeds,
  };
}

function pageOf(startedAtMs: number, next: number, partId: string): CacheEventPage {
  // Both incarnations have the same epoch; only the start time distinguishes them.
  return {
    startedAtMs,
    epoch: 1,
    next,
    hasGap: false,
    events: [{ salt: 's', partId, tokens: 10 }],
  };
}

test('a page of a later incarnation is not applied to the followed one and replaces it in the registry', async (t) => {
  let startedAtMs = FIRST_MS;
  const { clock, cachedPrefixes, feeds, registry } = feedHarness((since) =>
    pageOf(startedAtMs, since + 1, 'part'),
  );
  feeds.follow([{ holder: PREVIOUS, address: ADDRESS }]);
  await clock.advance(100);
  t.is(cachedPrefixes.sizeOf(PREVIOUS), 1);
  cachedPrefixes.forget(PREVIOUS);
  startedAtMs = SECOND_MS;
  await clock.advance(2_000);
  t.is(cachedPrefixes.sizeOf(PREVIOUS), 0);
  t.is(registry.findByName(NAME)?.record.startedAtMs, SECOND_MS);
  feeds.stop();
});

test('a later incarnation is followed from the beginning of its events', async (t) => {
  const { clock, cachedPrefixes, requestedSince, feeds } = feedHarness((since) =>
    pageOf(SECOND_MS, since + 1, 'new'),
  );
  feeds.follow([{ holder: PREVIOUS, address: ADDRESS }]);
  await clock.advance(500);
  t.is(requestedSince[0], 40);
  requestedSince.length = 0;
  feeds.follow([{ holder: LATER, address: ADDRESS }]);
  await clock.advance(500);
  t.true(requestedSince.includes(0));
  t.is(cachedPrefixes.sizeOf(LATER), 1);
  t.is(cachedPrefixes.sizeOf(PREVIOUS), 0);
  feeds.stop();
});
