/** Until when a request that was sent may begin on the weights of its engine. */
import test from 'ava';
import { RunStartDeadline } from '../../src/coordination/gateway/run-start-deadline.js';
import { VirtualClock } from '../../src/runtime/virtual-clock.js';
import { StoreOutages } from '../../src/state/routing/store-outages.js';
import { WeightVersions } from '../../src/state/routing/weight-versions.js';

const MODEL = 'model-a';
const GRACE_MS = 7_000;
const SLACK_MS = 400;
const LIMIT_MS = GRACE_MS + SLACK_MS;

function watchWorld() {
  const clock = new VirtualClock();
  const versions = new WeightVersions(GRACE_MS, new StoreOutages(), SLACK_MS);
  const expiredMs: number[] = [];
  const watch = (): RunStartDeadline =>
    new RunStartDeadline(MODEL, 1, { versions, clock }, () => expiredMs.push(clock.now()));
  return { clock, versions, watch, expiredMs };
}

test('a send is withdrawn when the weights of its engine run out of time, and once', async (t) => {
  const { clock, versions, watch, expiredMs } = watchWorld();
  versions.note(MODEL, { version: 2, namedMs: 0, isWitnessed: true });
  watch();
  await clock.advance(2 * LIMIT_MS);
  t.deepEqual(expiredMs, [LIMIT_MS]);
});

test('a version that is heard of after the send, late, ends its time within a fifth of a second', async (t) => {
  const { clock, versions, watch, expiredMs } = watchWorld();
  watch();
  await clock.advance(9_050);
  t.deepEqual(expiredMs, []);
  versions.note(MODEL, { version: 2, namedMs: 1_000, isWitnessed: true });
  await clock.advance(200);
  t.is(expiredMs.length, 1);
});

test('a send that comes too late is withdrawn only after it was made', async (t) => {
  const { clock, versions, watch, expiredMs } = watchWorld();
  versions.note(MODEL, { version: 2, namedMs: 0, isWitnessed: true });
  await clock.advance(LIMIT_MS + 1);
  watch();
  t.deepEqual(expiredMs, []);
  await clock.advance(1);
  t.is(expiredMs.length, 1);
});

test('a request that has begun is left alone', async (t) => {
  const { clock, versions, watch, expiredMs } = watchWorld();
  versions.note(MODEL, { version: 2, namedMs: 0, isWitnessed: true });
  const begun = watch();
  await clock.advance(1_000);
  begun.cancel();
  await clock.advance(2 * LIMIT_MS);
  t.deepEqual(expiredMs, []);
});
