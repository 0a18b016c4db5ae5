/** Guards against a popular prefix that too few engines keep, and against copies that nobody needs. */
import test from 'ava';
import { replicaCount } from '../../src/state/routing/replica-count.js';

const PREFILL_MS = 94;

test('a prefix without demand is kept by the minimum of engines', (t) => {
  t.is(replicaCount({ requestsPerSecond: 0, prefillMs: PREFILL_MS }, 1, 12), 1);
  t.is(replicaCount({ requestsPerSecond: 0.2, prefillMs: PREFILL_MS }, 3, 12), 3);
});

test('the number grows with the request rate and with the time of a prefill', (t) => {
  const counts = [5, 10, 20, 35].map((requestsPerSecond) =>
    replicaCount({ requestsPerSecond, prefillMs: PREFILL_MS }, 1, 12),
  );
  t.deepEqual(counts, [1, 2, 4, 7]);
  t.is(replicaCount({ requestsPerSecond: 10, prefillMs: 4 * PREFILL_MS }, 1, 12), 8);
});

test('a false rate raises the number to the maximum at most', (t) => {
  t.is(replicaCount({ requestsPerSecond: 1e9, prefillMs: PREFILL_MS }, 1, 12), 12);
  t.is(replicaCount({ requestsPerSecond: Infinity, prefillMs: PREFILL_MS }, 1, 12), 1);
  t.is(replicaCount({ requestsPerSecond: NaN, prefillMs: PREFILL_MS }, 1, 12), 1);
});
