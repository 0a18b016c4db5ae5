/** The gateway's stateful fuzz with fixed seeds, and the mutations that it must find. */
import test from 'ava';
import { GATEWAY_MUTATIONS } from '../../fuzz/gateway-mutations.js';
import { fuzzGateway } from '../../fuzz/gateway-run.js';

const RUNS_PER_SEED = 200;
const MUTATION_RUNS = 600;

for (const seed of [101, 202, 303, 404]) {
  test(`no rule is broken under faults, seed ${seed}`, async (t) => {
    t.timeout(170_000);
    const result = await fuzzGateway({ seed, runs: RUNS_PER_SEED });
    t.is(result.kind, 'passed', result.kind === 'failed' ? result.report : '');
    t.is(result.runs, RUNS_PER_SEED);
  });
}

for (const { name, rule, mutation } of GATEWAY_MUTATIONS) {
  test(`the fuzz finds that ${name}`, async (t) => {
    t.timeout(170_000);
    const result = await fuzzGateway({ seed: 1, runs: MUTATION_RUNS, mutation, isShrunk: false });
    t.is(result.kind, 'failed');
    t.regex(result.kind === 'failed' ? result.report : '', new RegExp(`rule ${rule}:`));
  });
}
