/** Guards against lost changes and wrong proofs when a store is followed through other routers. */
import { fc } from '@fast-check/ava';
import test from 'ava';
import { ObjectMirrors } from '../../src/coordination/gateway/store-relay/object-mirrors.js';
import { RelayServer } from '../../src/coordination/gateway/store-relay/relay-server.js';
import type { RelayedObjectStore } from '../../src/coordination/gateway/store-relay/relayed-object-store.js';
import type { HostClock } from '../../src/lab/simulation/host-clock.js';
import { ListFreshness } from '../../src/protocol/object-store/port.js';
import {
  type RelayMessage,
  decodeRelayFrame,
  encodeRelayQuery,
} from '../../src/protocol/peer/relay-codec.js';
import { NoopLogger } from '../../src/runtime/logger.js';
import { VirtualClock } from '../../src/runtime/virtual-clock.js';
import type { FrameConnection } from '../../src/transport/frame-transport.js';
import { KIND, RelayHarness, SETTINGS } from '../helpers/relay-harness.js';
import { ElapsedInstant } from '../../src/runtime/elapsed-instant.js';
import type { StorePosition } from '../../src/runtime/store-position.js';
import { nested } from '../helpers/odd-entries.js';
import { positionAt } from '../helpers/positions.js';

/** Lists at both routers, then lets the reader follow in an endless loop. */
async function followedHarness(): Promise<{ harness: RelayHarness; position: StorePosition }> {
  const harness = await RelayHarness.create(2);
  harness.store.put(KIND, 'first', { value: 1 });
  const [reader, follower] = harness.stores as [RelayedObjectStore, RelayedObjectStore];
  await harness.run(reader.list(KIND, ListFreshness.Current));
  const list = await harness.run(follower.list(KIND, ListFreshness.Current));
  if (list instanceof Error) throw list;
  const follow = async (position: StorePosition): Promise<void> => {
    let at = position;
    for (;;) {
      const result = await reader.watch(KIND, at, 1_500).catch(() => undefined);
      if (result?.kind === 'events') at = result.position;
    }
  };
  void follow(list.position);
  return { harness, position: list.position };
}

/** Age of a proof in milliseconds; Infinity if there is none. */
function proofAgeMs(harness: RelayHarness, proven: ElapsedInstant | undefined): number {
  return harness.clock.elapsed().since(proven ?? ElapsedInstant.never);
}

test('a follower receives a change through its reader without calling the store', async (t) => {
  const { harness, position } = await followedHarness();
  const watch = harness.run((harness.stores[1] as RelayedObjectStore).watch(KIND, position, 1_500));
  harness.store.put(KIND, 'second', { value: [1, 2] });
  const result = await watch;
  t.like(result, { kind: 'events', position: { revision: position.revision + 1 } });
  if (!(result instanceof Error) && result.kind === 'events') {
    t.deepEqual(
      result.events.map((event) => [event.object.name, event.object.spec]),
      [['second', { value: [1, 2] }]],
    );
    t.true(proofAgeMs(harness, result.proven) <= 2 * SETTINGS.watchMs);
  }
  t.is(harness.calls[1], 0);
});

test('an object that its reader can not write hides no other', async (t) => {
  const { harness, position } = await followedHarness();
  const follower = harness.stores[1] as RelayedObjectStore;
  const watch = harness.run(follower.watch(KIND, position, 1_500));
  // Deeper than `JSON.stringify` can follow.
  harness.store.put(KIND, 'odd', JSON.parse(nested(100_000)));
  harness.store.put(KIND, 'second', { value: 2 });
  const expected = [
    ['odd', null],
    ['second', { value: 2 }],
  ];
  const result = await watch;
  if (result instanceof Error || result.kind !== 'events') return t.fail();
  t.deepEqual(
    result.events.map(({ object }) => [object.name, object.spec]),
    expected,
  );
  const list = await harness.run(follower.list(KIND, ListFreshness.Current));
  if (list instanceof Error) return t.fail();
  t.deepEqual(
    list.objects.map(({ name, spec }) => [name, spec]),
    [['first', { value: 1 }], ...expected],
  );
  t.is(harness.calls[1], 0);
});

test('a query gets a response within its wait even if the proof is renewed meanwhile', async (t) => {
  const clock = new VirtualClock();
  const mirrors = new ObjectMirrors();
  const server = new RelayServer(mirrors, SETTINGS.maximumProofAgeMs, clock, new NoopLogger());
  const mirror = mirrors.of(KIND);
  mirror.applyList([], positionAt(5), clock.elapsed());
  await clock.advance(1_000);
  let respondedMs = Infinity;
  let receive: (frame: Uint8Array) => void = () => undefined;
  const connection = {
    remoteAddress: 'requester:7000',
    send: () => {
      respondedMs = clock.now();
      return true;
    },
    onFrame: (handler: (frame: Uint8Array) => void) => {
      receive = handler;
    },
    onClose: () => undefined,
    close: () => undefined,
    destroy: () => undefined,
  };
  server.accept(connection as unknown as FrameConnection);
  const queriedMs = clock.now();
  receive(
    encodeRelayQuery({
      number: 1,
      kind: KIND,
      position: positionAt(5),
      waitMs: 600,
      acceptsDeflated: true,
    }),
  );
  await clock.advance(200);
  mirror.applyChanges([], positionAt(5), clock.elapsed());
  await clock.advance(2_000);
  t.true(respondedMs - queriedMs <= 600, `response after ${respondedMs - queriedMs} ms`);
});

