/**
 * Engines whose entries lapse during an outage of the store must stay in use until they write them
 * again.
 */
import test from 'ava';
import { findBreaches } from '../../src/lab/gateway-simulation/gateway-oracle.js';
import { GatewaySimulation } from '../../src/lab/gateway-simulation/gateway-simulation.js';
import type { StoredEngine } from '../../src/lab/gateway-simulation/stored-engine.js';
import { DECODER } from '../../src/lab/gateway-simulation/simulation-fixtures.js';
import { incarnationOf } from '../../src/state/routing/engine-incarnation.js';
import { EngineListHarness } from '../helpers/engine-list-harness.js';
import { engineRecord } from '../helpers/engine-record.js';
import { positionAt } from '../helpers/positions.js';

const DOWN_MS = 2_000;
const REWRITE_MS = 1_000;
const STEP_MS = 20;

test('engines whose entries lapsed during an outage stay in use', async (t) => {
  const simulation = await GatewaySimulation.create(1);
  simulation.expireEntries(DOWN_MS, REWRITE_MS);
  await simulation.clock.advance(DOWN_MS);
  const first = simulation.requests.length;
  for (let spentMs = 0; spentMs < REWRITE_MS; spentMs += STEP_MS) {
    simulation.request(spentMs / STEP_MS, 'plain-safe', 'tenant-2', 0);
    await simulation.clock.advance(STEP_MS);
  }
  await simulation.settle();
  const sent = simulation.requests.slice(first);
  t.deepEqual(
    sent.filter((request) => request.reply.status !== 200).map((request) => request.reply.own),
    [],
  );
  t.deepEqual(findBreaches(simulation), []);
});

test('engines that write their entries two seconds after the outage have stayed in use', async (t) => {
  const simulation = await GatewaySimulation.create(3, { settings: { drainMs: 4_000 } });
  const LATE_REWRITE_MS = 2_000;
  simulation.expireEntries(DOWN_MS, LATE_REWRITE_MS);
  await simulation.clock.advance(DOWN_MS + 1_000);
  const first = simulation.requests.length;
  for (let spentMs = 1_000; spentMs < LATE_REWRITE_MS + 500; spentMs += STEP_MS) {
    simulation.request(spentMs / STEP_MS, 'plain-safe', 'tenant-2', 0);
    await simulation.clock.advance(STEP_MS);
  }
  await simulation.settle();
  const refused = simulation.requests
    .slice(first)
    .filter((request) => request.reply.status !== 200);
  t.deepEqual(
    refused.map((request) => request.reply.own),
    [],
  );
});

test('an engine that crashed during the outage is removed soon after it', async (t) => {
  const simulation = await GatewaySimulation.create(2);
  const crashed = simulation.engine(4);
  simulation.expireEntries(DOWN_MS, REWRITE_MS);
  crashed.crash();
  await simulation.clock.advance(DOWN_MS + 2 * REWRITE_MS + 1_000);
  const sends = simulation.observations.runs.length;
  for (let turn = 0; turn < 30; turn += 1) {
    simulation.request(turn, 'plain-unsafe', 'tenant-2', 0);
    await simulation.clock.advance(STEP_MS);
  }
  await simulation.settle();
  t.is(simulation.observations.runs.length - sends, 30);
  t.deepEqual(findBreaches(simulation), []);
});

test('the grace period for a missing entry ends before the drain deadline', async (t) => {
  const SHORT_DRAIN_MS = 1_000;
  const { clock, registry, list } = new EngineListHarness({
    decoder: DECODER,
    drainMs: SHORT_DRAIN_MS,
  });
  const spec: StoredEngine = {
    name: 'engine-1',
    startedAtMs: undefined,
    service: 'plain',
    address: 'engine-1:1',
    zone: 'zone-a',
    slots: 8,
    isDraining: false,
    modelVersions: [],
  };
  list.applyAll([{ name: spec.name, position: positionAt(2), spec }]);
  list.noteFailure();
  list.applyRemoval(spec.name);
  t.is(registry.readyOf('plain').length, 1);
  await clock.advance(SHORT_DRAIN_MS);
  t.is(registry.readyOf('plain').length, 0);
});

test('an incarnation that is announced while its entry is missing is removed after the grace period', async (t) => {
  const { list, incarnations, registry, clock } = new EngineListHarness({ decoder: DECODER });
  incarnations.applyEntry(engineRecord('engine-1', 1_000));
  list.noteFailure();
  list.applyRemoval('engine-1');
  incarnations.observeIncarnation(incarnationOf('engine-1', 2_000));
  t.is(registry.findByName('engine-1')?.record.startedAtMs, 2_000);
  await clock.advance(2_000);
  t.is(registry.findByName('engine-1'), undefined);
});

const LISTED: StoredEngine = {
  name: 'engine-1',
  startedAtMs: 1_000,
  service: 'plain',
  address: 'engine-1:1',
  zone: 'zone-a',
  slots: 8,
  isDraining: false,
  modelVersions: [],
};
const ENTRY_LIFETIME_MS = 3_600;

/**
 * A list in which an entry was removed and reappears because the store was restored from a copy.
 */
async function listWithReappearedEntry(): Promise<EngineListHarness> {
  const harness = new EngineListHarness({ decoder: DECODER });
  harness.list.applyAll([{ name: LISTED.name, position: positionAt(2, 1), spec: LISTED }]);
  await harness.clock.advance(10_000);
  harness.list.applyRemoval(LISTED.name, positionAt(2, 1));
  harness.list.noteRestored();
  harness.list.applyAll([{ name: LISTED.name, position: positionAt(2, 2), spec: LISTED }]);
  return harness;
}

test('an engine whose entry was removed is not used again after the store is restored', async (t) => {
  const { list, registry, clock } = await listWithReappearedEntry();
  await clock.advance(ENTRY_LIFETIME_MS - 100);
  t.is(registry.readyOf('plain').length, 0);
  // Listed again, unchanged.
  list.applyAll([{ name: LISTED.name, position: positionAt(2, 2), spec: LISTED }]);
  t.is(registry.readyOf('plain').length, 0);
  // The entry is no longer written.
  list.applyRemoval(LISTED.name, positionAt(2, 2));
  await clock.advance(ENTRY_LIFETIME_MS);
  t.is(registry.readyOf('plain').length, 0);
});

test('an engine whose entry does not lapse in the restored store is used again', async (t) => {
  const { registry, clock } = await listWithReappearedEntry();
  await clock.advance(ENTRY_LIFETIME_MS + 100);
  t.is(registry.readyOf('plain').length, 1);
});

test('an engine that writes its entry to the restored store is used at once', async (t) => {
  const { list, registry } = await listWithReappearedEntry();
  list.apply({ name: LISTED.name, position: positionAt(5, 2), spec: LISTED });
  t.is(registry.readyOf('plain').length, 1);
});
