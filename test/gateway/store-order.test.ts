/** An older state of the store never replaces a newer one, whichever way it comes. */
import test from 'ava';
import { ObjectFollower } from '../../src/coordination/gateway/object-follower.js';
import { ObjectMirror } from '../../src/coordination/gateway/store-relay/object-mirror.js';
import type { RelayedObjectStore } from '../../src/coordination/gateway/store-relay/relayed-object-store.js';
import {
  ListFreshness,
  type ObjectList,
  type ObjectStorePort,
  type StoredObject,
  type WatchResult,
} from '../../src/protocol/object-store/port.js';
import { SilentLogger } from '../../src/runtime/logger.js';
import { SeededRandom } from '../../src/runtime/random.js';
import { StorePosition } from '../../src/runtime/store-position.js';
import { VirtualClock } from '../../src/runtime/virtual-clock.js';
import { KIND, RelayHarness } from '../helpers/relay-harness.js';
import { EngineRegistry, type EngineRecord } from '../../src/state/routing/engine-registry.js';
import { elapsedAt } from '../helpers/instants.js';
import { engineRecord } from '../helpers/engine-record.js';
import { positionAt } from '../helpers/positions.js';
import { silentFollowerEvents } from '../helpers/silent-follower-events.js';

const READY: StoredObject = {
  name: 'engine-1',
  position: positionAt(8),
  spec: { isDraining: false },
};
const DRAINING: StoredObject = {
  name: 'engine-1',
  position: positionAt(10),
  spec: { isDraining: true },
};

test('a list that a watch has overtaken does not take a change away from the followers', (t) => {
  const mirror = new ObjectMirror();
  mirror.takeList([READY], positionAt(9), elapsedAt(0));
  mirror.takeChanges([{ object: DRAINING, isGone: false }], positionAt(10), elapsedAt(100));
  // The call began before the change and was answered after the watch.
  mirror.takeList([READY], positionAt(9), elapsedAt(90));
  mirror.takeChanges([], positionAt(12), elapsedAt(200));
  t.deepEqual(mirror.all, [DRAINING]);
  t.deepEqual(
    mirror.changesAfter(positionAt(9))?.map(({ object }) => object),
    [DRAINING],
  );
});

test('a removal is not told again to those who know that the object is back', (t) => {
  const back: StoredObject = {
    name: 'engine-1',
    position: positionAt(11),
    spec: { isDraining: false },
  };
  const mirror = new ObjectMirror();
  mirror.takeList([back], positionAt(11), elapsedAt(0));
  // A watch that began at revision 9 is answered after the list.
  const events = [
    { object: READY, isGone: true },
    { object: back, isGone: false },
  ];
  mirror.takeChanges(events, positionAt(12), elapsedAt(100));
  t.deepEqual(mirror.changesAfter(positionAt(11)), []);
});

/** Answers each call with the next of the given results; the last watch never ends. */
class ScriptedStore implements ObjectStorePort {
  constructor(
    private readonly lists: ObjectList[],
    private readonly watches: WatchResult[],
  ) {}

  list(): Promise<ObjectList> {
    const list = this.lists.shift();
    return list ? Promise.resolve(list) : new Promise(() => undefined);
  }

  watch(): Promise<WatchResult> {
    const result = this.watches.shift();
    return result ? Promise.resolve(result) : new Promise(() => undefined);
  }

  read(): never {
    throw new Error('not used');
  }

  create(): never {
    throw new Error('not used');
  }

  replace(): never {
    throw new Error('not used');
  }

  remove(): never {
    throw new Error('not used');
  }
}

test('a list older than what is known is not taken when the history was lost', async (t) => {
  const store = new ScriptedStore(
    [
      { objects: [DRAINING], position: positionAt(10) },
      // Another router's list, while the store itself can't be read.
      { objects: [READY], position: positionAt(9) },
      { objects: [DRAINING], position: positionAt(12) },
    ],
    [{ kind: 'history-gone' }],
  );
  const clock = new VirtualClock();
  const taken: (readonly StoredObject[])[] = [];
  const follower = new ObjectFollower(
    {
      kind: 'engines',
      watchMs: 1_000,
      gatherMs: 0,
      settled: () => Promise.resolve(),
      firstList: ListFreshness.Current,
    },
    store,
    silentFollowerEvents({
      onList: (objects) => taken.push(objects),
    }),
    clock,
    new SeededRandom(1),
    new SilentLogger(),
  );
  follower.start();
  await clock.advance(2_000);
  t.deepEqual(taken, [[DRAINING], [DRAINING]]);
});

test('an engine that drained takes no work when an old entry of it comes back', (t) => {
  const record: EngineRecord = engineRecord('engine-1', undefined, {
    service: 'plain',
    modelVersions: new Map(),
  });
  const registry = new EngineRegistry();
  registry.put({ ...record, isDraining: true });
  registry.remove(record.id);
  registry.put(record);
  t.deepEqual(registry.readyOf('plain'), []);
});

test('a router hears a change through a reader whose list was overtaken by it', async (t) => {
  const world = await RelayHarness.create(2);
  const [reader, follower] = world.stores as [RelayedObjectStore, RelayedObjectStore];
  world.store.put(KIND, 'engine-1', { isDraining: false });
  await world.run(reader.list(KIND, ListFreshness.Current));
  const before = new StorePosition(world.store.era, world.store.revision);
  world.store.listDelaysMs.push(300);
  const overtaken = reader.list(KIND, ListFreshness.Current);
  await world.clock.advance(10);
  world.store.put(KIND, 'engine-1', { isDraining: true });
  await world.run(reader.watch(KIND, before, 600));
  await world.run(overtaken);
  await world.run(
    reader.watch(KIND, new StorePosition(world.store.era, world.store.revision), 600),
  );
  const result = await world.run(follower.watch(KIND, before, 600));
  t.like(result, { kind: 'events', events: [{ object: { spec: { isDraining: true } } }] });
});
