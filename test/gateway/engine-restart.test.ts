/** Engine restarts must not break requests, lose load commands or leave engines unused. */
import test from 'ava';
import { findBreaches } from '../../src/lab/gateway-simulation/gateway-oracle.js';
import { GatewaySimulation } from '../../src/lab/gateway-simulation/gateway-simulation.js';
import { MalformedEntry } from '../../src/lab/gateway-simulation/malformed-entry.js';
import {
  LoadCommandFault,
  type EngineRestart,
} from '../../src/lab/gateway-simulation/simulated-fleet.js';
import { DECODER, KINDS } from '../../src/lab/gateway-simulation/simulation-fixtures.js';
import { incarnationOf } from '../../src/state/routing/engine-incarnation.js';
import { EngineListHarness } from '../helpers/engine-list-harness.js';
import { engineRecord } from '../helpers/engine-record.js';

const AT_ONCE: EngineRestart = {
  downMs: 1,
  cutMs: 0,
  entryDelayMs: 0,
  losesLoad: false,
  clockStepMs: 0,
};
const LOAD_MS = 400;

/** Sends streams through all routers, a few milliseconds apart. */
async function sendStreams(simulation: GatewaySimulation, count: number): Promise<void> {
  for (let turn = 0; turn < count; turn += 1) {
    simulation.request(turn, 'stream-resumable', 'tenant-2', 0);
    await simulation.clock.advance(4);
  }
}

test('streams of an engine that restarts while unreachable resume elsewhere once its new incarnation is listed', async (t) => {
  const CUT_MS = 2_900;
  // Longer than the maximum clock difference between two machines.
  const DOWN_MS = 700;
  const LISTED_MS = 100;
  const simulation = await GatewaySimulation.create(11);
  await sendStreams(simulation, 12);
  const running = simulation.engine(0).running.size;
  simulation.fleet.restart(0, { ...AT_ONCE, downMs: DOWN_MS, cutMs: CUT_MS });
  t.true(running > 0);
  await simulation.clock.advance(DOWN_MS + LISTED_MS);
  t.true(
    simulation.requests.every(({ reply }) => reply.status === 200 && reply.ending === 'whole'),
  );
  await simulation.settle();
  t.deepEqual(findBreaches(simulation), []);
});

test('an engine that lost its weights in a restart loads the newest weights again', async (t) => {
  const simulation = await GatewaySimulation.create(12);
  simulation.publishWeights();
  await sendStreams(simulation, 2_000);
  t.is(simulation.engine(0).weightsVersion, 2);
  simulation.fleet.restart(0, { ...AT_ONCE, losesLoad: true });
  await simulation.clock.advance(AT_ONCE.downMs);
  t.is(simulation.engine(0).weightsVersion, 1);
  await simulation.settle();
  t.is(simulation.engine(0).weightsVersion, 2);
  t.deepEqual(findBreaches(simulation), []);
});

test('a load command that arrives at a later incarnation is executed once, and newer weights are loaded after it', async (t) => {
  const simulation = await GatewaySimulation.create(13);
  for (let count = 0; count < 3; count += 1)
    simulation.fleet.loadCommandFaults.push(LoadCommandFault.Late);
  simulation.publishWeights();
  await sendStreams(simulation, 250);
  for (const index of [0, 1, 2]) simulation.fleet.restart(index, AT_ONCE);
  simulation.publishWeights();
  await sendStreams(simulation, 1_000);
  await simulation.settle();
  const named = simulation.publishedVersion;
  t.true(
    simulation.fleet.generationEngines.every(({ weightsVersion }) => weightsVersion === named),
  );
  t.deepEqual(findBreaches(simulation), []);
});

test('an engine that restarts while draining is used again', async (t) => {
  const simulation = await GatewaySimulation.create(14);
  simulation.fleet.drain(0);
  await simulation.clock.advance(LOAD_MS);
  const drained = simulation.engine(0).id;
  simulation.fleet.restart(0, AT_ONCE);
  await simulation.clock.advance(LOAD_MS);
  await sendStreams(simulation, 60);
  await simulation.settle();
  const present = simulation.engine(0).id;
  t.not(present, drained);
  t.true(simulation.observations.runs.some(({ engineId }) => engineId === present));
  t.deepEqual(findBreaches(simulation), []);
});

