/** Requests that an engine was running when it started again under its name. */
import test from 'ava';
import { findBreaches } from '../../src/lab/gateway-simulation/gateway-oracle.js';
import {
  GatewaySimulation,
  type ObservedRequest,
} from '../../src/lab/gateway-simulation/gateway-simulation.js';
import {
  EngineMode,
  type SimulatedEngine,
} from '../../src/lab/gateway-simulation/simulated-engine.js';
import type { EngineRestart } from '../../src/lab/gateway-simulation/simulated-fleet.js';
import type { RequestKind } from '../../src/lab/gateway-simulation/simulation-fixtures.js';

const SEED = 43;
/** Requests enough that the engine that hangs gets some. */
const REQUESTS = 24;
const STEP_MS = 10;
/** Longer than clocks of machines may differ. */
const HUNG_MS = 900;
const NOTICED_MS = 1_000;

/** The engine starts again; its connections from before show nothing until the end of the test. */
const BEHIND_CUT: EngineRestart = {
  downMs: 1,
  cutMs: 60_000,
  entryDelayMs: 0,
  losesLoad: false,
  clockStepMs: 0,
};

/** What the engine runs from now on hangs. */
async function worldWithHungEngine(index: number): Promise<{
  world: GatewaySimulation;
  engine: SimulatedEngine;
}> {
  const world = await GatewaySimulation.create(SEED);
  const engine = world.engine(index);
  engine.mode = EngineMode.Hanging;
  return { world, engine };
}

/** Sends requests; answers those that hang at the engine. */
async function sendAll(
  world: GatewaySimulation,
  engine: SimulatedEngine,
  kind: RequestKind,
): Promise<ObservedRequest[]> {
  for (let turn = 0; turn < REQUESTS; turn += 1) {
    world.request(turn, kind, 'tenant-2', 0);
    await world.clock.advance(STEP_MS);
  }
  const hung = world.observations.runs.filter(
    ({ engineId, endedMs }) => engineId === engine.id && endedMs === undefined,
  );
  const ids = new Set(hung.map(({ requestId }) => requestId));
  return world.requests.filter(({ id }) => ids.has(id));
}

function runsOf(world: GatewaySimulation, id: string): number {
  return world.observations.runs.filter(({ requestId }) => requestId === id).length;
}

test('an unsafe request of a former life is broken soon, and runs once', async (t) => {
  const { world, engine } = await worldWithHungEngine(3);
  const hung = await sendAll(world, engine, 'plain-unsafe');
  t.true(hung.length > 0);
  await world.clock.advance(HUNG_MS);
  world.fleet.restart(3, BEHIND_CUT);
  await world.clock.advance(NOTICED_MS);
  for (const { id, reply } of hung) {
    t.is(reply.own?.status, 502);
    t.is(runsOf(world, id), 1);
  }
  await world.settle();
  t.deepEqual(findBreaches(world), []);
});

test('a stream that may be resumed goes on elsewhere', async (t) => {
  const { world, engine } = await worldWithHungEngine(0);
  const hung = await sendAll(world, engine, 'stream-resumable');
  t.true(hung.length > 0);
  world.fleet.restart(0, BEHIND_CUT);
  await world.settle();
  t.deepEqual(
    hung.map(({ reply }) => reply.status),
    hung.map(() => 200),
  );
  t.deepEqual(findBreaches(world), []);
});

test('what kept work from the former life does not keep it from the new one', async (t) => {
  const world = await GatewaySimulation.create(SEED);
  const DOWN_MS = (REQUESTS + 1) * STEP_MS;
  world.fleet.restart(3, { ...BEHIND_CUT, downMs: DOWN_MS, cutMs: 0 });
  // Each router finds that it can't connect, and leaves the engine alone for a second.
  await sendAll(world, world.engine(3), 'plain-safe');
  const GATHERED_MS = 300;
  await world.clock.advance(STEP_MS + GATHERED_MS);
  const engine = world.engine(3);
  t.true(engine.isRunning);
  const before = world.observations.runs.length;
  await sendAll(world, engine, 'plain-safe');
  const runs = world.observations.runs.slice(before);
  t.true(runs.filter(({ engineId }) => engineId === engine.id).length > 0);
  await world.settle();
  t.deepEqual(findBreaches(world), []);
});

test('a request that runs in the new life goes on when its entry comes', async (t) => {
  const world = await GatewaySimulation.create(SEED);
  const entryDelayMs = (REQUESTS + 1) * STEP_MS;
  world.fleet.restart(3, { ...BEHIND_CUT, cutMs: 0, entryDelayMs });
  await world.clock.advance(BEHIND_CUT.downMs);
  const engine = world.engine(3);
  engine.mode = EngineMode.Hanging;
  const running = await sendAll(world, engine, 'plain-unsafe');
  t.true(running.length > 0);
  await world.clock.advance(NOTICED_MS);
  t.deepEqual(
    running.map(({ reply }) => reply.own),
    running.map(() => undefined),
  );
  for (const request of [...engine.running]) request.breakOff();
  await world.settle();
  t.deepEqual(findBreaches(world), []);
});
