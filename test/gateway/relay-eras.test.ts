/** Guards against outdated relayed state after the store was restored. */
import test from 'ava';
import { ObjectMirror } from '../../src/coordination/gateway/store-relay/object-mirror.js';
import { PeerQueries } from '../../src/coordination/gateway/store-relay/peer-queries.js';
import type { RelayClient } from '../../src/coordination/gateway/store-relay/relay-client.js';
import type { RelayedObjectStore } from '../../src/coordination/gateway/store-relay/relayed-object-store.js';
import { ListFreshness, type StoredObject } from '../../src/protocol/object-store/port.js';
import {
  type RelayResponse,
  decodeRelayFrame,
  encodeRelayResponse,
  encodeRelayQuery,
} from '../../src/protocol/peer/relay-codec.js';
import { NO_CHANGES } from '../../src/protocol/peer/encoded-changes.js';
import { ElapsedInstant } from '../../src/runtime/elapsed-instant.js';
import { StoreEra, StorePosition } from '../../src/runtime/store-position.js';
import { VirtualClock } from '../../src/runtime/virtual-clock.js';
import { elapsedAt } from '../helpers/instants.js';
import { positionAt } from '../helpers/positions.js';
import { KIND, RelayHarness, SETTINGS, member } from '../helpers/relay-harness.js';

function thing(revision: number, era: number, spec: unknown = revision): StoredObject {
  return { name: `thing-${revision}`, position: positionAt(revision, era), spec };
}

/** Queries whose responses are all the same. */
function queriesWithResponse(answer: Omit<RelayResponse, 'number' | 'heldMs'>): PeerQueries {
  const query = (): Promise<RelayResponse> => Promise.resolve({ ...answer, number: 1, heldMs: 0 });
  const client = { query } as unknown as RelayClient;
  return new PeerQueries(client, SETTINGS.maximumProofAgeMs, new VirtualClock());
}

/** Watches in an endless loop. */
async function watchForever(store: RelayedObjectStore, from: StorePosition): Promise<void> {
  let position = from;
  for (;;) {
    const result = await store.watch(KIND, position, 300);
    if (result.kind === 'events') ({ position } = result);
  }
}

test('a mirror of a restored store has the restored state and no changes after a previous era', (t) => {
  const mirror = new ObjectMirror();
  mirror.applyList([thing(4, 1), thing(9, 1)], positionAt(9, 1), elapsedAt(0));
  mirror.applyList([thing(4, 2)], positionAt(6, 2), elapsedAt(100));
  t.deepEqual(
    mirror.all.map(({ name }) => name),
    ['thing-4'],
  );
  // The restored store assigns a revision again that the requesting router knows already.
  const later = { object: thing(9, 2), isGone: false };
  mirror.applyChanges([later], positionAt(9, 2), elapsedAt(200));
  t.is(mirror.changesAfter(positionAt(7, 1)), undefined);
  t.deepEqual(mirror.changesAfter(positionAt(7, 2)), [later]);
});

test('a mirror ignores late results of the previous era', (t) => {
  const mirror = new ObjectMirror();
  mirror.applyList([thing(4, 2)], positionAt(6, 2), elapsedAt(0));
  const stale = { object: thing(8, 1), isGone: false };
  mirror.applyChanges([stale], positionAt(8, 1), elapsedAt(100));
  mirror.applyList([thing(8, 1)], positionAt(8, 1), elapsedAt(100));
  t.deepEqual(mirror.all, [thing(4, 2)]);
});

test('a mirror ignores changes of the next era until it is listed', (t) => {
  const mirror = new ObjectMirror();
  mirror.applyList([thing(4, 1)], positionAt(4, 1), elapsedAt(0));
  mirror.applyChanges([{ object: thing(6, 2), isGone: false }], positionAt(6, 2), elapsedAt(100));
  t.deepEqual(mirror.all, [thing(4, 1)]);
  t.true(mirror.position.equals(positionAt(4, 1)));
});

