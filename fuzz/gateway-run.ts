/** Runs the gateway's stateful fuzz test; reports the seed and shrunk commands of a failure. */
import fc from 'fast-check';
import { findBreaches } from '../src/lab/gateway-simulation/gateway-oracle.js';
import { GatewaySimulation } from '../src/lab/gateway-simulation/gateway-simulation.js';
import type { SimulationMutation } from '../src/lab/gateway-simulation/simulation-mutation.js';
import type { GatewayCommand } from './gateway-command.js';
import { type CommandSource, gatewayCommands } from './gateway-commands.js';

const MAXIMUM_COMMANDS = 40;

/** Result of a fuzz test. */
export type GatewayFuzzResult =
  | { readonly kind: 'passed'; readonly runs: number }
  | { readonly kind: 'failed'; readonly runs: number; readonly report: string };

/** Options of a fuzz test. */
export interface GatewayFuzzOptions {
  readonly seed: number;
  readonly runs: number;
  readonly mutation?: SimulationMutation;
  /** Commands to draw from; those of `gateway-commands.ts` by default. */
  readonly commands?: CommandSource;
  /** Whether a failing run is shrunk before it is reported. */
  readonly isShrunk?: boolean;
}

/** Runs commands on a new deployment and throws if the oracle finds a rule violation. */
export async function runGatewayCommands(
  seed: number,
  commands: Iterable<GatewayCommand>,
  mutation: SimulationMutation,
): Promise<void> {
  const simulation = await GatewaySimulation.create(seed, mutation);
  await fc.asyncModelRun(() => ({ model: {}, real: simulation }), commands);
  await simulation.settle();
  const breaches = findBreaches(simulation);
  if (breaches.length === 0) return;
  throw new Error(breaches.map(({ rule, detail }) => `rule ${rule}: ${detail}`).join('\n'));
}

/** Runs the fuzz test with a fixed seed. */
export async function fuzzGateway(options: GatewayFuzzOptions): Promise<GatewayFuzzResult> {
  const source = options.commands ?? gatewayCommands;
  const property = fc.asyncProperty(
    fc.nat(),
    source(MAXIMUM_COMMANDS),
    (simulationSeed, commands) =>
      runGatewayCommands(simulationSeed, commands, options.mutation ?? {}),
  );
  const details = await fc.check(property, {
    seed: options.seed,
    numRuns: options.runs,
    endOnFailure: options.isShrunk === false,
  });
  if (!details.failed) return { kind: 'passed', runs: details.numRuns };
  const report = `${fc.defaultReportMessage(details) ?? ''}\n${String(details.errorInstance)}`;
  return { kind: 'failed', runs: details.numRuns, report };
}
