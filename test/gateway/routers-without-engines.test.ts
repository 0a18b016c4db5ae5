/**
 * Routers that were cut off from all engines failed nearly every request, although callers, the
 * store and the other routers, which had a path to the engines, still reached them.
 */
import test from 'ava';
import type { ObjectDecoder } from '../../src/coordination/gateway/object-decoder.js';
import { EngineCut } from '../../src/lab/gateway-simulation/engine-links.js';
import { judgeEnginePaths } from '../../src/lab/gateway-simulation/engine-path-oracle.js';
import { findBreaches } from '../../src/lab/gateway-simulation/gateway-oracle.js';
import { GatewaySimulation } from '../../src/lab/gateway-simulation/gateway-simulation.js';
import { routerName } from '../../src/lab/gateway-simulation/simulation-fixtures.js';
import type { LogFields, Logger } from '../../src/runtime/logger.js';
import { sendAllKinds } from '../../src/lab/gateway-simulation/simulation-traffic.js';

const SEEDS = [1, 2, 3];
const CUT_MS = 12_000;
const BEFORE_MS = 2_000;
const GAP_MS = 10;

/** Serves requests of all kinds while some routers are cut off from all engines. */
async function playCut(
  seed: number,
  cut: EngineCut,
  routers: readonly number[],
): Promise<GatewaySimulation> {
  const simulation = await GatewaySimulation.create(seed);
  await sendAllKinds(simulation, BEFORE_MS, GAP_MS);
  for (const index of routers) simulation.engineLinks.cut(routerName(index), cut, CUT_MS);
  await sendAllKinds(simulation, CUT_MS, GAP_MS);
  return simulation;
}

/** Plays each kind of cut with each seed and collects what the oracle finds. */
async function breachesOf(routers: readonly number[]): Promise<string[]> {
  const found: string[] = [];
  for (const cut of Object.values(EngineCut)) {
    for (const seed of SEEDS) {
      const simulation = await playCut(seed, cut, routers);
      found.push(...judgeEnginePaths(simulation).map(({ detail }) => `seed ${seed}: ${detail}`));
      await simulation.settle();
      found.push(...findBreaches(simulation).map(({ detail }) => `seed ${seed}: ${detail}`));
    }
  }
  return found;
}

test('a router without a path to engines serves as the others do', async (t) => {
  t.deepEqual(await breachesOf([0]), []);
});

test('most routers of a group serve without a path to engines of their own', async (t) => {
  t.deepEqual(await breachesOf([0, 2]), []);
});

test('engines that a cut router loses its connections to are not taken for crashed', async (t) => {
  for (const cut of Object.values(EngineCut)) {
    const simulation = await playCut(1, cut, [0]);
    t.is(simulation.statistics(0).engineCrashes, 0, cut);
    t.is(simulation.statistics(1).quarantinedRequests, 0, cut);
  }
});

test('a cut router detects the crash of an engine that it reaches through another router', async (t) => {
  const RUNNING_MS = 30;
  const CHECK_MS = 200;
  const simulation = await playCut(1, EngineCut.Silent, [0]);
  simulation.engineLinks.cut(routerName(0), EngineCut.Silent, CUT_MS);
  await sendAllKinds(simulation, BEFORE_MS, GAP_MS);
  const before = simulation.statistics(0).engineCrashes;
  for (const kind of ['stream-once', 'stream-resumable'] as const) {
    for (let count = 0; count < 6; count += 1) simulation.request(0, kind, 'tenant-2', 0);
  }
  await simulation.clock.advance(RUNNING_MS);
  for (const engine of [0, 1]) simulation.fleet.crash(engine);
  await simulation.clock.advance(CHECK_MS);
  t.true(simulation.statistics(0).engineCrashes > before);
});

test('a router that is about to stop still serves through others when it is cut off', async (t) => {
  const TRAFFIC_MS = 8_000;
  /** A stopping router rejects what may not end before it does. */
  const GRACE_MS = TRAFFIC_MS + 4_000;
  const DETECTION_MS = 3_000;
  const simulation = await GatewaySimulation.create(1);
  await sendAllKinds(simulation, BEFORE_MS, GAP_MS);
  simulation.stopRouter(0, GRACE_MS);
  simulation.engineLinks.cut(routerName(0), EngineCut.Silent, CUT_MS);
  const fromMs = simulation.now + DETECTION_MS;
  await sendAllKinds(simulation, TRAFFIC_MS, GAP_MS);
  const own = simulation.requests.filter(
    ({ router, sentMs }) => router === routerName(0) && sentMs >= fromMs,
  );
  const served = own.filter(({ reply }) => reply.status === 200).length;
  t.true(served > own.length * 0.9, `${served} of ${own.length}`);
});

test('requests are rejected at once, and have not run, if no router reaches engines', async (t) => {
  const simulation = await GatewaySimulation.create(1);
  await sendAllKinds(simulation, BEFORE_MS, GAP_MS);
  for (let index = 0; index < simulation.routerCount; index += 1)
    simulation.engineLinks.cut(routerName(index), EngineCut.Silent, CUT_MS);
  // All idle connections are used up first.
  await sendAllKinds(simulation, BEFORE_MS, GAP_MS);
  const fromMs = simulation.now;
  await sendAllKinds(simulation, BEFORE_MS, GAP_MS);
  await simulation.settle();
  const statuses = simulation.requests
    .filter(({ sentMs }) => sentMs >= fromMs)
    .map(({ reply }) => reply.own?.status);
  t.true(statuses.length > 0);
  t.true(statuses.every((status) => status === 503));
});

function ignore(): void {
  // Lines of other levels are not needed.
}

/** Sets the objective of all routes. */
function withObjective(decoder: ObjectDecoder, objectiveMs: number): ObjectDecoder {
  return {
    ...decoder,
    configuration: (object) => {
      const decoded = decoder.configuration(object);
      if (decoded.kind !== 'value') return decoded;
      const routes = decoded.value.routes.map((route) => ({ ...route, objectiveMs }));
      return { kind: 'value', value: { ...decoded.value, routes } };
    },
  };
}

test('a send that timed out before it had a connection does not count as possibly run', async (t) => {
  // The response timeout of such a route is shorter than that of a connection.
  const OBJECTIVE_MS = 199;
  const failures: LogFields[] = [];
  const logger: Logger = {
    ...{ debug: ignore, warn: ignore, error: ignore },
    info: (event, fields = {}) => {
      if (event === 'send_failed') failures.push(fields);
    },
  };
  const decoder = (original: ObjectDecoder): ObjectDecoder => withObjective(original, OBJECTIVE_MS);
  const simulation = await GatewaySimulation.create(1, { logger, decoder });
  await sendAllKinds(simulation, BEFORE_MS, GAP_MS);
  simulation.engineLinks.cut(routerName(0), EngineCut.Silent, CUT_MS);
  await sendAllKinds(simulation, BEFORE_MS, GAP_MS);
  const unconnected = failures.filter(({ connected }) => connected === false);
  t.true(unconnected.length > 0);
  t.true(unconnected.every(({ kind }) => kind === 'not-sent'));
});
