/**
 * Requests began on replaced weights after the time until which these may be used.
 *
 * A router checked the weights of an engine when it sent a request, 0.7 s before the bound at the latest. What
 * binds is when the request begins to run, and an engine that works several times slower than usual lets it wait
 * longer than that: the router reckoned the wait from the tokens to be read before it, at the speed of a sound
 * engine, and never looked again.
 *
 * What settled it, on a deployment of seven routers whose engines had turned slow while half of the orders for new
 * weights stayed without an answer (version 2 named at 2.016 s, bound 10.016 s):
 *
 *   9.127  engine i-690dd44518 answers 503 and has not run the request
 *   9.133  the request reaches engine i-19b54700ee, which still has version 1
 *   10.161 engine i-19b54700ee begins to run it, 8144 ms after version 2 was named
 */
import test from 'ava';
import { findBreaches } from '../../src/lab/gateway-simulation/gateway-oracle.js';
import { GatewaySimulation } from '../../src/lab/gateway-simulation/gateway-simulation.js';
import {
  type RequestKind,
  SIMULATION_BOUNDS,
} from '../../src/lab/gateway-simulation/simulation-fixtures.js';

const STEP_MS = 20;
/** How long requests wait at the slow engines; the routers expect some milliseconds. */
const QUEUE_MS = 1_100;
/** The engines take orders again this long after the bound. */
const SILENT_AFTER_BOUND_MS = 1_000;

/** Requests of one kind until a while after the bound, at engines that are slow and take no orders. */
async function playSlowEngines(
  seed: number,
  kind: RequestKind,
  steadyMs = 0,
): Promise<GatewaySimulation> {
  const world = await GatewaySimulation.create(seed);
  const engines = world.fleet.generationEngines;
  for (const engine of engines) {
    engine.takesOrders = false;
    engine.queueMs = QUEUE_MS;
  }
  await world.clock.advance(steadyMs);
  world.nameWeights();
  const untilMs = SIMULATION_BOUNDS.versionMs + SILENT_AFTER_BOUND_MS;
  for (let spentMs = 0; spentMs < untilMs; spentMs += STEP_MS) {
    world.request(spentMs / STEP_MS, kind, 'tenant-2', 0);
    await world.clock.advance(STEP_MS);
  }
  for (const engine of engines) {
    engine.takesOrders = true;
    engine.queueMs = 0;
  }
  await world.settle();
  return world;
}

const SEEDS = [1, 2, 3];

test('no resumable stream begins on weights that are out of their time', async (t) => {
  for (const seed of SEEDS) {
    t.deepEqual(findBreaches(await playSlowEngines(seed, 'stream-resumable')), []);
  }
});

test('no stream that may run once begins on weights that are out of their time', async (t) => {
  for (const seed of SEEDS) {
    t.deepEqual(findBreaches(await playSlowEngines(seed, 'stream-once')), []);
  }
});

/** Routers that have followed the store for a while know the moment of the naming itself. */
const STEADY_MS = 6_000;

test('nothing begins out of time at routers that saw the weights being named', async (t) => {
  for (const kind of ['stream-resumable', 'stream-once'] as const) {
    for (const seed of SEEDS) {
      t.deepEqual(findBreaches(await playSlowEngines(seed, kind, STEADY_MS)), []);
    }
  }
});
