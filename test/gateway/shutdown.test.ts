/** Guards against requests that a stopping router begins without the time to finish them, or rejects with it. */
import test from 'ava';
import { Shutdown } from '../../src/coordination/gateway/shutdown.js';

const SCHEDULE = { acceptUntilMs: 3_000, endMs: 7_600 };
const LONG_DEADLINE_MS = 60_000;

function createShutdown(): { shutdown: Shutdown; setTime: (ms: number) => void } {
  let nowMs = 0;
  const shutdown = new Shutdown({ now: () => nowMs });
  return { shutdown, setTime: (ms) => (nowMs = ms) };
}

test('a router that is not stopping begins every request', (t) => {
  const { shutdown } = createShutdown();
  const times = { arrivedMs: 0, deadlineMs: Infinity };
  t.true(shutdown.admits(times));
  t.true(shutdown.allows(times, () => Infinity));
});

test('a request whose deadline is before the end is begun until then', (t) => {
  const { shutdown, setTime } = createShutdown();
  shutdown.begin(SCHEDULE);
  setTime(6_500);
  const times = { arrivedMs: 6_500, deadlineMs: 7_500 };
  t.true(shutdown.admits(times));
  t.true(shutdown.allows(times, () => Infinity));
});

test('a late request is begun only if its deadline is before the end', (t) => {
  const { shutdown, setTime } = createShutdown();
  shutdown.begin(SCHEDULE);
  setTime(3_100);
  const times = { arrivedMs: 3_100, deadlineMs: LONG_DEADLINE_MS };
  t.false(shutdown.admits(times));
  t.false(shutdown.allows(times, () => 10));
});

test('an early request is begun if its response is expected to end in time', (t) => {
  const { shutdown, setTime } = createShutdown();
  shutdown.begin(SCHEDULE);
  const times = { arrivedMs: 500, deadlineMs: LONG_DEADLINE_MS };
  setTime(1_600);
  t.true(shutdown.allows(times, () => 4_000));
  t.false(shutdown.allows(times, () => 6_000));
  // The same request after a wait in a queue.
  setTime(4_600);
  t.false(shutdown.allows(times, () => 4_000));
  t.true(shutdown.allows(times, () => 1_000));
});

test('nothing is begun after the end', (t) => {
  const { shutdown, setTime } = createShutdown();
  shutdown.begin(SCHEDULE);
  setTime(7_700);
  t.false(shutdown.admits({ arrivedMs: 2_000, deadlineMs: LONG_DEADLINE_MS }));
  shutdown.end();
  t.false(shutdown.admits({ arrivedMs: 7_700, deadlineMs: 7_800 }));
});
