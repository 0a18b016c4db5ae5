/**
 * A request that is sent before the deadline for replaced weights must not start to run after it,
 * even if a slow engine queues it for longer than the router expects.
 */
import test from 'ava';
import { findBreaches } from '../../src/lab/gateway-simulation/gateway-oracle.js';
import { GatewaySimulation } from '../../src/lab/gateway-simulation/gateway-simulation.js';
import {
  type RequestKind,
  SIMULATION_BOUNDS,
} from '../../src/lab/gateway-simulation/simulation-fixtures.js';

const STEP_MS = 20;
/** Queue time at the slow engines; the routers expect some milliseconds. */
const QUEUE_MS = 1_100;
/** The engines accept load commands again this long after the deadline. */
const UNRESPONSIVE_AFTER_DEADLINE_MS = 1_000;

/**
 * Sends requests of one kind until after the deadline, to slow engines that accept no load
 * commands.
 */
async function runWithSlowEngines(
  seed: number,
  kind: RequestKind,
  steadyMs = 0,
): Promise<GatewaySimulation> {
  const simulation = await GatewaySimulation.create(seed);
  const engines = simulation.fleet.generationEngines;
  for (const engine of engines) {
    engine.acceptsLoadCommands = false;
    engine.queueMs = QUEUE_MS;
  }
  await simulation.clock.advance(steadyMs);
  simulation.publishWeights();
  const untilMs = SIMULATION_BOUNDS.versionMs + UNRESPONSIVE_AFTER_DEADLINE_MS;
  for (let spentMs = 0; spentMs < untilMs; spentMs += STEP_MS) {
    simulation.request(spentMs / STEP_MS, kind, 'tenant-2', 0);
    await simulation.clock.advance(STEP_MS);
  }
  for (const engine of engines) {
    engine.acceptsLoadCommands = true;
    engine.queueMs = 0;
  }
  await simulation.settle();
  return simulation;
}

const SEEDS = [1, 2, 3];

test('no resumable stream starts on expired weights', async (t) => {
  for (const seed of SEEDS) {
    t.deepEqual(findBreaches(await runWithSlowEngines(seed, 'stream-resumable')), []);
  }
});

test('no stream that may run only once starts on expired weights', async (t) => {
  for (const seed of SEEDS) {
    t.deepEqual(findBreaches(await runWithSlowEngines(seed, 'stream-once')), []);
  }
});

/** After this time, routers follow the store and observe the naming directly. */
const STEADY_MS = 6_000;

test('no stream starts on expired weights at routers that observed the naming', async (t) => {
  for (const kind of ['stream-resumable', 'stream-once'] as const) {
    for (const seed of SEEDS) {
      t.deepEqual(findBreaches(await runWithSlowEngines(seed, kind, STEADY_MS)), []);
    }
  }
});
