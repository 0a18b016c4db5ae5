/** Runs the gateway's stateful fuzz and reports a failing run's seed and shrunk commands. */
import fc from 'fast-check';
import { findBreaches } from '../src/lab/gateway-simulation/gateway-oracle.js';
import { GatewaySimulation } from '../src/lab/gateway-simulation/gateway-simulation.js';
import type { SimulationMutation } from '../src/lab/gateway-simulation/simulation-mutation.js';
import type { GatewayCommand } from './gateway-command.js';
import { type CommandSource, gatewayCommands } from './gateway-commands.js';

const MAXIMUM_COMMANDS = 40;

/** Result of a fuzz. */
export type GatewayFuzzResult =
  | { readonly kind: 'passed'; readonly runs: number }
  | { readonly kind: 'failed'; readonly runs: number; readonly report: string };

/** Options of a fuzz. */
export interface GatewayFuzzOptions {
  readonly seed: number;
  readonly runs: number;
  readonly mutation?: SimulationMutation;
  /** What is done to the deployment; left out: every command but those on lives of engines and on limits. */
  readonly commands?: CommandSource;
  /** Whether a failing run is made smaller before it is reported. */
  readonly isShrunk?: boolean;
}

/** Runs commands on a fresh deployment and throws where the oracle finds a broken rule. */
export async function runGatewayCommands(
  seed: number,
  commands: Iterable<GatewayCommand>,
  mutation: SimulationMutation,
): Promise<void> {
  const world = await GatewaySimulation.create(seed, mutation);
  await fc.asyncModelRun(() => ({ model: {}, real: world }), commands);
  await world.settle();
  const breaches = findBreaches(world);
  if (breaches.length === 0) return;
  throw new Error(breaches.map(({ rule, detail }) => `rule ${rule}: ${detail}`).join('\n'));
}

/** Fuzzes with a fixed seed. */
export async function fuzzGateway(options: GatewayFuzzOptions): Promise<GatewayFuzzResult> {
  const source = options.commands ?? gatewayCommands;
  const property = fc.asyncProperty(fc.nat(), source(MAXIMUM_COMMANDS), (worldSeed, commands) =>
    runGatewayCommands(worldSeed, commands, options.mutation ?? {}),
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
