/**
 * Guards against streams that are taken up at another build, or are rejected although a router knows
 * the build that began them.
 */
import test from 'ava';
import type { OriginFinding } from '../../src/coordination/gateway/stream-origin-questions.js';
import type { StorePosition } from '../../src/runtime/store-position.js';
import { BuildHistory } from '../../src/state/routing/build-history.js';
import { engineRecord } from '../helpers/engine-record.js';
import {
  ANSWERED_MS,
  DELAY_MS,
  EVERY_ROUTER,
  OriginNetwork,
  ROUTERS,
  SERVICE,
  addressOf,
} from '../helpers/origin-network.js';
import { StoredBuilds } from '../helpers/stored-builds.js';

const ORIGIN = { service: SERVICE, build: 'v2' };
const SOLE_BUILD = { kind: 'sole-build', build: 'v1' };

test('a router finds the build of a stream that began at a router that has died', async (t) => {
  const network = await OriginNetwork.create();
  network.addSecondBuild(EVERY_ROUTER);
  await network.clock.advance(1_000);
  network.node(0).note('attempt-1', ORIGIN);
  await network.clock.advance(DELAY_MS);
  network.down.add(addressOf(0));
  for (const index of EVERY_ROUTER.slice(1))
    t.deepEqual(await network.find(index, 'attempt-1'), { kind: 'known', origin: ORIGIN });
});

test('streams that began before a second build appeared are told when it does', async (t) => {
  const network = await OriginNetwork.create();
  const origin = { service: SERVICE, build: 'v1' };
  for (let stream = 0; stream < 60; stream += 1) network.node(0).note(`attempt-${stream}`, origin);
  t.is(network.sent, 0, 'nothing is told while there is one build');
  await network.clock.advance(1_000);
  network.addSecondBuild(EVERY_ROUTER);
  await network.clock.advance(1_000 + DELAY_MS);
  network.down.add(addressOf(0));
  for (let stream = 0; stream < 60; stream += 1)
    t.like(await network.find(1 + (stream % 6), `attempt-${stream}`), { kind: 'known', origin });
});

test('a router that has not seen the second build yet still asks for it', async (t) => {
  const network = await OriginNetwork.create();
  network.addSecondBuild([0]);
  await network.clock.advance(1_000);
  network.node(0).note('attempt-1', ORIGIN);
  await network.clock.advance(DELAY_MS);
  t.deepEqual(await network.find(3, 'attempt-1'), { kind: 'known', origin: ORIGIN });
});

test('a question that overtakes the notice is repeated', async (t) => {
  const network = await OriginNetwork.create();
  network.addSecondBuild(EVERY_ROUTER);
  await network.clock.advance(1_000);
  let found: OriginFinding | undefined;
  network.node(1).find('attempt-1', SERVICE, (finding) => (found = finding));
  await network.clock.advance(10);
  network.node(0).note('attempt-1', ORIGIN);
  await network.clock.advance(ANSWERED_MS);
  t.deepEqual(found, { kind: 'known', origin: ORIGIN });
});

test('without anyone who knows it, a stream is of the only build, or of an unknown one', async (t) => {
  const network = await OriginNetwork.create();
  await network.clock.advance(1_000);
  t.deepEqual(await network.find(1, 'attempt-1'), SOLE_BUILD);
  t.deepEqual(await network.find(1, undefined), SOLE_BUILD);
  network.addSecondBuild(EVERY_ROUTER);
  await network.clock.advance(1_000);
  for (const index of EVERY_ROUTER.slice(2)) network.down.add(addressOf(index));
  t.deepEqual(await network.find(1, 'attempt-1'), { kind: 'unknown' });
  t.deepEqual(await network.find(1, undefined), { kind: 'unknown' });
});

test('a build counts as long as one of its streams may be taken up', (t) => {
  const history = new BuildHistory(60_000);
  const first = engineRecord('engine-1', undefined, { build: 'v1' });
  const second = engineRecord('engine-2', undefined, { build: 'v2' });
  t.deepEqual(history.update([first], 0), []);
  t.false(history.isMixed(SERVICE, 0));
  t.deepEqual(history.update([first, second], 1_000), [SERVICE]);
  t.deepEqual(history.update([second], 200_000), []);
  t.true(history.isMixed(SERVICE, 259_000), 'v1 has gone 59 s ago');
  history.update([second], 261_000);
  t.false(history.isMixed(SERVICE, 261_000));
});

test('an engine whose build is not known is no second build', (t) => {
  const history = new BuildHistory(60_000);
  history.update(
    [engineRecord('engine-1', undefined, { build: 'v1' }), engineRecord('engine-2', 1)],
    0,
  );
  t.false(history.isMixed(SERVICE, 0));
});

