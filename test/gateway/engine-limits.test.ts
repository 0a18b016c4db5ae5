/** Guards against routers that ignore the rate limits that engines name in their responses. */
import test from 'ava';
import { findBreaches } from '../../src/lab/gateway-simulation/gateway-oracle.js';
import { GatewaySimulation } from '../../src/lab/gateway-simulation/gateway-simulation.js';
import { sendAllKinds, servedShare } from '../../src/lab/gateway-simulation/simulation-traffic.js';

const SEEDS = [1, 2, 3];
const STEP_MS = 20;
const LIMITED_S = 12;
const LIMITED_MS = LIMITED_S * 1_000;
const LIMIT_PER_SECOND = 1.2;
/** Indices of engines, in the order of their first starts. */
const GENERATION_ENGINE = 0;
const PLAIN_ENGINE = 3;
const ENGINES = 5;

test('engines that name a limit receive no more than it while others serve', async (t) => {
  for (const seed of SEEDS) {
    const simulation = await GatewaySimulation.create(seed);
    for (const index of [GENERATION_ENGINE, PLAIN_ENGINE]) {
      simulation.limitEngine(index, LIMIT_PER_SECOND);
    }
    await sendAllKinds(simulation, LIMITED_MS, STEP_MS);
    t.deepEqual(findBreaches(simulation), []);
    t.true(servedShare(simulation) > 0.95);
  }
});

test('engines that all name a limit receive no more than it, and callers get a retry delay', async (t) => {
  for (const seed of SEEDS) {
    const simulation = await GatewaySimulation.create(seed);
    for (let index = 0; index < ENGINES; index += 1)
      simulation.limitEngine(index, LIMIT_PER_SECOND);
    await sendAllKinds(simulation, LIMITED_MS, STEP_MS);
    t.deepEqual(findBreaches(simulation), []);
    const share =
      simulation.observations.arrivals.length / (ENGINES * LIMIT_PER_SECOND * LIMITED_S);
    t.true(share > 0.8, `${share} of what the engines take`);
    const rejections = simulation.requests.flatMap(({ reply }) => reply.own ?? []);
    t.true(rejections.length > 0);
    t.true(
      rejections.every(({ status, retryAfterMs }) => status === 503 && (retryAfterMs ?? 0) > 0),
    );
  }
});

test('a router applies a limit that another router learned', async (t) => {
  const BURST = 20;
  for (const seed of SEEDS) {
    const simulation = await GatewaySimulation.create(seed);
    for (const index of [PLAIN_ENGINE, PLAIN_ENGINE + 1]) simulation.limitEngine(index, 2);
    for (let count = 0; count < BURST; count += 1)
      simulation.request(0, 'plain-safe', 'tenant-2', 0);
    await simulation.clock.advance(500);
    const before = simulation.observations.arrivals.length;
    for (let count = 0; count < BURST; count += 1)
      simulation.request(1, 'plain-safe', 'tenant-2', 0);
    await simulation.clock.advance(500);
    const sent = simulation.observations.arrivals.length - before;
    t.true(sent <= 4, `${sent} requests`);
  }
});

test('all routers soon lift a limit after one of them learned that it is lifted', async (t) => {
  for (const seed of SEEDS) {
    const simulation = await GatewaySimulation.create(seed);
    for (const index of [PLAIN_ENGINE, PLAIN_ENGINE + 1]) simulation.limitEngine(index, 0.5);
    await sendAllKinds(simulation, 6_000, STEP_MS);
    for (const index of [PLAIN_ENGINE, PLAIN_ENGINE + 1]) simulation.limitEngine(index, undefined);
    await sendAllKinds(simulation, 5_000, STEP_MS);
    const first = simulation.requests.length;
    await sendAllKinds(simulation, 2_000, STEP_MS);
    const late = simulation.requests.slice(first);
    const served = late.filter(({ reply }) => reply.status === 200).length;
    t.true(served / late.length > 0.97, `${served} of ${late.length}`);
  }
});
