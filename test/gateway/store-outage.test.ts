/** What a store in trouble costs a large group, and how the group finds it back. */
import test from 'ava';
import { ObjectFollower } from '../../src/coordination/gateway/object-follower.js';
import type { RelaySettings } from '../../src/coordination/gateway/store-relay/relayed-object-store.js';
import type { HostClock } from '../../src/lab/simulation/host-clock.js';
import { ListFreshness } from '../../src/protocol/object-store/port.js';
import { sleep } from '../../src/runtime/clock.js';
import { SilentLogger } from '../../src/runtime/logger.js';
import { SeededRandom } from '../../src/runtime/random.js';
import { chooseReaders } from '../../src/state/routing/store-readers.js';
import { KIND, RelayHarness, member } from '../helpers/relay-harness.js';
import { ElapsedInstant } from '../../src/runtime/elapsed-instant.js';
import { silentFollowerEvents } from '../helpers/silent-follower-events.js';

/** Settings of a deployment of many routers before one store. */
const LARGE: RelaySettings = {
  directGroupSize: 12,
  routersPerReader: 80,
  minimumReaders: 2,
  watchMs: 600,
  freshMs: 1_400,
};

/** A large group whose routers all follow one kind; `proofs` holds each router's newest one. */
async function followedGroup(routers: number) {
  const world = await RelayHarness.create(routers, LARGE);
  world.store.put(KIND, 'first', { value: 1 });
  const proofs = world.stores.map(() => ElapsedInstant.never);
  for (const [index, store] of world.stores.entries()) {
    const noteAnswer = (proven: ElapsedInstant): void => {
      proofs[index] = proven.latest(proofs[index] ?? ElapsedInstant.never);
    };
    const follower = new ObjectFollower(
      {
        kind: KIND,
        watchMs: 1_500,
        gatherMs: 0,
        settled: () => sleep(world.clock, 500),
        firstList: ListFreshness.Current,
      },
      store,
      silentFollowerEvents({
        onAnswer: noteAnswer,
      }),
      world.hosts[index] as HostClock,
      new SeededRandom(500 + index),
      new SilentLogger(),
    );
    follower.start();
  }
  await world.clock.advance(4_000);
  const proofAgesMs = (): number[] => proofs.map((proof) => world.clock.elapsed().since(proof));
  const oldestProofAgeMs = (): number => Math.max(...proofAgesMs());
  return { world, oldestProofAgeMs, proofAgesMs };
}

test('a store that refuses all gets no more calls from a large group than a calm one', async (t) => {
  const { world, oldestProofAgeMs } = await followedGroup(60);
  const CALM_MS = 5_000;
  const beforeCalm = world.store.calls;
  await world.clock.advance(CALM_MS);
  const calm = world.store.calls - beforeCalm;
  world.store.isBusy = true;
  const beforeOutage = world.store.calls;
  await world.clock.advance(CALM_MS);
  const during = world.store.calls - beforeOutage;
  // Each reader tries twice a second, and so does one other router in the mean.
  t.true(during <= 3 * calm && during <= 60, `${during} calls, ${calm} while calm`);
  world.store.isBusy = false;
  const beforeReturn = world.store.calls;
  await world.clock.advance(2_000);
  // Readers try each 0.75 s at most and prove at once what is current, followers ask as often.
  t.true(oldestProofAgeMs() <= 2_000, `oldest proof ${oldestProofAgeMs()} ms`);
  await world.clock.advance(1_500);
  t.true(oldestProofAgeMs() <= 2 * LARGE.freshMs, `oldest proof ${oldestProofAgeMs()} ms`);
  t.true(world.store.calls - beforeReturn <= 60, `${world.store.calls - beforeReturn} calls`);
});

test('a group whose readers are turned away by the store follows through another router', async (t) => {
  const { world, oldestProofAgeMs } = await followedGroup(40);
  for (const reader of chooseReaders(
    world.hosts.map((_, index) => member(`node-${index}`)),
    LARGE,
  )) {
    world.store.unreachableFor.add(reader.nodeId);
  }
  await world.clock.advance(8_000);
  t.true(oldestProofAgeMs() <= 3 * LARGE.freshMs, `oldest proof ${oldestProofAgeMs()} ms`);
});

test('followers of readers that lost their power go on proving what is current', async (t) => {
  const { world, proofAgesMs } = await followedGroup(40);
  const group = world.hosts.map((_, index) => member(`node-${index}`));
  const lost = new Set(chooseReaders(group, LARGE).map(({ nodeId }) => nodeId));
  const isLost = (index: number): boolean => lost.has(`node-${index}`);
  for (const [index, host] of world.hosts.entries()) if (isLost(index)) host.stop();
  let oldestMs = 0;
  // The view of this world never changes: the dead readers are members for good.
  for (let spentMs = 0; spentMs < 12_000; spentMs += 100) {
    await world.clock.advance(100);
    const ofSurvivors = proofAgesMs().filter((_, index) => !isLost(index));
    oldestMs = Math.max(oldestMs, ...ofSurvivors);
  }
  const LIFETIME_OF_PROOFS_MS = 4_600;
  t.true(oldestMs <= LIFETIME_OF_PROOFS_MS, `oldest proof ${oldestMs} ms`);
});
