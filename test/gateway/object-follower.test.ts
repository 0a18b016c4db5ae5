/** Guards against a follower that misses changes while its watch is pending without a result. */
import test from 'ava';
import { ObjectFollower } from '../../src/coordination/gateway/object-follower.js';
import {
  ListFreshness,
  type ObjectStorePort,
  type WatchResult,
} from '../../src/protocol/object-store/port.js';
import { NoopLogger } from '../../src/runtime/logger.js';
import { SeededRandom } from '../../src/runtime/random.js';
import type { StorePosition } from '../../src/runtime/store-position.js';
import { VirtualClock } from '../../src/runtime/virtual-clock.js';
import { positionAt } from '../helpers/positions.js';
import { noopFollowerEvents } from '../helpers/noop-follower-events.js';

/** A store whose watches end only when the test ends them. */
class WaitingStore implements Pick<ObjectStorePort, 'list' | 'watch'> {
  revision = 1;
  lists = 0;
  readonly watches: { readonly from: number; readonly end: (result: WatchResult) => void }[] = [];

  list(): ReturnType<ObjectStorePort['list']> {
    this.lists += 1;
    const position = positionAt(this.revision);
    const objects = [{ name: 'object', position, spec: this.revision }];
    return Promise.resolve({ objects, position });
  }

  watch(_kind: string, { revision: from }: StorePosition): Promise<WatchResult> {
    return new Promise((end) => this.watches.push({ from, end }));
  }
}

/** A follower that records the specs of all received objects in `seen`. */
function followerOf(
  store: WaitingStore,
  clock: VirtualClock,
  seen: unknown[],
  onHistoryGone: () => void,
): ObjectFollower {
  return new ObjectFollower(
    {
      kind: 'kind',
      watchMs: 10_000,
      batchDelayMs: 0,
      settled: () => Promise.resolve(),
      firstList: ListFreshness.Current,
    },
    store as unknown as ObjectStorePort,
    noopFollowerEvents({
      onList: (objects) => seen.push(...objects.map(({ spec }) => spec)),
      onObject: (object) => seen.push(object.spec),
      onHistoryLost: onHistoryGone,
    }),
    clock,
    new SeededRandom(1),
    new NoopLogger(),
  );
}

test('a refresh lists changes that a pending watch missed, and the next watch starts from the list', async (t) => {
  const clock = new VirtualClock();
  const store = new WaitingStore();
  const seen: unknown[] = [];
  let historyGone = 0;
  const follower = followerOf(store, clock, seen, () => {
    historyGone += 1;
  });
  follower.start();
  await clock.advance(10);
  t.deepEqual(seen, [1]);
  store.revision = 5;
  await follower.refresh();
  t.deepEqual(seen, [1, 5]);
  // The old watch ends with lost history; its result is discarded after the list.
  store.watches[0]?.end({ kind: 'history-gone' });
  await clock.advance(10);
  t.is(historyGone, 0);
  t.is(store.lists, 2);
  t.is(store.watches[1]?.from, 5);
  store.watches[1]?.end({ kind: 'history-gone' });
  await clock.advance(10);
  t.is(historyGone, 1);
  t.is(store.lists, 3);
  follower.stop();
});

test('a list older than the result of a concurrent watch is discarded', async (t) => {
  const clock = new VirtualClock();
  const store = new WaitingStore();
  const seen: unknown[] = [];
  const follower = followerOf(store, clock, seen, () => undefined);
  follower.start();
  await clock.advance(10);
  let answerList: (() => void) | undefined;
  store.list = () =>
    new Promise((resolve) => {
      answerList = () => {
        const position = positionAt(2);
        resolve({ objects: [{ name: 'object', position, spec: 'old' }], position });
      };
    });
  const refresh = follower.refresh();
  const position = positionAt(3);
  const object = { name: 'object', position, spec: 'new' };
  store.watches[0]?.end({ kind: 'events', events: [{ object, isGone: false }], position });
  await clock.advance(10);
  answerList?.();
  await refresh;
  t.deepEqual(seen, [1, 'new']);
  follower.stop();
});
