/** Engines that start again under their names, each with one scenario of its own. */
import test from 'ava';
import { findBreaches } from '../../src/lab/gateway-simulation/gateway-oracle.js';
import { GatewaySimulation } from '../../src/lab/gateway-simulation/gateway-simulation.js';
import { MalformedEntry } from '../../src/lab/gateway-simulation/malformed-entry.js';
import {
  OrderFault,
  type EngineRestart,
} from '../../src/lab/gateway-simulation/simulated-fleet.js';
import { DECODER, KINDS } from '../../src/lab/gateway-simulation/simulation-fixtures.js';
import { incarnationOf } from '../../src/state/routing/engine-incarnation.js';
import { EngineListHarness } from '../helpers/engine-list-harness.js';
import { engineRecord } from '../helpers/engine-record.js';

const AT_ONCE: EngineRestart = {
  downMs: 1,
  cutMs: 0,
  entryDelayMs: 0,
  losesLoad: false,
  clockStepMs: 0,
};
const LOAD_MS = 400;

/** Sends streams through all routers, a few milliseconds apart. */
async function sendStreams(world: GatewaySimulation, count: number): Promise<void> {
  for (let turn = 0; turn < count; turn += 1) {
    world.request(turn, 'stream-resumable', 'tenant-2', 0);
    await world.clock.advance(4);
  }
}

test('streams whose engine restarts behind a cut go on elsewhere once its new life is listed', async (t) => {
  const CUT_MS = 2_900;
  // Longer than the clocks of two machines may differ.
  const DOWN_MS = 700;
  const LISTED_MS = 100;
  const world = await GatewaySimulation.create(11);
  await sendStreams(world, 12);
  const running = world.engine(0).running.size;
  world.fleet.restart(0, { ...AT_ONCE, downMs: DOWN_MS, cutMs: CUT_MS });
  t.true(running > 0);
  await world.clock.advance(DOWN_MS + LISTED_MS);
  t.true(world.requests.every(({ reply }) => reply.status === 200 && reply.ending === 'whole'));
  await world.settle();
  t.deepEqual(findBreaches(world), []);
});

test('an engine that lost its load in a restart is brought to the newest weights again', async (t) => {
  const world = await GatewaySimulation.create(12);
  world.nameWeights();
  await sendStreams(world, 2_000);
  t.is(world.engine(0).weightsVersion, 2);
  world.fleet.restart(0, { ...AT_ONCE, losesLoad: true });
  await world.clock.advance(AT_ONCE.downMs);
  t.is(world.engine(0).weightsVersion, 1);
  await world.settle();
  t.is(world.engine(0).weightsVersion, 2);
  t.deepEqual(findBreaches(world), []);
});

test('an order that arrives at a later life is taken once, and newer weights follow it', async (t) => {
  const world = await GatewaySimulation.create(13);
  for (let count = 0; count < 3; count += 1) world.fleet.orderFaults.push(OrderFault.Late);
  world.nameWeights();
  await sendStreams(world, 250);
  for (const index of [0, 1, 2]) world.fleet.restart(index, AT_ONCE);
  world.nameWeights();
  await sendStreams(world, 1_000);
  await world.settle();
  const named = world.namedVersion;
  t.true(world.fleet.generationEngines.every(({ weightsVersion }) => weightsVersion === named));
  t.deepEqual(findBreaches(world), []);
});

test('an engine that restarts while it drains serves again', async (t) => {
  const world = await GatewaySimulation.create(14);
  world.fleet.drain(0);
  await world.clock.advance(LOAD_MS);
  const drained = world.engine(0).id;
  world.fleet.restart(0, AT_ONCE);
  await world.clock.advance(LOAD_MS);
  await sendStreams(world, 60);
  await world.settle();
  const present = world.engine(0).id;
  t.not(present, drained);
  t.true(world.observations.runs.some(({ engineId }) => engineId === present));
  t.deepEqual(findBreaches(world), []);
});

test('an engine whose clock stepped back between two quick restarts is brought to the newest weights', async (t) => {
  const KEY_BOUND_MS = 5_500;
  const SEEN_MS = 50;
  const BEYOND_DRAIN_BOUND_MS = 2_200;
  const STEP_MS = 4_000;
  const world = await GatewaySimulation.create(16);
  // The last two routers see the store late, so that answers show them a life before its entry does.
  world.cutFromStore(1, 12_000);
  world.toggleKey('tenant-1', 0);
  await world.clock.advance(KEY_BOUND_MS);
  world.request(1, 'plain-safe', 'tenant-1', 0);
  world.fleet.drain(0);
  await world.clock.advance(500);
  world.fleet.restart(0, AT_ONCE);
  world.cutFromStore(0, 6_000);
  await world.clock.advance(SEEN_MS);
  world.fleet.drain(2);
  await world.clock.advance(BEYOND_DRAIN_BOUND_MS);
  for (let turn = 0; turn < 12; turn += 1) {
    world.request(1 + (turn % 2), turn % 4 < 2 ? 'plain-safe' : 'stream-once', 'tenant-1', 0);
    await world.clock.advance(10);
  }
  world.nameWeights();
  await world.clock.advance(3_000);
  for (const index of [0, 1]) world.fleet.restart(index, AT_ONCE);
  for (const clockStepMs of [0, STEP_MS, 0]) {
    world.request(5, 'stream-resumable', 'tenant-1', 0);
    world.request(6, 'plain-unsafe', 'tenant-2', 0);
    world.fleet.restart(5, { ...AT_ONCE, clockStepMs });
    await world.clock.advance(LOAD_MS);
  }
  await world.settle();
  t.is(world.engine(0).weightsVersion, 2);
  t.deepEqual(findBreaches(world), []);
});

for (const odd of Object.values(MalformedEntry)) {
  test(`an odd entry (${odd}) names no engine, and one that was overwritten serves on later`, async (t) => {
    const HEARTBEAT_MS = 1_200;
    const world = await GatewaySimulation.create(15);
    world.fleet.addOddEntry(odd);
    world.fleet.overwriteEntry(0, odd);
    await world.clock.advance(LOAD_MS);
    await sendStreams(world, 40);
    await world.clock.advance(HEARTBEAT_MS);
    const before = world.observations.runs.length;
    await sendStreams(world, 40);
    await world.settle();
    t.true(world.requests.every(({ reply }) => reply.status === 200));
    const later = world.observations.runs.slice(before);
    t.true(later.some(({ engineId }) => engineId === world.engine(0).id));
    t.is(world.store.all(KINDS.engines).length, 6);
    t.deepEqual(findBreaches(world), []);
  });
}

test('late news of a former life with a larger start do not end the present one', (t) => {
  const FORMER_MS = 2_000;
  // The engine's clock has stepped back between its lives; the store took this entry last.
  const PRESENT_MS = 1_000;
  const { lives, registry } = new EngineListHarness({ decoder: DECODER });
  lives.takeEntry(engineRecord('engine-1', FORMER_MS));
  lives.takeEntry(engineRecord('engine-1', PRESENT_MS));
  // Another router, which is cut off from the store, still speaks of the former life.
  lives.noteIncarnation(incarnationOf('engine-1', FORMER_MS));
  t.is(registry.findByName('engine-1')?.record.bornMs, PRESENT_MS);
});
