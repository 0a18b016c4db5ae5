/** Entries of engines that run out while the store is down come back with the next heartbeat. */
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
const REENTER_MS = 1_000;
const STEP_MS = 20;

test('engines whose entries lapsed with the store go on serving', async (t) => {
  const world = await GatewaySimulation.create(1);
  world.lapseEntries(DOWN_MS, REENTER_MS);
  await world.clock.advance(DOWN_MS);
  const first = world.requests.length;
  for (let spentMs = 0; spentMs < REENTER_MS; spentMs += STEP_MS) {
    world.request(spentMs / STEP_MS, 'plain-safe', 'tenant-2', 0);
    await world.clock.advance(STEP_MS);
  }
  await world.settle();
  const sent = world.requests.slice(first);
  t.deepEqual(
    sent.filter((request) => request.reply.status !== 200).map((request) => request.reply.own),
    [],
  );
  t.deepEqual(findBreaches(world), []);
});

test('entries that come back two seconds after the store find their engines in service', async (t) => {
  const world = await GatewaySimulation.create(3, { settings: { drainMs: 4_000 } });
  const LATE_REENTER_MS = 2_000;
  world.lapseEntries(DOWN_MS, LATE_REENTER_MS);
  await world.clock.advance(DOWN_MS + 1_000);
  const first = world.requests.length;
  for (let spentMs = 1_000; spentMs < LATE_REENTER_MS + 500; spentMs += STEP_MS) {
    world.request(spentMs / STEP_MS, 'plain-safe', 'tenant-2', 0);
    await world.clock.advance(STEP_MS);
  }
  await world.settle();
  const refused = world.requests.slice(first).filter((request) => request.reply.status !== 200);
  t.deepEqual(
    refused.map((request) => request.reply.own),
    [],
  );
});

test('an engine that was gone when the store came back is left out soon', async (t) => {
  const world = await GatewaySimulation.create(2);
  const gone = world.engine(4);
  world.lapseEntries(DOWN_MS, REENTER_MS);
  gone.crash();
  await world.clock.advance(DOWN_MS + 2 * REENTER_MS + 1_000);
  const sends = world.observations.runs.length;
  for (let turn = 0; turn < 30; turn += 1) {
    world.request(turn, 'plain-unsafe', 'tenant-2', 0);
    await world.clock.advance(STEP_MS);
  }
  await world.settle();
  t.is(world.observations.runs.length - sends, 30);
  t.deepEqual(findBreaches(world), []);
});

test('an entry that is missing is waited for within the bound on engines that leave', async (t) => {
  const SHORT_DRAIN_MS = 1_000;
  const { clock, registry, list } = new EngineListHarness({
    decoder: DECODER,
    drainMs: SHORT_DRAIN_MS,
  });
  const spec: StoredEngine = {
    name: 'engine-1',
    bornMs: undefined,
    service: 'plain',
    address: 'engine-1:1',
    zone: 'zone-a',
    slots: 8,
    isDraining: false,
    modelVersions: [],
  };
  list.takeAll([{ name: spec.name, position: positionAt(2), spec }]);
  list.noteFailure();
  list.takeGone(spec.name);
  t.is(registry.readyOf('plain').length, 1);
  await clock.advance(SHORT_DRAIN_MS);
  t.is(registry.readyOf('plain').length, 0);
});

test('a life that others report while its engine has no entry is left out when the wait is over', async (t) => {
  const { list, lives, registry, clock } = new EngineListHarness({ decoder: DECODER });
  lives.takeEntry(engineRecord('engine-1', 1_000));
  list.noteFailure();
  list.takeGone('engine-1');
  lives.noteIncarnation(incarnationOf('engine-1', 2_000));
  t.is(registry.findByName('engine-1')?.record.bornMs, 2_000);
  await clock.advance(2_000);
  t.is(registry.findByName('engine-1'), undefined);
});

const LISTED: StoredEngine = {
  name: 'engine-1',
  bornMs: 1_000,
  service: 'plain',
  address: 'engine-1:1',
  zone: 'zone-a',
  slots: 8,
  isDraining: false,
  modelVersions: [],
};
const ENTRY_LIFETIME_MS = 3_600;

/** A list that has seen an entry go, and finds it again in a store that was restored from a copy that holds it. */
async function listWithGoneEntry(): Promise<EngineListHarness> {
  const world = new EngineListHarness({ decoder: DECODER });
  world.list.takeAll([{ name: LISTED.name, position: positionAt(2, 1), spec: LISTED }]);
  await world.clock.advance(10_000);
  world.list.takeGone(LISTED.name, positionAt(2, 1));
  world.list.noteRestored();
  world.list.takeAll([{ name: LISTED.name, position: positionAt(2, 2), spec: LISTED }]);
  return world;
}

test('an engine whose entry went is not used again because the store was restored', async (t) => {
  const { list, registry, clock } = await listWithGoneEntry();
  await clock.advance(ENTRY_LIFETIME_MS - 100);
  t.is(registry.readyOf('plain').length, 0);
  // Listed once more, unchanged.
  list.takeAll([{ name: LISTED.name, position: positionAt(2, 2), spec: LISTED }]);
  t.is(registry.readyOf('plain').length, 0);
  // Nobody writes the entry any more.
  list.takeGone(LISTED.name, positionAt(2, 2));
  await clock.advance(ENTRY_LIFETIME_MS);
  t.is(registry.readyOf('plain').length, 0);
});

test('an engine that keeps its entry in the restored store from lapsing is used again', async (t) => {
  const { registry, clock } = await listWithGoneEntry();
  await clock.advance(ENTRY_LIFETIME_MS + 100);
  t.is(registry.readyOf('plain').length, 1);
});

test('an engine that writes its entry in the restored store is used at once', async (t) => {
  const { list, registry } = await listWithGoneEntry();
  list.take({ name: LISTED.name, position: positionAt(5, 2), spec: LISTED });
  t.is(registry.readyOf('plain').length, 1);
});
