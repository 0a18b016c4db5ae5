/** Guards against a large group that overloads an unavailable store or recovers from it slowly. */
import test from 'ava';
import { ObjectFollower } from '../../src/coordination/gateway/object-follower.js';
import type { RelaySettings } from '../../src/coordination/gateway/store-relay/relayed-object-store.js';
import type { HostClock } from '../../src/lab/simulation/host-clock.js';
import { ListFreshness } from '../../src/protocol/object-store/port.js';
import { sleep } from '../../src/runtime/clock.js';
import { NoopLogger } from '../../src/runtime/logger.js';
import { SeededRandom } from '../../src/runtime/random.js';
import { chooseReaders } from '../../src/state/routing/store-readers.js';
import { KIND, RelayHarness, member } from '../helpers/relay-harness.js';
import { ElapsedInstant } from '../../src/runtime/elapsed-instant.js';
import { noopFollowerEvents } from '../helpers/noop-follower-events.js';

/** Settings of a deployment with many routers and one store. */
const LARGE: RelaySettings = {
  directGroupSize: 12,
  routersPerReader: 80,
  minimumReaders: 2,
  watchMs: 600,
  maximumProofAgeMs: 1_400,
};

/** A large group whose routers all follow one kind, and the ages of their newest proofs. */
async function followedGroup(routers: number) {
  const harness = await RelayHarness.create(routers, LARGE);
  harness.store.put(KIND, 'first', { value: 1 });
  const proofs = harness.stores.map(() => ElapsedInstant.never);
  for (const [index, store] of harness.stores.entries()) {
    const noteAnswer = (proven: ElapsedInstant): void => {
      proofs[index] = proven.later(proofs[index] ?? ElapsedInstant.never);
    };
    const follower = new ObjectFollower(
      {
        kind: KIND,
        watchMs: 1_500,
        batchDelayMs: 0,
        settled: () => sleep(harness.clock, 500),
        firstList: ListFreshness.Current,
      },
      store,
      noopFollowerEvents({
        onAnswer: noteAnswer,
      }),
      harness.hosts[index] as HostClock,
      new SeededRandom(500 + index),
      new NoopLogger(),
    );
    follower.start();
  }
  await harness.clock.advance(4_000);
  const proofAgesMs = (): number[] => proofs.map((proof) => harness.clock.elapsed().since(proof));
  const oldestProofAgeMs = (): number => Math.max(...proofAgesMs());
  return { harness, oldestProofAgeMs, proofAgesMs };
}

test('a large group makes a bounded number of calls to a store that rejects all requests', async (t) => {
  const { harness, oldestProofAgeMs } = await followedGroup(60);
  const CALM_MS = 5_000;
  const beforeCalm = harness.store.calls;
  await harness.clock.advance(CALM_MS);
  const calm = harness.store.calls - beforeCalm;
  harness.store.isBusy = true;
  const beforeOutage = harness.store.calls;
  await harness.clock.advance(CALM_MS);
  const during = harness.store.calls - beforeOutage;
  // Each reader retries twice a second, and so does one other router on average.
  t.true(during <= 3 * calm && during <= 60, `${during} calls, ${calm} while calm`);
  harness.store.isBusy = false;
  const beforeReturn = harness.store.calls;
  await harness.clock.advance(2_000);
  // Readers retry within 0.75 s and get a proof immediately; followers query them as often.
  t.true(oldestProofAgeMs() <= 2_000, `oldest proof ${oldestProofAgeMs()} ms`);
  await harness.clock.advance(1_500);
  t.true(
    oldestProofAgeMs() <= 2 * LARGE.maximumProofAgeMs,
    `oldest proof ${oldestProofAgeMs()} ms`,
  );
  t.true(harness.store.calls - beforeReturn <= 60, `${harness.store.calls - beforeReturn} calls`);
});

test('a group whose readers cannot reach the store follows it through another router', async (t) => {
  const { harness, oldestProofAgeMs } = await followedGroup(40);
  for (const reader of chooseReaders(
    harness.hosts.map((_, index) => member(`node-${index}`)),
    LARGE,
  )) {
    harness.store.unreachableFor.add(reader.nodeId);
  }
  await harness.clock.advance(8_000);
  t.true(
    oldestProofAgeMs() <= 3 * LARGE.maximumProofAgeMs,
    `oldest proof ${oldestProofAgeMs()} ms`,
  );
});

test('followers keep getting recent proofs after their readers lost power', async (t) => {
  const { harness, proofAgesMs } = await followedGroup(40);
  const group = harness.hosts.map((_, index) => member(`node-${index}`));
  const lost = new Set(chooseReaders(group, LARGE).map(({ nodeId }) => nodeId));
  const isLost = (index: number): boolean => lost.has(`node-${index}`);
  for (const [index, host] of harness.hosts.entries()) if (isLost(index)) host.stop();
  let oldestMs = 0;
  // The membership of this harness is fixed: the lost readers remain members.
  for (let spentMs = 0; spentMs < 12_000; spentMs += 100) {
    await harness.clock.advance(100);
    const ofSurvivors = proofAgesMs().filter((_, index) => !isLost(index));
    oldestMs = Math.max(oldestMs, ...ofSurvivors);
  }
  const LIFETIME_OF_PROOFS_MS = 4_600;
  t.true(oldestMs <= LIFETIME_OF_PROOFS_MS, `oldest proof ${oldestMs} ms`);
});