/** The record that holds these builds, written in the first era of the store. */
function recordOf(...builds: string[]): object {
  return { services: [{ name: SERVICE, builds }], era: 1 };
}

/** The record of both builds, of which the second is marked as leaving. */
const LEAVING_RECORD = {
  ...recordOf('v1', 'v2'),
  leaving: [{ name: SERVICE, builds: ['v2'] }],
};

/** Long enough for all routers to make their calls to the store. */
const STORED_MS = 5_000;
const RETENTION_MS = 60_000;
/** Time between the mark on a build and the write that takes it out. */
const LEAVING_MS = 10_000;

test('the builds are written when one comes and when one has been gone for long enough', async (t) => {
  const network = await OriginNetwork.create();
  await network.clock.advance(STORED_MS);
  t.deepEqual(network.store.stored, recordOf('v1'));
  network.addSecondBuild(EVERY_ROUTER);
  await network.clock.advance(STORED_MS);
  t.deepEqual(network.store.stored, recordOf('v1', 'v2'));
  network.removeSecondBuild();
  await network.clock.advance(RETENTION_MS - STORED_MS);
  t.deepEqual(network.store.stored, recordOf('v1', 'v2'));
  await network.clock.advance(2 * STORED_MS);
  t.deepEqual(network.store.stored, LEAVING_RECORD);
  await network.clock.advance(LEAVING_MS);
  t.deepEqual(network.store.stored, recordOf('v1'));
  t.is(network.store.writes, 4);
  // Each router reads at its start, twice a change, and each 30 s.
  const bound =
    ROUTERS * (1 + 2 * network.store.writes + (RETENTION_MS + LEAVING_MS + 3 * STORED_MS) / 30_000);
  t.true(network.store.reads <= bound, `${network.store.reads} reads`);
});

test('routers that start later take the builds from the record, however old it is', async (t) => {
  const earlier = await OriginNetwork.create();
  earlier.addSecondBuild(EVERY_ROUTER);
  await earlier.clock.advance(STORED_MS);
  const later = await OriginNetwork.create(false, earlier.store);
  await later.clock.advance(1_000);
  t.deepEqual(await later.find(1, 'attempt-1'), { kind: 'unknown' });
  t.deepEqual(await later.find(1, undefined), { kind: 'unknown' });
  await later.clock.advance(RETENTION_MS + STORED_MS);
  t.deepEqual(await later.find(1, 'attempt-1'), SOLE_BUILD);
  t.deepEqual(later.store.stored, LEAVING_RECORD);
  await later.clock.advance(LEAVING_MS);
  t.deepEqual(later.store.stored, recordOf('v1'));
});

test('a record of one build lets streams go on right after a start', async (t) => {
  const earlier = await OriginNetwork.create();
  await earlier.clock.advance(STORED_MS);
  const later = await OriginNetwork.create(false, earlier.store);
  await later.clock.advance(100);
  t.deepEqual(await later.find(1, 'attempt-1'), SOLE_BUILD);
});

// Streams may have begun at any build while the store took no record of it.
test('without a record, only routers that start for the first time know the only build', async (t) => {
  const network = await OriginNetwork.create(false);
  await network.clock.advance(STORED_MS);
  t.deepEqual(await network.find(1, 'attempt-1'), { kind: 'unknown' });
  t.is(network.store.stored, undefined, 'a record would be a proof for the next start');
  await network.clock.advance(RETENTION_MS + STORED_MS);
  t.deepEqual(await network.find(1, 'attempt-1'), SOLE_BUILD);
  t.deepEqual(network.store.stored, recordOf('v1'));
});

// A restart may have the settings of the first start.
test('a record goes before settings that say that the deployment starts for the first time', async (t) => {
  const earlier = await OriginNetwork.create();
  earlier.addSecondBuild(EVERY_ROUTER);
  await earlier.clock.advance(STORED_MS);
  const later = await OriginNetwork.create(true, earlier.store);
  await later.clock.advance(STORED_MS);
  t.deepEqual(await later.find(1, 'attempt-1'), { kind: 'unknown' });
});

// The copy from which a store is restored may lack a build at which streams have begun since.
test('a record from before the last restoration of the store proves nothing', async (t) => {
  const earlier = await OriginNetwork.create();
  await earlier.clock.advance(STORED_MS);
  earlier.store.eras.newest = 2;
  const later = await OriginNetwork.create(false, earlier.store);
  await later.clock.advance(STORED_MS);
  t.deepEqual(await later.find(1, 'attempt-1'), { kind: 'unknown' });
  await earlier.clock.advance(STORED_MS);
  t.like(earlier.store.stored, { era: 2 }, 'routers that have run before write it again');
});

