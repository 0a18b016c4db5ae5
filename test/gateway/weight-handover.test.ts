/**
 * A rollout must continue if the coordinator stops, crashes or loses its connection to the store.
 */
import test from 'ava';
import { findBreaches } from '../../src/lab/gateway-simulation/gateway-oracle.js';
import { GatewaySimulation } from '../../src/lab/gateway-simulation/gateway-simulation.js';

const STEP_MS = 50;
const DEADLINE_MS = 8_000;

/**
 * Names weights, waits for the first load command and returns the index of the router that sent it.
 */
async function untilFirstLoadCommand(simulation: GatewaySimulation): Promise<number> {
  const before = simulation.observations.loadCommands.length;
  simulation.publishWeights();
  for (let spentMs = 0; spentMs < DEADLINE_MS; spentMs += STEP_MS) {
    await simulation.clock.advance(STEP_MS);
    const command = simulation.observations.loadCommands[before];
    if (command) return Number(command.holder.at(-1));
  }
  throw new Error('no load command was sent');
}

/** Sends requests for `spanMs`; returns the share that succeeded, 0 to 1. */
async function servedShare(simulation: GatewaySimulation, spanMs: number): Promise<number> {
  const first = simulation.requests.length;
  for (let spentMs = 0; spentMs < spanMs; spentMs += STEP_MS) {
    simulation.request(spentMs / STEP_MS, 'stream-resumable', 'tenant-2', 0);
    await simulation.clock.advance(STEP_MS);
  }
  await simulation.clock.advance(1_000);
  const sent = simulation.requests.slice(first);
  return sent.filter((request) => request.reply.status === 200).length / sent.length;
}

test('engines that a leaving coordinator was loading are used again, and another router continues', async (t) => {
  const TRAFFIC_MS = 7_000;
  /** A stopping router rejects what may not end before it does. */
  const GRACE_MS = TRAFFIC_MS + 4_000;
  const simulation = await GatewaySimulation.create(1);
  const holder = await untilFirstLoadCommand(simulation);
  simulation.stopRouter(holder, GRACE_MS);
  t.true((await servedShare(simulation, TRAFFIC_MS)) > 0.9);
  t.true(simulation.fleet.generationEngines.every((engine) => engine.weightsVersion === 2));
  t.deepEqual(findBreaches(simulation), []);
});

test('another router continues if the coordinator crashes', async (t) => {
  const simulation = await GatewaySimulation.create(2);
  const holder = await untilFirstLoadCommand(simulation);
  simulation.killRouter(holder, 20_000);
  await simulation.clock.advance(12_000);
  t.true(simulation.fleet.generationEngines.every((engine) => engine.weightsVersion === 2));
  t.deepEqual(findBreaches(simulation), []);
});

test('another router continues if the coordinator cannot reach the store', async (t) => {
  const simulation = await GatewaySimulation.create(3);
  const holder = await untilFirstLoadCommand(simulation);
  simulation.cutFromStore(holder, 30_000);
  await simulation.clock.advance(14_000);
  t.true(simulation.fleet.generationEngines.every((engine) => engine.weightsVersion === 2));
  t.deepEqual(findBreaches(simulation), []);
});

/** Sends requests until all engines have the newest weights; returns the duration. */
async function loadedAfterMs(simulation: GatewaySimulation, limitMs: number): Promise<number> {
  let spentMs = 0;
  while (
    simulation.fleet.generationEngines.some(
      (engine) => engine.weightsVersion < simulation.publishedVersion,
    )
  ) {
    if (spentMs >= limitMs) return Infinity;
    simulation.request(spentMs / STEP_MS, 'stream-resumable', 'tenant-2', 0);
    await simulation.clock.advance(STEP_MS);
    spentMs += STEP_MS;
  }
  return spentMs;
}

/** Sends requests for some seconds, so that routers have an estimate of the request rate. */
async function warmUp(simulation: GatewaySimulation): Promise<void> {
  for (let spentMs = 0; spentMs < 3_500; spentMs += STEP_MS) {
    simulation.request(spentMs / STEP_MS, 'stream-resumable', 'tenant-2', 0);
    await simulation.clock.advance(STEP_MS);
  }
}

test('at a high request rate, engines load new weights at once', async (t) => {
  const simulation = await GatewaySimulation.create(4);
  await warmUp(simulation);
  simulation.publishWeights();
  t.true((await loadedAfterMs(simulation, 12_000)) < 4_000);
  await simulation.settle();
  t.deepEqual(findBreaches(simulation), []);
});

test('a coordinator that loses its connection to the store during a rollout is replaced within the lease time', async (t) => {
  const simulation = await GatewaySimulation.create(5);
  await warmUp(simulation);
  const holder = await untilFirstLoadCommand(simulation);
  simulation.cutFromStore(holder, 30_000);
  t.true((await loadedAfterMs(simulation, 14_000)) < 7_000);
  await simulation.settle();
  t.deepEqual(findBreaches(simulation), []);
});

test('a router without a connection to the store learns of new weights from the others', async (t) => {
  const simulation = await GatewaySimulation.create(6);
  await warmUp(simulation);
  const holder = await untilFirstLoadCommand(simulation);
  await simulation.clock.advance(8_000);
  simulation.cutFromStore(holder, 30_000);
  simulation.publishWeights();
  t.true((await loadedAfterMs(simulation, 14_000)) < 7_000);
  await simulation.settle();
  t.deepEqual(findBreaches(simulation), []);
});

test('the last router in the succession does not wait for routers that have just crashed', async (t) => {
  const simulation = await GatewaySimulation.create(7);
  await warmUp(simulation);
  await untilFirstLoadCommand(simulation);
  await simulation.clock.advance(8_000);
  const LONG_MS = 60_000;
  simulation.killRouter(0, LONG_MS);
  simulation.killRouter(1, LONG_MS);
  // Their heartbeats have timed out, though the membership still only suspects them.
  await simulation.clock.advance(3_000);
  simulation.publishWeights();
  const tookMs = await loadedAfterMs(simulation, 14_000);
  t.true(tookMs < 2_500, `loaded after ${tookMs} ms`);
  t.deepEqual(findBreaches(simulation), []);
});
