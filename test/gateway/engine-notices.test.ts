/**
 * Guards against requests to engines that announced in a response that they drain, or that
 * requested a backoff.
 */
import test from 'ava';
import { findBreaches } from '../../src/lab/gateway-simulation/gateway-oracle.js';
import { GatewaySimulation } from '../../src/lab/gateway-simulation/gateway-simulation.js';
import { EngineMode } from '../../src/lab/gateway-simulation/simulated-engine.js';
import { sendAllKinds, servedShare } from '../../src/lab/gateway-simulation/simulation-traffic.js';

const SEEDS = [1, 2, 3];
const STEP_MS = 20;
const STORE_OUTAGE_MS = 12_000;
const BACKOFF_MS = 3_000;
const REJECTING_MS = 8_000;
/** Indices of engines, in the order of their first starts. */
const GENERATION_ENGINE = 0;
const PLAIN_ENGINE = 3;

test('engines that drain during a store outage receive no more requests', async (t) => {
  for (const seed of SEEDS) {
    const simulation = await GatewaySimulation.create(seed);
    simulation.stopStore(STORE_OUTAGE_MS);
    simulation.fleet.announceShutdown(GENERATION_ENGINE);
    simulation.fleet.announceShutdown(PLAIN_ENGINE);
    await sendAllKinds(simulation, STORE_OUTAGE_MS, STEP_MS);
    await simulation.settle();
    t.true(simulation.observations.notices.length > 0);
    t.deepEqual(findBreaches(simulation), []);
  }
});

test('engines that request a backoff receive no requests while others serve', async (t) => {
  for (const seed of SEEDS) {
    const simulation = await GatewaySimulation.create(seed);
    const rejectingEngines = [GENERATION_ENGINE, PLAIN_ENGINE].map((index) =>
      simulation.engine(index),
    );
    for (const engine of rejectingEngines) {
      engine.mode = EngineMode.Busy;
      engine.backoffMs = BACKOFF_MS;
    }
    await sendAllKinds(simulation, REJECTING_MS, STEP_MS);
    t.deepEqual(findBreaches(simulation), []);
    t.true(servedShare(simulation) > 0.95);
  }
});

test('engines that all request a backoff receive no requests, and callers get a retry delay', async (t) => {
  for (const seed of SEEDS) {
    const simulation = await GatewaySimulation.create(seed);
    for (let index = 0; index <= PLAIN_ENGINE + 1; index += 1) {
      const engine = simulation.engine(index);
      engine.mode = EngineMode.Busy;
      engine.backoffMs = BACKOFF_MS;
    }
    await sendAllKinds(simulation, REJECTING_MS, STEP_MS);
    t.deepEqual(findBreaches(simulation), []);
    const rejections = simulation.requests.flatMap(({ reply }) => reply.own ?? []);
    t.true(rejections.every(({ status }) => status === 503));
    t.true(rejections.some(({ retryAfterMs }) => (retryAfterMs ?? 0) > BACKOFF_MS / 2));
  }
});
