/** A router that gives orders for new weights may stop, die or lose its way to the store. */
import test from 'ava';
import { findBreaches } from '../../src/lab/gateway-simulation/gateway-oracle.js';
import { GatewaySimulation } from '../../src/lab/gateway-simulation/gateway-simulation.js';

const STEP_MS = 50;
const BOUND_MS = 8_000;

/** Names weights, waits for the first order and answers which router gave it. */
async function untilFirstOrder(world: GatewaySimulation): Promise<number> {
  const before = world.observations.orders.length;
  world.nameWeights();
  for (let spentMs = 0; spentMs < BOUND_MS; spentMs += STEP_MS) {
    await world.clock.advance(STEP_MS);
    const order = world.observations.orders[before];
    if (order) return Number(order.holder.at(-1));
  }
  throw new Error('no order was given');
}

/** Requests for `spanMs`, and how many of them an engine answered. */
async function servedShare(world: GatewaySimulation, spanMs: number): Promise<number> {
  const first = world.requests.length;
  for (let spentMs = 0; spentMs < spanMs; spentMs += STEP_MS) {
    world.request(spentMs / STEP_MS, 'stream-resumable', 'tenant-2', 0);
    await world.clock.advance(STEP_MS);
  }
  await world.clock.advance(1_000);
  const sent = world.requests.slice(first);
  return sent.filter((request) => request.reply.status === 200).length / sent.length;
}

test('engines that a leaving router was loading are used again, and others go on', async (t) => {
  const world = await GatewaySimulation.create(1);
  const holder = await untilFirstOrder(world);
  world.stopRouter(holder, 7_500);
  t.true((await servedShare(world, 7_000)) > 0.9);
  t.true(world.fleet.generationEngines.every((engine) => engine.weightsVersion === 2));
  t.deepEqual(findBreaches(world), []);
});

test('another router goes on where the holder dies', async (t) => {
  const world = await GatewaySimulation.create(2);
  const holder = await untilFirstOrder(world);
  world.killRouter(holder, 20_000);
  await world.clock.advance(12_000);
  t.true(world.fleet.generationEngines.every((engine) => engine.weightsVersion === 2));
  t.deepEqual(findBreaches(world), []);
});

test('another router goes on where the holder has no way to the store', async (t) => {
  const world = await GatewaySimulation.create(3);
  const holder = await untilFirstOrder(world);
  world.cutFromStore(holder, 30_000);
  await world.clock.advance(14_000);
  t.true(world.fleet.generationEngines.every((engine) => engine.weightsVersion === 2));
  t.deepEqual(findBreaches(world), []);
});

/** Requests all the while, until the engines have the newest weights; how long that took. */
async function loadedAfterMs(world: GatewaySimulation, limitMs: number): Promise<number> {
  let spentMs = 0;
  while (
    world.fleet.generationEngines.some((engine) => engine.weightsVersion < world.namedVersion)
  ) {
    if (spentMs >= limitMs) return Infinity;
    world.request(spentMs / STEP_MS, 'stream-resumable', 'tenant-2', 0);
    await world.clock.advance(STEP_MS);
    spentMs += STEP_MS;
  }
  return spentMs;
}

/** Requests for some seconds, so that routers know what is asked. */
async function warmUp(world: GatewaySimulation): Promise<void> {
  for (let spentMs = 0; spentMs < 3_500; spentMs += STEP_MS) {
    world.request(spentMs / STEP_MS, 'stream-resumable', 'tenant-2', 0);
    await world.clock.advance(STEP_MS);
  }
}

test('where much is asked, engines take new weights at once', async (t) => {
  const world = await GatewaySimulation.create(4);
  await warmUp(world);
  world.nameWeights();
  t.true((await loadedAfterMs(world, 12_000)) < 4_000);
  await world.settle();
  t.deepEqual(findBreaches(world), []);
});

test('a holder that loses its way to the store in the middle is replaced within the lease time', async (t) => {
  const world = await GatewaySimulation.create(5);
  await warmUp(world);
  const holder = await untilFirstOrder(world);
  world.cutFromStore(holder, 30_000);
  t.true((await loadedAfterMs(world, 14_000)) < 7_000);
  await world.settle();
  t.deepEqual(findBreaches(world), []);
});

test('a router without a way to the store hears of new weights from the others', async (t) => {
  const world = await GatewaySimulation.create(6);
  await warmUp(world);
  const holder = await untilFirstOrder(world);
  await world.clock.advance(8_000);
  world.cutFromStore(holder, 30_000);
  world.nameWeights();
  t.true((await loadedAfterMs(world, 14_000)) < 7_000);
  await world.settle();
  t.deepEqual(findBreaches(world), []);
});

test('the last router does not wait for those that have just died', async (t) => {
  const world = await GatewaySimulation.create(7);
  await warmUp(world);
  await untilFirstOrder(world);
  await world.clock.advance(8_000);
  const LONG_MS = 60_000;
  world.killRouter(0, LONG_MS);
  world.killRouter(1, LONG_MS);
  // Their silence shows, though the membership still suspects them.
  await world.clock.advance(3_000);
  world.nameWeights();
  const tookMs = await loadedAfterMs(world, 14_000);
  t.true(tookMs < 2_500, `loaded after ${tookMs} ms`);
  t.deepEqual(findBreaches(world), []);
});
