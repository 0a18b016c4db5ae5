/** Following the store through other routers: what is told, and how old a proof may be. */
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
import { VirtualClock } from '../../src/runtime/virtual-clock.js';
import type { FrameConnection } from '../../src/transport/frame-transport.js';
import { KIND, RelayHarness, SETTINGS } from '../helpers/relay-harness.js';
import { ElapsedInstant } from '../../src/runtime/elapsed-instant.js';
import type { StorePosition } from '../../src/runtime/store-position.js';
import { positionAt } from '../helpers/positions.js';

/** Lists at both, then lets the reader follow without end. */
async function followedWorld(): Promise<{ world: RelayHarness; position: StorePosition }> {
  const world = await RelayHarness.create(2);
  world.store.put(KIND, 'first', { value: 1 });
  const [reader, follower] = world.stores as [RelayedObjectStore, RelayedObjectStore];
  await world.run(reader.list(KIND, ListFreshness.Current));
  const list = await world.run(follower.list(KIND, ListFreshness.Current));
  if (list instanceof Error) throw list;
  const follow = async (position: StorePosition): Promise<void> => {
    let at = position;
    for (;;) {
      const result = await reader.watch(KIND, at, 1_500).catch(() => undefined);
      if (result?.kind === 'events') at = result.position;
    }
  };
  void follow(list.position);
  return { world, position: list.position };
}

/** Age of a proof in milliseconds; Infinity where there is none. */
function proofAgeMs(world: RelayHarness, proven: ElapsedInstant | undefined): number {
  return world.clock.elapsed().since(proven ?? ElapsedInstant.never);
}

test('a change reaches a follower through its reader, without a call of its own', async (t) => {
  const { world, position } = await followedWorld();
  const watch = world.run((world.stores[1] as RelayedObjectStore).watch(KIND, position, 1_500));
  world.store.put(KIND, 'second', { value: [1, 2] });
  const result = await watch;
  t.like(result, { kind: 'events', position: { revision: position.revision + 1 } });
  if (!(result instanceof Error) && result.kind === 'events') {
    t.deepEqual(
      result.events.map((event) => [event.object.name, event.object.spec]),
      [['second', { value: [1, 2] }]],
    );
    t.true(proofAgeMs(world, result.proven) <= 2 * SETTINGS.watchMs);
  }
  t.is(world.calls[1], 0);
});

