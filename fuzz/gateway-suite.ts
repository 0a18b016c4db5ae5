/** The gateway's fuzz as tests. Each test file takes a share, since a file runs on one thread. */
import test from 'ava';
import { GATEWAY_MUTATIONS, type GatewayMutation } from './gateway-mutations.js';
import { type GatewayFuzzOptions, fuzzGateway } from './gateway-run.js';

const RUNS_PER_SEED = 200;
const MUTATION_RUNS = 900;
const TIMEOUT_MS = 170_000;

type AdditionalCommands = GatewayFuzzOptions['additional'];

/** Declares one test for each seed: no rule is broken. */
export function declareGatewayFuzz(
  seeds: readonly number[],
  additional: AdditionalCommands = [],
): void {
  for (const seed of seeds) {
    test.serial(`no rule is broken under faults, seed ${seed}`, async (t) => {
      t.timeout(TIMEOUT_MS);
      const result = await fuzzGateway({ seed, runs: RUNS_PER_SEED, additional });
      t.is(result.kind, 'passed', result.kind === 'failed' ? result.report : '');
      t.is(result.runs, RUNS_PER_SEED);
    });
  }
}

/** Declares a test for every `shares`-th mutation, beginning with `share`: the fuzz finds it. */
export function declareGatewayMutations(share: number, shares: number): void {
  declareMutations(GATEWAY_MUTATIONS.filter((_, index) => index % shares === share));
}

/** Declares a test for each mutation: the fuzz finds it. */
export function declareMutations(
  mutations: readonly GatewayMutation[],
  additional: AdditionalCommands = [],
): void {
  for (const { name, rule, mutation } of mutations) {
    test.serial(`the fuzz finds that ${name}`, async (t) => {
      t.timeout(TIMEOUT_MS);
      const options = { seed: 1, runs: MUTATION_RUNS, mutation, isShrunk: false, additional };
      const result = await fuzzGateway(options);
      t.is(result.kind, 'failed');
      t.regex(result.kind === 'failed' ? result.report : '', new RegExp(`rule ${rule}:`));
    });
  }
}