test('an engine whose clock stepped back between two quick restarts loads the newest weights', async (t) => {
  const KEY_BOUND_MS = 5_500;
  const SEEN_MS = 50;
  const BEYOND_DRAIN_BOUND_MS = 2_200;
  const STEP_MS = 4_000;
  const simulation = await GatewaySimulation.create(16);
  // The last two routers read the store late, so responses reveal an incarnation before its entry
  // does.
  simulation.cutFromStore(1, 12_000);
  simulation.toggleKey('tenant-1', 0);
  await simulation.clock.advance(KEY_BOUND_MS);
  simulation.request(1, 'plain-safe', 'tenant-1', 0);
  simulation.fleet.drain(0);
  await simulation.clock.advance(500);
  simulation.fleet.restart(0, AT_ONCE);
  simulation.cutFromStore(0, 6_000);
  await simulation.clock.advance(SEEN_MS);
  simulation.fleet.drain(2);
  await simulation.clock.advance(BEYOND_DRAIN_BOUND_MS);
  for (let turn = 0; turn < 12; turn += 1) {
    simulation.request(1 + (turn % 2), turn % 4 < 2 ? 'plain-safe' : 'stream-once', 'tenant-1', 0);
    await simulation.clock.advance(10);
  }
  simulation.publishWeights();
  await simulation.clock.advance(3_000);
  for (const index of [0, 1]) simulation.fleet.restart(index, AT_ONCE);
  for (const clockStepMs of [0, STEP_MS, 0]) {
    simulation.request(5, 'stream-resumable', 'tenant-1', 0);
    simulation.request(6, 'plain-unsafe', 'tenant-2', 0);
    simulation.fleet.restart(5, { ...AT_ONCE, clockStepMs });
    await simulation.clock.advance(LOAD_MS);
  }
  await simulation.settle();
  t.is(simulation.engine(0).weightsVersion, 2);
  t.deepEqual(findBreaches(simulation), []);
});

for (const defect of Object.values(MalformedEntry)) {
  test(`a malformed entry (${defect}) adds no engine, and an engine whose entry was overwritten is used again`, async (t) => {
    const HEARTBEAT_MS = 1_200;
    const simulation = await GatewaySimulation.create(15);
    simulation.fleet.addMalformedEntry(defect);
    simulation.fleet.overwriteEntry(0, defect);
    await simulation.clock.advance(LOAD_MS);
    await sendStreams(simulation, 40);
    await simulation.clock.advance(HEARTBEAT_MS);
    const before = simulation.observations.runs.length;
    await sendStreams(simulation, 40);
    await simulation.settle();
    t.true(simulation.requests.every(({ reply }) => reply.status === 200));
    const later = simulation.observations.runs.slice(before);
    t.true(later.some(({ engineId }) => engineId === simulation.engine(0).id));
    t.is(simulation.store.all(KINDS.engines).length, 6);
    t.deepEqual(findBreaches(simulation), []);
  });
}

test('a late announcement of a previous incarnation with a later start time does not replace the current one', (t) => {
  const PREVIOUS_MS = 2_000;
  // The engine's clock stepped back between the incarnations; the store received this entry last.
  const CURRENT_MS = 1_000;
  const { incarnations, registry } = new EngineListHarness({ decoder: DECODER });
  incarnations.applyEntry(engineRecord('engine-1', PREVIOUS_MS));
  incarnations.applyEntry(engineRecord('engine-1', CURRENT_MS));
  // Another router without access to the store still announces the previous incarnation.
  incarnations.observeIncarnation(incarnationOf('engine-1', PREVIOUS_MS));
  t.is(registry.findByName('engine-1')?.record.startedAtMs, CURRENT_MS);
});
