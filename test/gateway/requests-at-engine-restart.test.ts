/**
 * Guards against requests that stay pending, or run twice, when their engine restarts under the
 * same name.
 */
import test from 'ava';
import { findBreaches } from '../../src/lab/gateway-simulation/gateway-oracle.js';
import { GatewaySimulation } from '../../src/lab/gateway-simulation/gateway-simulation.js';
import type { ObservedRequest } from '../../src/lab/gateway-simulation/simulation-records.js';
import {
  EngineMode,
  type SimulatedEngine,
} from '../../src/lab/gateway-simulation/simulated-engine.js';
import type { EngineRestart } from '../../src/lab/gateway-simulation/simulated-fleet.js';
import type { RequestKind } from '../../src/lab/gateway-simulation/simulation-fixtures.js';

const SEED = 43;
/** Enough requests that the hanging engine receives some. */
const REQUESTS = 24;
const STEP_MS = 10;
/** Longer than the tolerated difference between wall clocks. */
const HANG_MS = 900;
const DETECTION_MS = 1_000;

/** Restarts the engine while its previous connections stay open without data. */
const RESTART_WITH_STALE_CONNECTIONS: EngineRestart = {
  downMs: 1,
  cutMs: 60_000,
  entryDelayMs: 0,
  losesLoad: false,
  clockStepMs: 0,
};

/** Creates a simulation in which one engine never responds. */
async function createWithHangingEngine(index: number): Promise<{
  simulation: GatewaySimulation;
  engine: SimulatedEngine;
}> {
  const simulation = await GatewaySimulation.create(SEED);
  const engine = simulation.engine(index);
  engine.mode = EngineMode.Hanging;
  return { simulation, engine };
}

/** Sends requests; returns those that hang at the engine. */
async function sendAll(
  simulation: GatewaySimulation,
  engine: SimulatedEngine,
  kind: RequestKind,
): Promise<ObservedRequest[]> {
  for (let count = 0; count < REQUESTS; count += 1) {
    simulation.request(count, kind, 'tenant-2', 0);
    await simulation.clock.advance(STEP_MS);
  }
  const hanging = simulation.observations.runs.filter(
    ({ engineId, endedMs }) => engineId === engine.id && endedMs === undefined,
  );
  const ids = new Set(hanging.map(({ requestId }) => requestId));
  return simulation.requests.filter(({ id }) => ids.has(id));
}

function runsOf(simulation: GatewaySimulation, id: string): number {
  return simulation.observations.runs.filter(({ requestId }) => requestId === id).length;
}

test('an unsafe request of a previous incarnation fails soon and runs only once', async (t) => {
  const { simulation, engine } = await createWithHangingEngine(3);
  const hanging = await sendAll(simulation, engine, 'plain-unsafe');
  t.true(hanging.length > 0);
  await simulation.clock.advance(HANG_MS);
  simulation.fleet.restart(3, RESTART_WITH_STALE_CONNECTIONS);
  await simulation.clock.advance(DETECTION_MS);
  for (const { id, reply } of hanging) {
    t.is(reply.own?.status, 502);
    t.is(runsOf(simulation, id), 1);
  }
  await simulation.settle();
  t.deepEqual(findBreaches(simulation), []);
});

test('a resumable stream continues on another engine', async (t) => {
  const { simulation, engine } = await createWithHangingEngine(0);
  const hanging = await sendAll(simulation, engine, 'stream-resumable');
  t.true(hanging.length > 0);
  simulation.fleet.restart(0, RESTART_WITH_STALE_CONNECTIONS);
  await simulation.settle();
  t.deepEqual(
    hanging.map(({ reply }) => reply.status),
    hanging.map(() => 200),
  );
  t.deepEqual(findBreaches(simulation), []);
});

test('a cooldown of the previous incarnation does not apply to the new one', async (t) => {
  const simulation = await GatewaySimulation.create(SEED);
  const DOWN_MS = (REQUESTS + 1) * STEP_MS;
  simulation.fleet.restart(3, { ...RESTART_WITH_STALE_CONNECTIONS, downMs: DOWN_MS, cutMs: 0 });
  // Each router fails to connect and puts the engine on a cooldown of one second.
  await sendAll(simulation, simulation.engine(3), 'plain-safe');
  const LOAD_COLLECTION_MS = 300;
  await simulation.clock.advance(STEP_MS + LOAD_COLLECTION_MS);
  const engine = simulation.engine(3);
  t.true(engine.isRunning);
  const before = simulation.observations.runs.length;
  await sendAll(simulation, engine, 'plain-safe');
  const runs = simulation.observations.runs.slice(before);
  t.true(runs.filter(({ engineId }) => engineId === engine.id).length > 0);
  await simulation.settle();
  t.deepEqual(findBreaches(simulation), []);
});

test('a request of the new incarnation continues when its entry appears in the store', async (t) => {
  const simulation = await GatewaySimulation.create(SEED);
  const entryDelayMs = (REQUESTS + 1) * STEP_MS;
  simulation.fleet.restart(3, { ...RESTART_WITH_STALE_CONNECTIONS, cutMs: 0, entryDelayMs });
  await simulation.clock.advance(RESTART_WITH_STALE_CONNECTIONS.downMs);
  const engine = simulation.engine(3);
  engine.mode = EngineMode.Hanging;
  const running = await sendAll(simulation, engine, 'plain-unsafe');
  t.true(running.length > 0);
  await simulation.clock.advance(DETECTION_MS);
  t.deepEqual(
    running.map(({ reply }) => reply.own),
    running.map(() => undefined),
  );
  for (const request of [...engine.running]) request.disconnect();
  await simulation.settle();
  t.deepEqual(findBreaches(simulation), []);
});