test('a query is answered within its wait, also where the proof is renewed meanwhile', async (t) => {
  const clock = new VirtualClock();
  const mirrors = new ObjectMirrors();
  const server = new RelayServer(mirrors, SETTINGS.freshMs, clock);
  const mirror = mirrors.of(KIND);
  mirror.takeList([], positionAt(5), clock.elapsed());
  await clock.advance(1_000);
  let answeredMs = Infinity;
  let receive: (frame: Uint8Array) => void = () => undefined;
  const connection = {
    remoteAddress: 'asker:7000',
    send: () => {
      answeredMs = clock.now();
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
  const askedMs = clock.now();
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
  mirror.takeChanges([], positionAt(5), clock.elapsed());
  await clock.advance(2_000);
  t.true(answeredMs - askedMs <= 600, `answered after ${answeredMs - askedMs} ms`);
});

test('a query that is ahead of the mirror is held until the mirror has caught up', async (t) => {
  const clock = new VirtualClock();
  const mirrors = new ObjectMirrors();
  const server = new RelayServer(mirrors, SETTINGS.freshMs, clock);
  const mirror = mirrors.of(KIND);
  mirror.takeList([], positionAt(5), clock.elapsed());
  const answers: RelayMessage[] = [];
  let receive: (frame: Uint8Array) => void = () => undefined;
  const connection = {
    send: (frame: Uint8Array) => {
      const message = decodeRelayFrame(frame);
      if (message) answers.push(message);
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
  t.is(answers.length, 0);
  const object = { name: 'thing', position: positionAt(8), spec: 1 };
  mirror.takeChanges([{ object, isGone: false }], positionAt(8), clock.elapsed());
  server.noteChange(KIND);
  await clock.advance(100);
  t.like(answers[0], { answer: { isKnown: true, events: { 0: { object } } } });
});

test('a removal reaches a follower', async (t) => {
  const { world, position } = await followedWorld();
  const watch = world.run((world.stores[1] as RelayedObjectStore).watch(KIND, position, 1_500));
  world.store.remove(KIND, 'first');
  const result = await watch;
  t.like(result, { kind: 'events', events: { 0: { isGone: true, object: { name: 'first' } } } });
});

test('a reader that is cut from the store is left within the bound on a proof', async (t) => {
  const { world, position } = await followedWorld();
  const follower = world.stores[1] as RelayedObjectStore;
  await world.run(follower.watch(KIND, position, 1_500));
  world.store.unreachableFor.add('node-0');
  world.store.put(KIND, 'second', { value: 2 });
  const beganMs = world.clock.now();
  let at = position;
  while (at.isSame(position)) {
    const result = await world.run(follower.watch(KIND, at, 1_500));
    if (result instanceof Error || result.kind !== 'events') return t.fail(String(result));
    if (result.events.length > 0) at = result.position;
  }
  t.true(world.clock.now() - beganMs <= SETTINGS.freshMs + 100);
});

test('a frozen reader is left, and its late answers are not taken', async (t) => {
  const { world, position } = await followedWorld();
  const follower = world.stores[1] as RelayedObjectStore;
  await world.run(follower.watch(KIND, position, 1_500));
  (world.hosts[0] as HostClock).pause();
  world.store.put(KIND, 'second', { value: 2 });
  const beganMs = world.clock.now();
  const result = await world.run(follower.watch(KIND, position, 1_500));
  t.like(result, { kind: 'events', position: { revision: position.revision + 1 } });
  t.true(world.clock.now() - beganMs <= SETTINGS.watchMs + 400);
  t.is(world.calls[1], 1);
});

test('a router that is cut from the store follows through another', async (t) => {
  const { world, position } = await followedWorld();
  world.store.unreachableFor.add('node-1');
  (world.stores[0] as RelayedObjectStore).list(KIND, ListFreshness.Current).catch(() => undefined);
  await world.clock.advance(100);
  const list = await world.run(
    (world.stores[1] as RelayedObjectStore).list(KIND, ListFreshness.Current),
  );
  t.like(list, { position, objects: [{ name: 'first' }] });
  const proven = list instanceof Error ? undefined : list.proven;
  t.true(proofAgeMs(world, proven) <= 2 * SETTINGS.watchMs + 50);
});

test('no proof is younger than the store said, whatever befalls the way', async (t) => {
  const step = fc.record({
    change: fc.boolean(),
    freezeReaderMs: fc.constantFrom(0, 0, 0, 500, 2_000),
    cutMs: fc.constantFrom(0, 0, 0, 900, 3_000),
    waitMs: fc.constantFrom(300, 1_500),
  });
  const property = fc.asyncProperty(fc.array(step, { maxLength: 12 }), async (steps) => {
    const { world, position } = await followedWorld();
    const follower = world.stores[1] as RelayedObjectStore;
    const reader = world.hosts[0] as HostClock;
    /** When each revision was followed by a newer one. */
    const changedMs: number[] = [];
    let at = position;
    for (const { change, freezeReaderMs, cutMs, waitMs } of steps) {
      if (freezeReaderMs > 0) {
        reader.pause();
        world.clock.setTimer(freezeReaderMs, () => reader.unpause());
      }
      if (cutMs > 0) {
        world.store.unreachableFor.add('node-0');
        world.clock.setTimer(cutMs, () => world.store.unreachableFor.delete('node-0'));
      }
      if (change) {
        world.store.put(KIND, 'changing', { step: changedMs.length });
        changedMs.push(world.clock.now());
      }
      const result = await world.run(follower.watch(KIND, at, waitMs));
      if (result instanceof Error || result.kind !== 'events') continue;
      at = result.position;
      const provenMs = world.clock.now() - world.clock.elapsed().since(result.proven);
      const next = changedMs[at.revision - position.revision];
      t.true(next === undefined || provenMs <= next, `position ${String(at)} proved after its end`);
    }
  });
  await fc.assert(property, { seed: 17, numRuns: 150 });
});
