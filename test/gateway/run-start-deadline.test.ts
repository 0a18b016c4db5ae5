/** Guards against requests that an engine starts after its model weights expired. */
import test from 'ava';
import { RunStartDeadline } from '../../src/coordination/gateway/run-start-deadline.js';
import { VirtualClock } from '../../src/runtime/virtual-clock.js';
import { StoreOutages } from '../../src/state/routing/store-outages.js';
import { WeightVersions } from '../../src/state/routing/weight-versions.js';

const MODEL = 'model-a';
const GRACE_MS = 7_000;
const SLACK_MS = 400;
const LIMIT_MS = GRACE_MS + SLACK_MS;

function createHarness() {
  const clock = new VirtualClock();
  const versions = new WeightVersions(GRACE_MS, new StoreOutages(), SLACK_MS);
  const expiredMs: number[] = [];
  const startDeadline = (): RunStartDeadline =>
    new RunStartDeadline(MODEL, 1, { versions, clock }, () => expiredMs.push(clock.now()));
  return { clock, versions, startDeadline, expiredMs };
}

test('a send is withdrawn exactly once, when the weights of its engine expire', async (t) => {
  const { clock, versions, startDeadline, expiredMs } = createHarness();
  versions.record(MODEL, { version: 2, namedMs: 0, isWitnessed: true });
  startDeadline();
  await clock.advance(2 * LIMIT_MS);
  t.deepEqual(expiredMs, [LIMIT_MS]);
});

test('a newer version that is learned late, after the send, withdraws it within 200 ms', async (t) => {
  const { clock, versions, startDeadline, expiredMs } = createHarness();
  startDeadline();
  await clock.advance(9_050);
  t.deepEqual(expiredMs, []);
  versions.record(MODEL, { version: 2, namedMs: 1_000, isWitnessed: true });
  await clock.advance(200);
  t.is(expiredMs.length, 1);
});

test('a send that starts too late is withdrawn only after its constructor has returned', async (t) => {
  const { clock, versions, startDeadline, expiredMs } = createHarness();
  versions.record(MODEL, { version: 2, namedMs: 0, isWitnessed: true });
  await clock.advance(LIMIT_MS + 1);
  startDeadline();
  t.deepEqual(expiredMs, []);
  await clock.advance(1);
  t.is(expiredMs.length, 1);
});

test('a request that has started is not withdrawn', async (t) => {
  const { clock, versions, startDeadline, expiredMs } = createHarness();
  versions.record(MODEL, { version: 2, namedMs: 0, isWitnessed: true });
  const deadline = startDeadline();
  await clock.advance(1_000);
  deadline.cancel();
  await clock.advance(2 * LIMIT_MS);
  t.deepEqual(expiredMs, []);
});
