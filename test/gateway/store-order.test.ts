/** An older state of the store never replaces a newer one, whichever way it comes. */
import test from 'ava';
import { ObjectFollower } from '../../src/coordination/gateway/object-follower.js';
import { ObjectMirror } from '../../src/coordination/gateway/store-relay/object-mirror.js';
import {
  ListFreshness,
  type ObjectList,
  type ObjectStorePort,
  type StoredObject,
  type WatchResult,
} from '../../src/protocol/object-store/port.js';
import { SilentLogger } from '../../src/runtime/logger.js';
import { SeededRandom } from '../../src/runtime/random.js';
import { VirtualClock } from '../../src/runtime/virtual-clock.js';

const READY: StoredObject = { name: 'engine-1', revision: 8, spec: { isDraining: false } };
const DRAINING: StoredObject = { name: 'engine-1', revision: 10, spec: { isDraining: true } };

test.failing(
  'a list that a watch has overtaken does not take a change away from the followers',
  (t) => {
    const mirror = new ObjectMirror();
    mirror.takeList([READY], 9, 0);
    mirror.takeChanges([{ object: DRAINING, isGone: false }], 10, 100);
    // The call began before the change and was answered after the watch.
    mirror.takeList([READY], 9, 90);
    mirror.takeChanges([], 12, 200);
    t.deepEqual(mirror.all, [DRAINING]);
    t.deepEqual(
      mirror.changesAfter(9)?.map(({ object }) => object),
      [DRAINING],
    );
  },
);

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
}

test.failing(
  'a list older than what is known is not taken when the history was lost',
  async (t) => {
    const store = new ScriptedStore(
      [
        { objects: [DRAINING], revision: 10 },
        // Another router's list, while the store itself can't be read.
        { objects: [READY], revision: 9 },
        { objects: [DRAINING], revision: 12 },
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
      {
        onList: (objects) => taken.push(objects),
        onObject: () => undefined,
        onGone: () => undefined,
        onAnswer: () => undefined,
        onFailure: () => undefined,
        onHistoryGone: () => undefined,
      },
      clock,
      new SeededRandom(1),
      new SilentLogger(),
    );
    follower.start();
    await clock.advance(2_000);
    t.deepEqual(taken, [[DRAINING], [DRAINING]]);
  },
);