test('a query for a position ahead of the mirror is held until the mirror has caught up', async (t) => {
  const clock = new VirtualClock();
  const mirrors = new ObjectMirrors();
  const server = new RelayServer(mirrors, SETTINGS.maximumProofAgeMs, clock, new NoopLogger());
  const mirror = mirrors.of(KIND);
  mirror.applyList([], positionAt(5), clock.elapsed());
  const responses: RelayMessage[] = [];
  let receive: (frame: Uint8Array) => void = () => undefined;
  const connection = {
    send: (frame: Uint8Array) => {
      const message = decodeRelayFrame(frame);
      if (message) responses.push(message);
      return true;
    },
    onFrame: (handler: (frame: Uint8Array) => void) => {
      receive = handler;
    },
    onClose: () => undefined,
    destroy: () => undefined,
  };
  server.accept(connection as unknown as FrameConnection);
  const query = { number: 1, kind: KIND, position: positionAt(7), waitMs: 600 };
  receive(encodeRelayQuery({ ...query, acceptsDeflated: true }));
  await clock.advance(300);
  t.is(responses.length, 0);
  const object = { name: 'thing', position: positionAt(8), spec: 1 };
  mirror.applyChanges([{ object, isGone: false }], positionAt(8), clock.elapsed());
  server.notifyChange(KIND);
  await clock.advance(100);
  t.like(responses[0], { answer: { isKnown: true, events: { 0: { object } } } });
});

test('a follower receives a removal through its reader', async (t) => {
  const { harness, position } = await followedHarness();
  const watch = harness.run((harness.stores[1] as RelayedObjectStore).watch(KIND, position, 1_500));
  harness.store.remove(KIND, 'first');
  const result = await watch;
  t.like(result, { kind: 'events', events: { 0: { isGone: true, object: { name: 'first' } } } });
});

test('a follower stops using a reader without a store connection within the maximum proof age', async (t) => {
  const { harness, position } = await followedHarness();
  const follower = harness.stores[1] as RelayedObjectStore;
  await harness.run(follower.watch(KIND, position, 1_500));
  harness.store.unreachableFor.add('node-0');
  harness.store.put(KIND, 'second', { value: 2 });
  const beganMs = harness.clock.now();
  let at = position;
  while (at.equals(position)) {
    const result = await harness.run(follower.watch(KIND, at, 1_500));
    if (result instanceof Error || result.kind !== 'events') return t.fail(String(result));
    if (result.events.length > 0) at = result.position;
  }
  t.true(harness.clock.now() - beganMs <= SETTINGS.maximumProofAgeMs + 100);
});

test('a follower stops using a frozen reader and ignores its late responses', async (t) => {
  const { harness, position } = await followedHarness();
  const follower = harness.stores[1] as RelayedObjectStore;
  await harness.run(follower.watch(KIND, position, 1_500));
  (harness.hosts[0] as HostClock).pause();
  harness.store.put(KIND, 'second', { value: 2 });
  const beganMs = harness.clock.now();
  const result = await harness.run(follower.watch(KIND, position, 1_500));
  t.like(result, { kind: 'events', position: { revision: position.revision + 1 } });
  t.true(harness.clock.now() - beganMs <= SETTINGS.watchMs + 400);
  t.is(harness.calls[1], 1);
});

test('a router without a connection to the store follows it through another router', async (t) => {
  const { harness, position } = await followedHarness();
  harness.store.unreachableFor.add('node-1');
  (harness.stores[0] as RelayedObjectStore)
    .list(KIND, ListFreshness.Current)
    .catch(() => undefined);
  await harness.clock.advance(100);
  const list = await harness.run(
    (harness.stores[1] as RelayedObjectStore).list(KIND, ListFreshness.Current),
  );
  t.like(list, { position, objects: [{ name: 'first' }] });
  const proven = list instanceof Error ? undefined : list.proven;
  t.true(proofAgeMs(harness, proven) <= 2 * SETTINGS.watchMs + 50);
});

test('no proof is later than the store state that it proves, despite freezes and partitions', async (t) => {
  const step = fc.record({
    change: fc.boolean(),
    freezeReaderMs: fc.constantFrom(0, 0, 0, 500, 2_000),
    cutMs: fc.constantFrom(0, 0, 0, 900, 3_000),
    waitMs: fc.constantFrom(300, 1_500),
  });
  const property = fc.asyncProperty(fc.array(step, { maxLength: 12 }), async (steps) => {
    const { harness, position } = await followedHarness();
    const follower = harness.stores[1] as RelayedObjectStore;
    const reader = harness.hosts[0] as HostClock;
    /** Times at which each revision was replaced by a newer one. */
    const changedMs: number[] = [];
    let at = position;
    for (const { change, freezeReaderMs, cutMs, waitMs } of steps) {
      if (freezeReaderMs > 0) {
        reader.pause();
        harness.clock.setTimer(freezeReaderMs, () => reader.unpause());
      }
      if (cutMs > 0) {
        harness.store.unreachableFor.add('node-0');
        harness.clock.setTimer(cutMs, () => harness.store.unreachableFor.delete('node-0'));
      }
      if (change) {
        harness.store.put(KIND, 'changing', { step: changedMs.length });
        changedMs.push(harness.clock.now());
      }
      const result = await harness.run(follower.watch(KIND, at, waitMs));
      if (result instanceof Error || result.kind !== 'events') continue;
      at = result.position;
      const provenMs = harness.clock.now() - harness.clock.elapsed().since(result.proven);
      const next = changedMs[at.revision - position.revision];
      t.true(
        next === undefined || provenMs <= next,
        `position ${String(at)} proven after it was replaced`,
      );
    }
  });
  await fc.assert(property, { seed: 17, numRuns: 150 });
});
