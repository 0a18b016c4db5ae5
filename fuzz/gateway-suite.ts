/**
 * Declares the gateway's fuzz tests. They are spread over several test files, because each file
 * runs on a single thread.
 */
import test from 'ava';
import { engineRestartCommands } from './engine-restart-commands.js';
import { ENGINE_RESTART_MUTATIONS, CACHED_PREFIXES_MUTATIONS } from './engine-restart-mutations.js';
import { type CommandSource, gatewayCommands } from './gateway-commands.js';
import { GATEWAY_MUTATIONS, type GatewayMutation } from './gateway-mutations.js';
import { fuzzGateway } from './gateway-run.js';
import { fuzzCachedPrefixes } from './cached-prefixes-fuzz.js';

const RUNS_PER_SEED = 200;
const MUTATION_RUNS = 900;
const FIRST_SEED = 1;
const RESTART_RUNS = 60;
const CACHED_PREFIXES_RUNS = 300;
const TIMEOUT_MS = 170_000;

/** Declares one test per seed, which checks that no rule is broken under faults. */
export function declareGatewayFuzz(
  seeds: readonly number[],
  commands: CommandSource = gatewayCommands,
  runs = RUNS_PER_SEED,
): void {
  for (const seed of seeds) {
    test.serial(`no rule is broken under faults, seed ${seed}`, async (t) => {
      t.timeout(TIMEOUT_MS);
      const result = await fuzzGateway({ seed, runs, commands });
      t.is(result.kind, 'passed', result.kind === 'failed' ? result.report : '');
      t.is(result.runs, runs);
    });
  }
}

/** Declares one test per seed, which checks that no rule is broken while engines restart. */
export function declareEngineRestartFuzz(seeds: readonly number[]): void {
  for (const seed of seeds) {
    test.serial(`no rule is broken while engines restart, seed ${seed}`, async (t) => {
      t.timeout(TIMEOUT_MS);
      const options = { seed, runs: RESTART_RUNS, commands: engineRestartCommands };
      const result = await fuzzGateway(options);
      t.is(result.kind, 'passed', result.kind === 'failed' ? result.report : '');
      t.is(result.runs, RESTART_RUNS);
    });
  }
}

/** Declares the tests of the mutations on engine restarts. */
export function declareEngineRestartMutations(): void {
  declareMutations(ENGINE_RESTART_MUTATIONS, engineRestartCommands, RESTART_RUNS);
}

/** Declares the tests on a router's estimate of the prefixes cached by a restarting engine. */
export function declareCachedPrefixesFuzz(seed: number): void {
  test(`a router's estimate matches the cache of the current incarnation, seed ${seed}`, async (t) => {
    const result = await fuzzCachedPrefixes(seed, CACHED_PREFIXES_RUNS);
    t.is(result.kind, 'passed', result.kind === 'failed' ? result.report : '');
  });
  for (const { name, makeView } of CACHED_PREFIXES_MUTATIONS) {
    test(`the fuzz test detects that ${name}`, async (t) => {
      const result = await fuzzCachedPrefixes(seed, CACHED_PREFIXES_RUNS, makeView);
      t.is(result.kind, 'failed');
    });
  }
}

/** Declares the tests of every `shares`-th mutation, starting at index `share`. */
export function declareGatewayMutations(share: number, shares: number): void {
  declareMutations(GATEWAY_MUTATIONS.filter((_, index) => index % shares === share));
}

/** Declares one test per mutation, which checks that the fuzz test detects it. */
export function declareMutations(
  mutations: readonly GatewayMutation[],
  commands: CommandSource = gatewayCommands,
  runs = MUTATION_RUNS,
): void {
  for (const { name, rule, mutation, seed = FIRST_SEED } of mutations) {
    test.serial(`the fuzz test detects that ${name}`, async (t) => {
      t.timeout(TIMEOUT_MS);
      const options = { seed, runs, mutation, isShrunk: false, commands };
      const result = await fuzzGateway(options);
      t.is(result.kind, 'failed');
      t.regex(result.kind === 'failed' ? result.report : '', new RegExp(`rule ${rule}:`));
    });
  }
}
