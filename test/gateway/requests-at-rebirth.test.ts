/** Requests that an engine was running when it started again under its name. */
import test from 'ava';
import { findBreaches } from '../../src/lab/gateway-world/gateway-oracle.js';
import { GatewayWorld, type ObservedRequest } from '../../src/lab/gateway-world/gateway-world.js';
import { EngineMode, type SimulatedEngine } from '../../src/lab/gateway-world/simulated-engine.js';
import {
  KINDS,
  type RequestKind,
  type StoredEngine,
} from '../../src/lab/gateway-world/world-fixtures.js';
import { incarnationOf } from '../../src/state/routing/engine-incarnation.js';

const SEED = 43;
/** Requests enough that the engine that hangs gets some. */
const REQUESTS = 24;
const STEP_MS = 10;
/** Longer than clocks of machines may differ. */
const HUNG_MS = 900;
const NOTICED_MS = 1_000;

/** The engine is listed with a start, by which its routers know its life. */
function enterLife(world: GatewayWorld, engine: SimulatedEngine): void {
  const bornMs = world.clock.wallNow();
  const entry = world.store.get(KINDS.engines, engine.id)?.spec as StoredEngine;
  const id = incarnationOf(engine.id, bornMs);
  world.store.put(KINDS.engines, engine.id, { ...entry, id, bornMs });
}

/** The engine has a start, and what it runs from now on hangs as behind a cut. */
async function worldWithHungEngine(index: number): Promise<{
  world: GatewayWorld;
  engine: SimulatedEngine;
}> {
  const world = await GatewayWorld.create(SEED);
  const engine = world.engine(index);
  enterLife(world, engine);
  await world.clock.advance(NOTICED_MS);
  engine.mode = EngineMode.Hanging;
  return { world, engine };
}

/** Sends requests; answers those that hang at the engine. */
async function sendAll(
  world: GatewayWorld,
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

/** The engine has started again; its connections from before show nothing. */
function startAgain(world: GatewayWorld, engine: SimulatedEngine): void {
  engine.running.clear();
  engine.sequence = 0;
  engine.mode = EngineMode.Sound;
  enterLife(world, engine);
}

function runsOf(world: GatewayWorld, id: string): number {
  return world.observations.runs.filter(({ requestId }) => requestId === id).length;
}

test('an unsafe request of a former life is broken soon, and runs once', async (t) => {
  const { world, engine } = await worldWithHungEngine(3);
  const hung = await sendAll(world, engine, 'plain-unsafe');
  t.true(hung.length > 0);
  await world.clock.advance(HUNG_MS);
  startAgain(world, engine);
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
  startAgain(world, engine);
  await world.settle();
  t.deepEqual(
    hung.map(({ reply }) => reply.status),
    hung.map(() => 200),
  );
  t.deepEqual(findBreaches(world), []);
});

test('a request that runs in the new life goes on when its entry comes', async (t) => {
  const { world, engine } = await worldWithHungEngine(3);
  engine.mode = EngineMode.Sound;
  const bornMs = world.clock.wallNow();
  engine.mode = EngineMode.Hanging;
  const running = await sendAll(world, engine, 'plain-unsafe');
  t.true(running.length > 0);
  const entry = world.store.get(KINDS.engines, engine.id)?.spec as StoredEngine;
  const id = incarnationOf(engine.id, bornMs);
  world.store.put(KINDS.engines, engine.id, { ...entry, id, bornMs });
  await world.clock.advance(NOTICED_MS);
  t.deepEqual(
    running.map(({ reply }) => reply.own),
    running.map(() => undefined),
  );
  for (const request of [...engine.running]) request.breakOff();
  await world.settle();
  t.deepEqual(findBreaches(world), []);
});
