/** Crashes that different routers of a large group saw reach all of them, over a network that loses datagrams. */
import test from 'ava';
import { CrashAnnouncementHarness, type Peer } from '../helpers/crash-announcement-harness.js';

const ROUTERS = 60;
const JOINED_MS = 6_000;
const BYSTANDERS = 15;
const LOSS = 0.1;
/** A router is held to the quarantine 3 s after the third crash; a third of that must do. */
const SPREAD_MS = 1_000;
const SMALL_GROUP = 6;
/** All routers of a small group have an announcement within this time. */
const HEARD_MS = 100;
const STARTED_MS = 3_000;
const CAUSE = 'c'.repeat(32);

/** One request under which an engine crashed, among others that were there by chance. */
function crashOf(engine: number): { engineId: string; fingerprints: string[] } {
  const bystanders = Array.from({ length: BYSTANDERS }, (_, index) =>
    (engine * BYSTANDERS + index).toString(16).padStart(32, '0'),
  );
  return { engineId: `engine-${engine}`, fingerprints: [...bystanders, CAUSE] };
}

test('all routers of a large group quarantine a request whose crashes three different ones saw', async (t) => {
  const world = new CrashAnnouncementHarness();
  for (let index = 0; index < ROUTERS; index += 1) await world.start();
  await world.clock.advance(JOINED_MS);
  world.network.faults.datagramLoss = LOSS;
  [7, 25, 50].forEach((router, engine) =>
    (world.peers[router] as Peer).guard.noteCrash(crashOf(engine)),
  );
  await world.clock.advance(SPREAD_MS);
  t.is(world.peers.filter(({ guard }) => guard.isQuarantined(CAUSE)).length, ROUTERS);
  const blamed = world.peers.flatMap(({ guard }) => [...guard.quarantinedSince.keys()]);
  t.deepEqual(new Set(blamed), new Set([CAUSE]));

  const late = await world.start();
  await world.clock.advance(STARTED_MS);
  t.true(late.guard.isQuarantined(CAUSE));
  world.stop();
});

test('a good end at one router clears the request at all of them', async (t) => {
  const world = new CrashAnnouncementHarness();
  for (let index = 0; index < ROUTERS; index += 1) await world.start();
  await world.clock.advance(JOINED_MS);
  world.network.faults.datagramLoss = LOSS;
  [0, 1, 2].forEach((router) => (world.peers[router] as Peer).guard.noteCrash(crashOf(router)));
  await world.clock.advance(SPREAD_MS);
  (world.peers[40] as Peer).guard.noteGoodEnd(CAUSE);
  await world.clock.advance(SPREAD_MS);
  t.is(world.peers.filter(({ guard }) => guard.isQuarantined(CAUSE)).length, 0);
  await world.clock.advance(JOINED_MS);
  t.is(world.peers.filter(({ guard }) => guard.isQuarantined(CAUSE)).length, 0);
  world.stop();
});

test('a router of a small group does not repeat notices that it only heard', async (t) => {
  const world = new CrashAnnouncementHarness();
  for (let index = 0; index < SMALL_GROUP; index += 1) await world.start();
  await world.clock.advance(JOINED_MS);
  const [first, ...others] = world.peers;
  first?.guard.noteCrash(crashOf(0));
  await world.clock.advance(HEARD_MS);
  for (const { guard } of others) {
    t.is(guard.crashedEngines(CAUSE).length, 1);
    t.false(guard.hasNews);
  }
  first?.guard.noteGoodEnd(CAUSE);
  await world.clock.advance(SPREAD_MS);
  for (const { guard } of others) {
    t.deepEqual(guard.crashedEngines(CAUSE), []);
    t.false(guard.hasNews);
  }
  world.stop();
});
