/** Guards against missing or doubly counted load in a large group, also after a collector died. */
import test from 'ava';
import { busiestEngines } from '../../src/state/routing/collected-loads.js';
import { LoadCollection } from '../../src/coordination/gateway/load-collection.js';
import { EngineRegistry } from '../../src/state/routing/engine-registry.js';
import { LoadTable } from '../../src/state/routing/load-table.js';
import { NoopLogger } from '../../src/runtime/logger.js';
import { GroupHarness } from '../helpers/group-harness.js';
import { engineRecord } from '../helpers/engine-record.js';

const ROUTERS = 40;
const SETTLED_MS = 3_000;
/** Two collection periods and the network latency. */
const PROPAGATION_MS = 250;
const ENGINE = 'engine-1';
const WORK = { requests: 1, unreadTokens: 9_000, heldTokens: 9_200 };

interface CollectingRouter {
  readonly loads: LoadTable;
  readonly collection: LoadCollection;
}

async function collectingGroup(seed: number): Promise<[GroupHarness, CollectingRouter[]]> {
  const harness = await GroupHarness.create(ROUTERS, seed);
  const registry = new EngineRegistry();
  registry.put(
    engineRecord(ENGINE, undefined, { zone: 'zone-0', slots: 16, modelVersions: new Map() }),
  );
  const routers = harness.routers.map(({ group, host }) => {
    const loads = new LoadTable();
    const parts = { group, loads, registry, clock: host, logger: new NoopLogger() };
    const collection = new LoadCollection(parts);
    group.onWorkDatagram = (body) => collection.receive(body);
    collection.start();
    return { loads, collection };
  });
  await harness.clock.advance(SETTLED_MS);
  return [harness, routers];
}

function requestsKnownTo(routers: readonly CollectingRouter[]): number[] {
  return routers.map(({ loads }) => loads.at(ENGINE).requests);
}

test('every router learns the work of all routers, counted once', async (t) => {
  const [harness, routers] = await collectingGroup(1);
  for (const { loads } of routers) loads.change(ENGINE, WORK);
  await harness.clock.advance(PROPAGATION_MS);
  t.deepEqual(requestsKnownTo(routers), Array<number>(ROUTERS).fill(ROUTERS));
  for (const { loads } of routers) {
    loads.change(ENGINE, { requests: -1, unreadTokens: -9_000, heldTokens: -9_200 });
  }
  await harness.clock.advance(PROPAGATION_MS);
  t.deepEqual(requestsKnownTo(routers), Array<number>(ROUTERS).fill(0));
});

test('the next router replaces a collector that died', async (t) => {
  const [harness, routers] = await collectingGroup(2);
  for (const { loads } of routers) loads.change(ENGINE, WORK);
  await harness.clock.advance(PROPAGATION_MS);
  // With equal capacities the first router by name is the collector.
  const names = harness.routers.map(({ name }) => name);
  const collector = names.indexOf([...names].sort()[0] as string);
  harness.powerOff(collector);
  const TAKEOVER_MS = 1_000;
  await harness.clock.advance(TAKEOVER_MS);
  const REPORTS_EXPIRED_MS = 2_500;
  await harness.clock.advance(REPORTS_EXPIRED_MS);
  for (const { loads } of routers) loads.expire(harness.clock.now());
  const known = requestsKnownTo(routers).filter((_, index) => index !== collector);
  t.deepEqual(known, Array<number>(ROUTERS - 1).fill(ROUTERS - 1));
});

test('a summary contains the busiest engines, or all if they are few', (t) => {
  const loadOf = (unreadTokens: number): typeof WORK => ({ ...WORK, unreadTokens });
  const sums = new Map([
    ['a', loadOf(10)],
    ['b', loadOf(30)],
    ['c', loadOf(20)],
  ]);
  t.deepEqual(
    busiestEngines(sums, 2).map(([engine]) => engine),
    ['b', 'c'],
  );
  t.is(busiestEngines(sums, 3).length, 3);
});

test('work that does not fit into a datagram does not stop the collection', async (t) => {
  const [harness, routers] = await collectingGroup(6);
  const [, , ...senders] = routers;
  const fractional = { requests: 1, unreadTokens: 3_780.5, heldTokens: 3_838.25 };
  const huge = { requests: 1, unreadTokens: 4_000_000_000, heldTokens: 4_000_000_000 };
  senders[0]?.loads.change(ENGINE, fractional);
  for (const { loads } of senders.slice(1, 4)) loads.change(ENGINE, huge);
  await harness.clock.advance(PROPAGATION_MS);
  t.is(routers[1]?.loads.at(ENGINE).requests, 4);
});
