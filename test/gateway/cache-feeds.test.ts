/** The feeds of what engines keep, when an engine starts again under its name. */
import test from 'ava';
import { CacheFeeds } from '../../src/coordination/gateway/cache-feeds.js';
import type { CacheEventPage, InferencePort } from '../../src/protocol/inference/port.js';
import { SilentLogger } from '../../src/runtime/logger.js';
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
const FORMER = incarnationOf(NAME, FIRST_MS);
const LATER = incarnationOf(NAME, SECOND_MS);

/** A router that follows one engine, whose answers come from a function. */
function feedWorld(answer: (since: number) => CacheEventPage) {
  const world = new EngineListHarness({ decoder: DECODER });
  world.lives.takeEntry(engineRecord(NAME, FIRST_MS));
  const kept = new CachedPrefixes();
  const asked: number[] = [];
  const engines = {
    cacheContents: () => Promise.resolve({ epoch: 1, next: 40, held: [], bornMs: FIRST_MS }),
    cacheEvents: (_address: string, since: number) => {
      asked.push(since);
      return Promise.resolve(answer(since));
    },
  };
  const feeds = new CacheFeeds({
    kept,
    engines: engines as unknown as InferencePort,
    clock: world.clock,
    random: new SeededRandom(1),
    logger: new SilentLogger(),
    isOfHolder: (holder, bornMs) => world.lives.takeAnswerOf(holder, bornMs, 'cache-events'),
  });
  return { ...world, clock: world.clock, lives: world.lives, kept, asked, feeds };
}

function pageOf(bornMs: number, next: number, partId: string): CacheEventPage {
  // The same epoch in both lives: the start alone shows that they are two.
  return { bornMs, epoch: 1, next, hasGap: false, events: [{ salt: 's', partId, tokens: 10 }] };
}

test('a page of a later life is not taken for the life that is followed, and ends it', async (t) => {
  let bornMs = FIRST_MS;
  const { clock, kept, feeds, registry } = feedWorld((since) => pageOf(bornMs, since + 1, 'part'));
  feeds.follow([{ holder: FORMER, address: ADDRESS }]);
  await clock.advance(100);
  t.is(kept.sizeOf(FORMER), 1);
  kept.forget(FORMER);
  bornMs = SECOND_MS;
  await clock.advance(2_000);
  t.is(kept.sizeOf(FORMER), 0);
  t.is(registry.findByName(NAME)?.record.bornMs, SECOND_MS);
  feeds.stop();
});

test('a later life is followed from its own beginning', async (t) => {
  const { clock, kept, asked, feeds } = feedWorld((since) => pageOf(SECOND_MS, since + 1, 'new'));
  feeds.follow([{ holder: FORMER, address: ADDRESS }]);
  await clock.advance(500);
  t.is(asked[0], 40);
  asked.length = 0;
  feeds.follow([{ holder: LATER, address: ADDRESS }]);
  await clock.advance(500);
  t.true(asked.includes(0));
  t.is(kept.sizeOf(LATER), 1);
  t.is(kept.sizeOf(FORMER), 0);
  feeds.stop();
});