test('a follower gets the restored state from its reader', async (t) => {
  const harness = await RelayHarness.create(2);
  const [reader, follower] = harness.stores as [RelayedObjectStore, RelayedObjectStore];
  harness.store.put(KIND, 'first', 1);
  const copiedMs = harness.clock.now();
  await harness.clock.advance(100);
  for (const value of [2, 3, 4]) harness.store.put(KIND, 'first', value);
  await harness.run(reader.list(KIND, ListFreshness.Current));
  const before = await harness.run(follower.list(KIND, ListFreshness.Current));
  if (before instanceof Error) return t.fail(before.message);
  harness.store.restore(copiedMs);
  for (const value of [5, 6, 7, 8]) harness.store.put(KIND, 'second', value);
  await harness.run(reader.list(KIND, ListFreshness.Current));
  const result = await harness.run(follower.watch(KIND, before.position, 600));
  t.deepEqual(result, { kind: 'history-gone' });
  const list = await harness.run(follower.list(KIND, ListFreshness.Current));
  t.like(list, { isRelayed: true, objects: { 0: { spec: 1 }, 1: { spec: 8 } } });
});

test('a response without an era provides objects but no proof', async (t) => {
  const position = new StorePosition(StoreEra.Unknown, 12);
  const events = [{ object: thing(12, StoreEra.Unknown), isGone: false }];
  const queries = queriesWithResponse({ isKnown: true, events, position, proofAgeMs: 5 });
  await t.throwsAsync(queries.changes(member('old'), KIND, positionAt(3, 1), 0));
  await t.throwsAsync(queries.changes(member('old'), KIND, position, 0));
  t.is(await queries.recentList(member('old'), KIND), undefined);
  const list = await queries.newestList(['old:7000'], KIND);
  t.is(list?.objects.length, 1);
  t.is(list?.proven, ElapsedInstant.never);
});

test('a list with an era is preferred over one without, whatever the revisions', async (t) => {
  const answers = [positionAt(3, 1), new StorePosition(StoreEra.Unknown, 90)];
  const client = {
    query: (): Promise<Omit<RelayResponse, 'number' | 'heldMs'>> =>
      Promise.resolve({
        isKnown: true,
        events: [],
        position: answers.shift() as StorePosition,
        proofAgeMs: 5,
      }),
  } as unknown as RelayClient;
  const queries = new PeerQueries(client, SETTINGS.maximumProofAgeMs, new VirtualClock());
  const list = await queries.newestList(['new:7000', 'old:7000'], KIND);
  t.true(list?.position.equals(positionAt(3, 1)));
});

test('relay frames preserve eras and their absence', (t) => {
  const head = { number: 1, isKnown: true, proofAgeMs: 1, heldMs: 1 };
  for (const era of [StoreEra.Unknown, StoreEra.None, 1, 7]) {
    const position = new StorePosition(era, 40);
    const answer = decodeRelayFrame(encodeRelayResponse({ ...head, position }, NO_CHANGES));
    t.like(answer, { kind: 'answer', answer: { position } });
    const asked = { number: 1, kind: KIND, position, waitMs: 1, acceptsDeflated: true };
    t.like(decodeRelayFrame(encodeRelayQuery(asked)), { kind: 'query', query: { position } });
  }
});

test('a router without a connection to a restored store gets its state from another router', async (t) => {
  const harness = await RelayHarness.create(2, { ...SETTINGS, directGroupSize: 5 });
  const [other, cut] = harness.stores as [RelayedObjectStore, RelayedObjectStore];
  harness.store.put(KIND, 'first', 1);
  const copiedMs = harness.clock.now();
  await harness.clock.advance(100);
  harness.store.put(KIND, 'first', 2);
  const before = await harness.run(cut.list(KIND, ListFreshness.Current));
  if (before instanceof Error) return t.fail(before.message);
  harness.store.unreachableFor.add('node-1');
  harness.store.restore(copiedMs);
  harness.store.put(KIND, 'second', 3);
  const restored = await harness.run(other.list(KIND, ListFreshness.Current));
  if (restored instanceof Error) return t.fail(restored.message);
  void watchForever(other, restored.position);
  const result = await harness.run(cut.watch(KIND, before.position, 600));
  t.deepEqual(result, { kind: 'history-gone' });
  const list = await harness.run(cut.list(KIND, ListFreshness.Current));
  t.like(list, { isRelayed: true, position: restored.position, objects: { 0: { spec: 1 } } });
});
