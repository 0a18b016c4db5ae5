import test from 'ava';
import { fuzz } from '../fuzz/run.js';

test('invariants hold under faults, shard 4', async (t) => {
  t.timeout(170_000);
  const result = await fuzz({ seed: 1000 + 4, runs: 130 });
  t.is(result.kind, 'passed', result.kind === 'failed' ? result.report : '');
  t.is(result.runs, 130);
});
