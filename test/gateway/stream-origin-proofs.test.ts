/**
 * Guards against streams that are joined from two builds because routers that know of one build only
 * confirm each other, and against their rejection where the record or all routers decide.
 */
import test from 'ava';
import { EVERY_ROUTER, OriginNetwork, SERVICE, addressOf } from '../helpers/origin-network.js';
import { StoredBuilds } from '../helpers/stored-builds.js';

const ORIGIN = { service: SERVICE, build: 'v2' };
const SOLE_BUILD = { kind: 'sole-build', build: 'v1' };
/** Long enough for all routers to make their calls to the store. */
const STORED_MS = 5_000;
const RETENTION_MS = 60_000;

// They answer each other that they know of one build, and can't read the record.
test('routers that are cut off together know of no only build', async (t) => {
  const network = await OriginNetwork.create();
  await network.clock.advance(STORED_MS);
  for (const index of [4, 5, 6]) network.island.add(addressOf(index));
  network.addSecondBuild([0, 1, 2, 3]);
  await network.clock.advance(STORED_MS);
  network.store.isDown = true;
  for (let stream = 0; stream < 30; stream += 1) network.node(0).note(`attempt-${stream}`, ORIGIN);
  for (let stream = 0; stream < 30; stream += 1)
    t.deepEqual(await network.find(4 + (stream % 3), `attempt-${stream}`), { kind: 'unknown' });
});

test('routers that are cut off together, and read the record, find that there are several builds', async (t) => {
  const network = await OriginNetwork.create();
  await network.clock.advance(STORED_MS);
  for (const index of [4, 5, 6]) network.island.add(addressOf(index));
  network.addSecondBuild([0, 1, 2, 3]);
  await network.clock.advance(STORED_MS);
  network.node(0).note('attempt-1', ORIGIN);
  for (const index of [4, 5, 6])
    t.deepEqual(await network.find(index, 'attempt-1'), { kind: 'unknown' });
});

test('without the store, one router that does not answer leaves the only build unknown', async (t) => {
  const network = await OriginNetwork.create();
  await network.clock.advance(STORED_MS);
  network.store.isDown = true;
  for (let stream = 0; stream < 10; stream += 1)
    t.deepEqual(await network.find(1, `attempt-${stream}`), SOLE_BUILD);
  network.down.add(addressOf(6));
  for (let stream = 0; stream < 10; stream += 1)
    t.deepEqual(await network.find(1, `attempt-${stream}`), { kind: 'unknown' });
});

// One router still sees the earlier build only, and the others the one that replaced it.
test('routers that see one build each, but not the same, know of no only build', async (t) => {
  const network = await OriginNetwork.create(false, new StoredBuilds(true));
  network.replaceFirstBuild([0, 2, 3, 4, 5, 6]);
  await network.clock.advance(RETENTION_MS + STORED_MS);
  t.deepEqual(await network.find(1, 'attempt-1'), { kind: 'unknown' });
  t.deepEqual(await network.find(0, 'attempt-1'), { kind: 'unknown' });
});

test('a stream that nobody knows is found without a read of the record where that decides nothing', async (t) => {
  const network = await OriginNetwork.create();
  await network.clock.advance(STORED_MS);
  const { store } = network;
  const readsBefore = store.reads;
  t.deepEqual(await network.find(1, 'attempt-1'), SOLE_BUILD);
  t.is(store.reads, readsBefore + 1, 'one build, and not all routers are holders');
  network.addSecondBuild(EVERY_ROUTER);
  await network.clock.advance(STORED_MS);
  const readsOfBoth = store.reads;
  t.deepEqual(await network.find(1, 'attempt-2'), { kind: 'unknown' });
  t.is(store.reads, readsOfBoth, 'two builds');
});
