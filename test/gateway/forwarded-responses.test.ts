/**
 * Callers of routers without a path to engines lost every response without a length, because the end
 * of a forwarded connection was always taken for an interruption.
 */
import test from 'ava';
import { EngineCut } from '../../src/lab/gateway-simulation/engine-links.js';
import { judgeEnginePaths } from '../../src/lab/gateway-simulation/engine-path-oracle.js';
import { findBreaches } from '../../src/lab/gateway-simulation/gateway-oracle.js';
import { GatewaySimulation } from '../../src/lab/gateway-simulation/gateway-simulation.js';
import { routerName } from '../../src/lab/gateway-simulation/simulation-fixtures.js';
import { sendAllKinds } from '../../src/lab/gateway-simulation/simulation-traffic.js';
import { BodyFraming } from '../../src/protocol/inference/port.js';

const CUT_MS = 12_000;
const GAP_MS = 10;
const ENGINES = 10;

async function cutRouter(seed: number): Promise<GatewaySimulation> {
  const simulation = await GatewaySimulation.create(seed);
  for (let index = 0; index < ENGINES; index += 1)
    simulation.engine(index).framing = BodyFraming.Connection;
  await sendAllKinds(simulation, 2_000, GAP_MS);
  simulation.engineLinks.cut(routerName(0), EngineCut.Silent, CUT_MS);
  await sendAllKinds(simulation, CUT_MS / 2, GAP_MS);
  return simulation;
}

test('a router without a path passes whole responses without a length on', async (t) => {
  const simulation = await cutRouter(1);
  await sendAllKinds(simulation, CUT_MS / 2, GAP_MS);
  t.deepEqual(judgeEnginePaths(simulation), []);
  await simulation.settle();
  t.deepEqual(findBreaches(simulation), []);
});

test('a response without a length is broken off if its forwarder ends', async (t) => {
  const STREAMS = 20;
  const simulation = await cutRouter(2);
  const first = simulation.requests.length;
  for (let count = 0; count < STREAMS; count += 1)
    simulation.request(0, 'stream-once', 'tenant-2', 0);
  await simulation.clock.advance(25);
  for (const other of [1, 2]) simulation.killRouter(other, 1_000);
  await simulation.clock.advance(3_000);
  const replies = simulation.requests.slice(first).map(({ reply }) => reply);
  const begun = replies.filter(({ body }) => body !== '');
  t.true(begun.length > 0);
  for (const reply of begun) t.is(reply.ending, 'aborted', reply.body);
});
