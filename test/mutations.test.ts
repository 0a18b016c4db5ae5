import test from 'ava';
import { MUTATIONS } from '../fuzz/mutations.js';
import { fuzz } from '../fuzz/run.js';
import { ALL_PROTECTIONS } from '../src/coordination/router/settings.js';

for (const { protection, invariant, seed, runs } of MUTATIONS) {
  test(`the fuzz test detects that ${protection} is disabled`, async (t) => {
    t.timeout(170_000);
    const protections = { ...ALL_PROTECTIONS, [protection]: false };
    const result = await fuzz({ seed, runs, protections, maximumShrinks: 0 });
    t.is(result.kind, 'failed');
    t.regex(result.kind === 'failed' ? result.report : '', new RegExp(`invariant ${invariant}:`));
  });
}
