/** Guards against an older state of the store that replaces a newer one. */
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
import { NoopLogger } from '../../src/runtime/logger.js';
import { SeededRandom } from '../../src/runtime/random.js';
import { StorePosition } from '../../src/runtime/store-position.js';
import { VirtualClock } from '../../src/runtime/virtual-clock.js';
import { KIND, RelayHarness } from '../helpers/relay-harness.js';
import { EngineRegistry, type EngineRecord } from '../../src/state/routing/engine-registry.js';
import { elapsedAt } from '../helpers/instants.js';
import { engineRecord } from '../helpers/engine-record.js';
import { positionAt } from '../helpers/positions.js';
import { noopFollowerEvents } from '../helpers/noop-follower-events.js';

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

test('a list older than the result of a watch does not hide its changes from followers', (t) => {
  const mirror = new ObjectMirror();
  mirror.applyList([READY], positionAt(9), elapsedAt(0));
  mirror.applyChanges([{ object: DRAINING, isGone: false }], positionAt(10), elapsedAt(100));
  // The list call started before the change and ended after the watch.
  mirror.applyList([READY], positionAt(9), elapsedAt(90));
  mirror.applyChanges([], positionAt(12), elapsedAt(200));
  t.deepEqual(mirror.all, [DRAINING]);
  t.deepEqual(
    mirror.changesAfter(positionAt(9))?.map(({ object }) => object),
    [DRAINING],
  );
});

test('the removal of an object is not repeated after it was created again', (t) => {
  const back: StoredObject = {
    name: 'engine-1',
    position: positionAt(11),
    spec: { isDraining: false },
  };
  const mirror = new ObjectMirror();
  mirror.applyList([back], positionAt(11), elapsedAt(0));
  // A watch that started at revision 9 ends after the list.
  const events = [
    { object: READY, isGone: true },
    { object: back, isGone: false },
  ];
  mirror.applyChanges(events, positionAt(12), elapsedAt(100));
  t.deepEqual(mirror.changesAfter(positionAt(11)), []);
});

/** Returns the given results in order; further calls never end. */
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

test('a list older than the known state is ignored after the history was lost', async (t) => {
  const store = new ScriptedStore(
    [
      { objects: [DRAINING], position: positionAt(10) },
      // A list of another router while the store is unavailable.
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
      batchDelayMs: 0,
      settled: () => Promise.resolve(),
      firstList: ListFreshness.Current,
    },
    store,
    noopFollowerEvents({
      onList: (objects) => taken.push(objects),
    }),
    clock,
    new SeededRandom(1),
    new NoopLogger(),
  );
  follower.start();
  await clock.advance(2_000);
  t.deepEqual(taken, [[DRAINING], [DRAINING]]);
});

test('a drained engine gets no work after an older entry of it was received', (t) => {
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

test('a follower receives a change although the reader got an older list after it', async (t) => {
  const harness = await RelayHarness.create(2);
  const [reader, follower] = harness.stores as [RelayedObjectStore, RelayedObjectStore];
  harness.store.put(KIND, 'engine-1', { isDraining: false });
  await harness.run(reader.list(KIND, ListFreshness.Current));
  const before = new StorePosition(harness.store.era, harness.store.revision);
  harness.store.listDelaysMs.push(300);
  const overtaken = reader.list(KIND, ListFreshness.Current);
  await harness.clock.advance(10);
  harness.store.put(KIND, 'engine-1', { isDraining: true });
  await harness.run(reader.watch(KIND, before, 600));
  await harness.run(overtaken);
  await harness.run(
    reader.watch(KIND, new StorePosition(harness.store.era, harness.store.revision), 600),
  );
  const result = await harness.run(follower.watch(KIND, before, 600));
  t.like(result, { kind: 'events', events: [{ object: { spec: { isDraining: true } } }] });
});
