/**
 * Guards against a repeated request that crashes one engine after another, because each router sees
 * only one disconnect per attempt.
 */
import test from 'ava';
import { findBreaches } from '../../src/lab/gateway-simulation/gateway-oracle.js';
import { GatewaySimulation } from '../../src/lab/gateway-simulation/gateway-simulation.js';
import { EngineMode } from '../../src/lab/gateway-simulation/simulated-engine.js';
import {
  CRASHING_BODY,
  KINDS,
  type RequestKind,
} from '../../src/lab/gateway-simulation/simulation-fixtures.js';
import { BodyFraming } from '../../src/protocol/inference/port.js';
import type { QuarantineRecord } from '../../src/coordination/gateway/quarantine-store.js';

const SEED = 32;
const ATTEMPTS = 24;
const INTERVAL_MS = 700;
const DOWN_MS = 800;
/** A restarted router serves requests after this time. */
const SERVING_MS = 1_500;
const PARTITION_MS = 6_000;
const FROZEN_MS = 8_000;
/** Time within which each router reads the stored quarantine at least once. */
const STORE_READ_MS = 45_000;
const FREQUENT_REQUESTS = 600;
const FREQUENT_INTERVAL_MS = 11;
const FREQUENT_REQUESTS_PER_CRASH = 60;

/** Connections to the restarted engine hang for longer than its new incarnation needs to be listed. */
const UNNOTICED_RESTART = {
  downMs: 700,
  cutMs: 5_000,
  entryDelayMs: 0,
  losesLoad: false,
  clockStepMs: 0,
};
const ARRIVAL_MS = 50;
/** Time within which a stream has begun and not ended. */
const FIRST_EVENTS_MS = 25;
/** Engines of a simulation, with those that replace crashed ones. */
const ENGINES = 8;

/** Sends a request that stays at its engine; returns the engine's index. */
async function occupyEngine(simulation: GatewaySimulation): Promise<number> {
  const indexes = [...Array(ENGINES).keys()];
  for (const index of indexes) simulation.engine(index).mode = EngineMode.Hanging;
  simulation.request(0, 'plain-unsafe', 'tenant-2', 0, 'same body');
  await simulation.clock.advance(ARRIVAL_MS);
  return indexes.findIndex((index) => simulation.engine(index).running.size > 0);
}

/** Sends the same request to all routers in turn. */
async function sendRepeatedly(simulation: GatewaySimulation, kind: RequestKind): Promise<void> {
  for (let attempt = 0; attempt < ATTEMPTS; attempt += 1) {
    simulation.request(attempt, kind, 'tenant-2', 0, CRASHING_BODY);
    await simulation.clock.advance(INTERVAL_MS);
  }
}

function crashesOf(simulation: GatewaySimulation): number {
  return simulation.observations.crashes.filter(({ crashedMs }) => crashedMs !== undefined).length;
}

test('a request that crashes engines is quarantined soon after its third crash', async (t) => {
  const simulation = await GatewaySimulation.create(SEED);
  await sendRepeatedly(simulation, 'stream-once');
  await simulation.settle();
  t.deepEqual(findBreaches(simulation), []);
});

for (const kind of ['stream-resumable', 'plain-safe', 'plain-unsafe'] as const) {
  test(`a ${kind} request that crashes engines is quarantined and rejected permanently`, async (t) => {
    const simulation = await GatewaySimulation.create(SEED);
    await sendRepeatedly(simulation, kind);
    t.deepEqual(findBreaches(simulation), []);
    const response = simulation.requests.at(-1)?.reply.own;
    t.deepEqual(response, { status: 422, reason: 'request-crashes-engines' });
    t.is(crashesOf(simulation), 3);
  });
}

/** Crashes the engine of a stream that has begun, whose response ends with its connection. */
async function crashDuringStream(simulation: GatewaySimulation): Promise<void> {
  const indexes = [...Array(ENGINES).keys()];
  for (const index of indexes) simulation.engine(index).framing = BodyFraming.Connection;
  simulation.request(0, 'stream-once', 'tenant-2', 0, 'same body');
  await simulation.clock.advance(FIRST_EVENTS_MS);
  simulation.fleet.crash(indexes.findIndex((index) => simulation.engine(index).running.size > 0));
  await simulation.clock.advance(SERVING_MS);
}

