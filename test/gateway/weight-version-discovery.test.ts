/** When a version of weights was named, as far as a router can know it. */
import test from 'ava';
import { WeightVersionDiscovery } from '../../src/coordination/gateway/weight-version-discovery.js';
import { DECODER, SIMULATION_MODEL } from '../../src/lab/gateway-simulation/simulation-fixtures.js';
import { SilentLogger } from '../../src/runtime/logger.js';
import { VirtualClock } from '../../src/runtime/virtual-clock.js';
import { StoreOutages } from '../../src/state/routing/store-outages.js';
import { WeightVersions } from '../../src/state/routing/weight-versions.js';
import { positionAt } from '../helpers/positions.js';

const GRACE_MS = 9_000;
const UNSEEN_AGE_MS = 5_000;
const START_MS = 20_000;

function namedObject(version: number) {
  return {
    name: SIMULATION_MODEL,
    position: positionAt(version),
    spec: { model: SIMULATION_MODEL, version },
  };
}

/** A router that starts 20 s after the clock's zero. */
async function newsWorld() {
  const clock = new VirtualClock();
  await clock.advance(START_MS);
  const versions = new WeightVersions(GRACE_MS, new StoreOutages());
  let announcements = 0;
  const startedMs = clock.now();
  const parts = { versions, decoder: DECODER, startedMs, clock, logger: new SilentLogger() };
  const news = new WeightVersionDiscovery(parts, UNSEEN_AGE_MS, () => (announcements += 1));
  return { clock, versions, news, announced: () => announcements };
}

test('what the first watch after a list shows may have been named before it began', async (t) => {
  const { clock, versions, news, announced } = await newsWorld();
  news.takeList([namedObject(1)]);
  news.noteAnswer(clock.elapsed(), false);
  await clock.advance(1_200);
  news.takeChange(namedObject(2), false);
  news.noteAnswer(clock.elapsed(), false);
  // However late it is shown: a router is held to its bounds a fixed time after its start.
  t.is(versions.dueMs(SIMULATION_MODEL, 1, clock.now()), START_MS - UNSEEN_AGE_MS + GRACE_MS);
  t.is(announced(), 0);
  t.deepEqual(news.notices, []);
});

test('a change that a later watch shows was named just now, and is announced', async (t) => {
  const { clock, versions, news, announced } = await newsWorld();
  news.takeList([namedObject(1)]);
  news.noteAnswer(clock.elapsed(), false);
  news.noteAnswer(clock.elapsed(), false);
  await clock.advance(1_000);
  news.takeChange(namedObject(2), false);
  t.is(versions.dueMs(SIMULATION_MODEL, 1, clock.now()), clock.now() + GRACE_MS);
  t.is(announced(), 1);
});

test('a router that saw the version being named knows its time better', async (t) => {
  const { clock, versions, news } = await newsWorld();
  news.takeList([namedObject(1)]);
  news.noteAnswer(clock.elapsed(), false);
  news.takeChange(namedObject(2), false);
  news.noteAnswer(clock.elapsed(), false);
  news.receive({ model: SIMULATION_MODEL, version: 2, ageMs: 2_500 });
  t.is(versions.dueMs(SIMULATION_MODEL, 1, clock.now()), clock.now() - 2_500 + GRACE_MS);
});

test('what is found after a watch has failed may have been named since the last proof', async (t) => {
  const { clock, versions, news, announced } = await newsWorld();
  news.takeList([namedObject(1)]);
  news.noteAnswer(clock.elapsed(), false);
  news.noteAnswer(clock.elapsed(), false);
  // The connection has gone silent: the watch ends by its time limit, without an answer.
  await clock.advance(3_800);
  news.noteFailure();
  news.takeChange(namedObject(2), false);
  t.is(versions.dueMs(SIMULATION_MODEL, 1, clock.now()), clock.now() - 3_800 + GRACE_MS);
  t.is(announced(), 0);
  t.deepEqual(news.notices, []);
});

test('after an answer changes are dated by when they are shown again', async (t) => {
  const { clock, versions, news } = await newsWorld();
  news.takeList([namedObject(1)]);
  news.noteAnswer(clock.elapsed(), false);
  news.noteAnswer(clock.elapsed(), false);
  await clock.advance(3_800);
  news.noteFailure();
  news.noteAnswer(clock.elapsed(), false);
  await clock.advance(1_000);
  news.takeChange(namedObject(2), false);
  t.is(versions.dueMs(SIMULATION_MODEL, 1, clock.now()), clock.now() + GRACE_MS);
});

test('a change that another router relays is dated by the last proof and witnessed by nobody', async (t) => {
  const { clock, versions, news, announced } = await newsWorld();
  news.takeList([namedObject(1)]);
  news.noteAnswer(clock.elapsed(), true);
  const proven = clock.elapsed();
  news.noteAnswer(proven, true);
  // Answers keep coming; the proof in them does not grow newer, since the reader's connection is silent.
  await clock.advance(1_300);
  news.noteAnswer(proven, true);
  await clock.advance(100);
  news.takeChange(namedObject(2), true);
  t.is(versions.dueMs(SIMULATION_MODEL, 1, clock.now()), clock.now() - 1_400 + GRACE_MS);
  t.is(announced(), 0);
  t.deepEqual(news.notices, []);
});

test('the first change that the store itself shows after relayed ones is dated so too', async (t) => {
  const { clock, versions, news } = await newsWorld();
  news.takeList([namedObject(1)]);
  news.noteAnswer(clock.elapsed(), true);
  news.noteAnswer(clock.elapsed(), true);
  await clock.advance(1_500);
  news.takeChange(namedObject(2), false);
  t.is(versions.dueMs(SIMULATION_MODEL, 1, clock.now()), clock.now() - 1_500 + GRACE_MS);
});

test('what is named as the store comes back is not dated before it was out', async (t) => {
  const { clock, versions, news } = await newsWorld();
  news.takeList([namedObject(1)]);
  news.noteAnswer(clock.elapsed(), false);
  news.noteAnswer(clock.elapsed(), false);
  await clock.advance(2_500);
  news.noteFailure();
  await clock.advance(6_000);
  news.noteFailure();
  news.takeChange(namedObject(2), false);
  // The time since the first failure, which the bound does not count.
  t.is(versions.dueMs(SIMULATION_MODEL, 1, clock.now()), clock.now() - 6_000 + GRACE_MS);
});
