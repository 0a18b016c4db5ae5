/** The gateway's fuzz as tests. Each test file takes a share, since a file runs on one thread. */
import test from 'ava';
import { engineLifeCommands } from './engine-life-commands.js';
import { ENGINE_LIFE_MUTATIONS, KEPT_PREFIXES_MUTATIONS } from './engine-life-mutations.js';
import { type CommandSource, gatewayCommands } from './gateway-commands.js';
import { GATEWAY_MUTATIONS, type GatewayMutation } from './gateway-mutations.js';
import { fuzzGateway } from './gateway-run.js';
import { fuzzKeptPrefixes } from './kept-prefixes-fuzz.js';

const RUNS_PER_SEED = 200;
const MUTATION_RUNS = 900;
const FIRST_SEED = 1;
/** Few enough for a file of tests to take seconds. */
const LIFE_RUNS = 60;
const KEPT_PREFIXES_RUNS = 300;
const TIMEOUT_MS = 170_000;

/** Declares one test for each seed: no rule is broken. */
export function declareGatewayFuzz(
  seeds: readonly number[],
  commands: CommandSource = gatewayCommands,
): void {
  for (const seed of seeds) {
    test.serial(`no rule is broken under faults, seed ${seed}`, async (t) => {
      t.timeout(TIMEOUT_MS);
      const result = await fuzzGateway({ seed, runs: RUNS_PER_SEED, commands });
      t.is(result.kind, 'passed', result.kind === 'failed' ? result.report : '');
      t.is(result.runs, RUNS_PER_SEED);
    });
  }
}

/** Declares one test for each seed: no rule is broken while engines start again under their names. */
export function declareEngineLifeFuzz(seeds: readonly number[]): void {
  for (const seed of seeds) {
    test.serial(`no rule is broken while engines start again, seed ${seed}`, async (t) => {
      t.timeout(TIMEOUT_MS);
      const options = { seed, runs: LIFE_RUNS, commands: engineLifeCommands };
      const result = await fuzzGateway(options);
      t.is(result.kind, 'passed', result.kind === 'failed' ? result.report : '');
      t.is(result.runs, LIFE_RUNS);
    });
  }
}

/** Declares a test for each mutation on the lives of engines: the fuzz finds it. */
export function declareEngineLifeMutations(): void {
  declareMutations(ENGINE_LIFE_MUTATIONS, engineLifeCommands, LIFE_RUNS);
}

/** Declares the tests on what a router believes that a restarting engine keeps. */
export function declareKeptPrefixesFuzz(seed: number): void {
  test(`a router believes just what an engine's present life keeps, seed ${seed}`, async (t) => {
    const result = await fuzzKeptPrefixes(seed, KEPT_PREFIXES_RUNS);
    t.is(result.kind, 'passed', result.kind === 'failed' ? result.report : '');
  });
  for (const { name, makeView } of KEPT_PREFIXES_MUTATIONS) {
    test(`the fuzz finds that ${name}`, async (t) => {
      const result = await fuzzKeptPrefixes(seed, KEPT_PREFIXES_RUNS, makeView);
      t.is(result.kind, 'failed');
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
  commands: CommandSource = gatewayCommands,
  runs = MUTATION_RUNS,
): void {
  for (const { name, rule, mutation, seed = FIRST_SEED } of mutations) {
    test.serial(`the fuzz finds that ${name}`, async (t) => {
      t.timeout(TIMEOUT_MS);
      const options = { seed, runs, mutation, isShrunk: false, commands };
      const result = await fuzzGateway(options);
      t.is(result.kind, 'failed');
      t.regex(result.kind === 'failed' ? result.report : '', new RegExp(`rule ${rule}:`));
    });
  }
}