test('a response whose engine cannot be checked after its end clears no suspicion', async (t) => {
  const simulation = await GatewaySimulation.create(SEED);
  await crashDuringStream(simulation);
  await crashDuringStream(simulation);
  simulation.fleet.ignoresConnections = true;
  await crashDuringStream(simulation);
  t.is(simulation.requests.at(-1)?.reply.ending, 'aborted');
  simulation.fleet.ignoresConnections = false;
  await crashDuringStream(simulation);
  simulation.request(0, 'stream-once', 'tenant-2', 0, 'same body');
  await simulation.clock.advance(ARRIVAL_MS);
  t.is(simulation.requests.at(-1)?.reply.own?.status, 422);
});

test('a request is answered once if the loss of its own connection completes its quarantine', async (t) => {
  const simulation = await GatewaySimulation.create(SEED);
  for (let crash = 0; crash < 2; crash += 1) {
    simulation.fleet.crash(await occupyEngine(simulation));
    await simulation.clock.advance(SERVING_MS);
  }
  simulation.fleet.restart(await occupyEngine(simulation), UNNOTICED_RESTART);
  await simulation.clock.advance(SERVING_MS);
  t.deepEqual(simulation.requests.at(-1)?.reply.own, {
    status: 422,
    reason: 'request-crashes-engines',
  });
  t.deepEqual(findBreaches(simulation), []);
});

test('routers that all restart read the quarantine from the store', async (t) => {
  const simulation = await GatewaySimulation.create(SEED);
  await sendRepeatedly(simulation, 'stream-once');
  const before = crashesOf(simulation);
  for (let index = 0; index < simulation.routerCount; index += 1)
    simulation.killRouter(index, DOWN_MS);
  await simulation.clock.advance(DOWN_MS + SERVING_MS);
  await sendRepeatedly(simulation, 'stream-once');
  t.is(crashesOf(simulation), before);
  t.is(simulation.requests.at(-1)?.reply.own?.status, 422);
});

test('a router that was down or frozen learns of the quarantine before it serves the request', async (t) => {
  const simulation = await GatewaySimulation.create(SEED);
  simulation.cutFromStore(0, PARTITION_MS);
  simulation.freezeRouter(1, FROZEN_MS);
  simulation.killRouter(0, DOWN_MS);
  for (let attempt = 0; attempt < ATTEMPTS; attempt += 1) {
    simulation.request(2, 'stream-once', 'tenant-2', 0, CRASHING_BODY);
    await simulation.clock.advance(INTERVAL_MS);
  }
  const before = crashesOf(simulation);
  for (const router of [0, 1])
    simulation.request(router, 'stream-once', 'tenant-2', 0, CRASHING_BODY);
  await simulation.clock.advance(INTERVAL_MS);
  t.is(crashesOf(simulation), before);
  t.deepEqual(findBreaches(simulation), []);
});

test('removing the entry from the store lifts the quarantine at all routers', async (t) => {
  const simulation = await GatewaySimulation.create(SEED);
  await sendRepeatedly(simulation, 'plain-safe');
  const [entry] = simulation.store.all(KINDS.quarantine);
  t.is((entry?.spec as QuarantineRecord).route, 'plain-safe');
  // Let each router read the entry before it is removed.
  await simulation.clock.advance(STORE_READ_MS);
  simulation.store.remove(KINDS.quarantine, entry?.name ?? '');
  await simulation.clock.advance(STORE_READ_MS);
  t.deepEqual(simulation.store.all(KINDS.quarantine), []);
  const before = crashesOf(simulation);
  for (let router = 0; router < simulation.routerCount; router += 1) {
    simulation.request(router, 'plain-safe', 'tenant-2', 0, CRASHING_BODY);
  }
  await simulation.clock.advance(INTERVAL_MS);
  t.true(crashesOf(simulation) > before);
});

test('a frequent prompt is not quarantined when engines crash for other reasons', async (t) => {
  const simulation = await GatewaySimulation.create(SEED);
  for (let attempt = 0; attempt < FREQUENT_REQUESTS; attempt += 1) {
    simulation.request(attempt, 'stream-resumable', 'tenant-2', 0, 'hot prompt');
    if (attempt % FREQUENT_REQUESTS_PER_CRASH === 0)
      simulation.fleet.crash(attempt / FREQUENT_REQUESTS_PER_CRASH);
    await simulation.clock.advance(FREQUENT_INTERVAL_MS);
  }
  await simulation.settle();
  const quarantined = simulation.requests.filter(({ reply }) => reply.own?.status === 422);
  t.deepEqual(quarantined, []);
  t.deepEqual(simulation.store.all(KINDS.quarantine), []);
});