test('routers that have just started, and can not read the record, know of no only build', async (t) => {
  const network = await OriginNetwork.create(false, new StoredBuilds(true));
  await network.clock.advance(STORED_MS);
  t.deepEqual(await network.find(1, 'attempt-1'), { kind: 'unknown' });
  await network.clock.advance(RETENTION_MS);
  t.deepEqual(await network.find(1, 'attempt-1'), SOLE_BUILD);
});

test('a record that can not be read is made anew by routers that know the builds before', async (t) => {
  const store = new StoredBuilds();
  await store.create('builds', 'main', { services: 'none' });
  const network = await OriginNetwork.create(false, store);
  await network.clock.advance(1_000);
  t.deepEqual(await network.find(1, 'attempt-1'), { kind: 'unknown' });
  await network.clock.advance(STORED_MS);
  t.deepEqual(store.stored, { services: 'none' });
  await network.clock.advance(RETENTION_MS + STORED_MS);
  t.deepEqual(store.stored, recordOf('v1'));
});

test('without the store, a router takes the word of one that has been there for long enough', async (t) => {
  const network = await OriginNetwork.create(false, new StoredBuilds(true));
  await network.clock.advance(RETENTION_MS + STORED_MS);
  network.restart(1);
  await network.clock.advance(1_000);
  t.deepEqual(await network.find(1, undefined), { kind: 'unknown' });
  t.deepEqual(await network.find(1, 'attempt-1'), SOLE_BUILD);
  network.store.isDown = false;
  await network.clock.advance(2 * STORED_MS);
  t.deepEqual(await network.find(1, undefined), SOLE_BUILD);
});

// A write that is done seconds later may take a build out that has come back meanwhile.
test('a build that the record has lost is written again', async (t) => {
  const network = await OriginNetwork.create();
  network.addSecondBuild(EVERY_ROUTER);
  await network.clock.advance(STORED_MS);
  const { store } = network;
  await store.replace('builds', 'main', recordOf('v1'), store.object?.position as StorePosition);
  await network.clock.advance(RETENTION_MS - STORED_MS);
  t.deepEqual(store.stored, recordOf('v1', 'v2'));
});

// A late write that takes the build out fails only if another write came before it.
test('a build that comes back is used only after the mark was taken off', async (t) => {
  const network = await OriginNetwork.create();
  network.addSecondBuild(EVERY_ROUTER);
  await network.clock.advance(STORED_MS);
  network.removeSecondBuild();
  await network.clock.advance(RETENTION_MS + STORED_MS);
  const { store } = network;
  t.deepEqual(store.stored, LEAVING_RECORD);
  const marked = store.object?.position as StorePosition;
  network.addSecondBuild(EVERY_ROUTER);
  t.deepEqual(network.buildsForNewStream(1), ['v1']);
  await network.clock.advance(STORED_MS);
  t.deepEqual(store.stored, recordOf('v1', 'v2'));
  t.deepEqual(network.buildsForNewStream(1), ['v1', 'v2']);
  t.is((await store.replace('builds', 'main', recordOf('v1'), marked)).kind, 'conflict');
});

// Another router may have marked the build and taken it out since the last read.
test('a build that comes back is used only after the record was read again', async (t) => {
  const network = await OriginNetwork.create();
  network.addSecondBuild(EVERY_ROUTER);
  await network.clock.advance(STORED_MS);
  network.removeSecondBuild();
  await network.clock.advance(RETENTION_MS / 2);
  network.store.isDown = true;
  network.addSecondBuild(EVERY_ROUTER);
  await network.clock.advance(STORED_MS);
  t.deepEqual(network.buildsForNewStream(1), ['v1']);
  network.store.isDown = false;
  await network.clock.advance(2 * STORED_MS);
  t.deepEqual(network.buildsForNewStream(1), ['v1', 'v2']);
});

// A router that has just read a build, whose engines have gone, remembers it for longer than the others.
test('a build that has left is not written back by a router that remembers it', async (t) => {
  const network = await OriginNetwork.create();
  network.addSecondBuild(EVERY_ROUTER);
  await network.clock.advance(STORED_MS);
  network.removeSecondBuild();
  await network.clock.advance(RETENTION_MS - 2 * STORED_MS);
  network.restart(0);
  await network.clock.advance(3 * STORED_MS + LEAVING_MS);
  for (let elapsedMs = 0; elapsedMs < 3 * RETENTION_MS; elapsedMs += STORED_MS) {
    await network.clock.advance(STORED_MS);
    t.deepEqual(network.store.stored, recordOf('v1'), `${elapsedMs} ms after`);
  }
});
