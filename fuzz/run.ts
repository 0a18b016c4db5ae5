/** Runs the stateful fuzz test and reports the seed and shrunk commands of a failing run. */
import fc from 'fast-check';
import { ALL_PROTECTIONS, type Protections } from '../src/coordination/router/settings.js';
import { findViolations } from '../src/lab/simulation/oracle.js';
import { DeploymentSimulation } from '../src/lab/simulation/deployment-simulation.js';
import { type SimulationCommand, simulationCommands } from './commands.js';

/** Maximum number of commands in one run. */
export const MAXIMUM_COMMANDS = 45;

/** Result of a fuzz test. */
export type FuzzResult =
  | { readonly kind: 'passed'; readonly runs: number }
  | { readonly kind: 'failed'; readonly runs: number; readonly report: string };

/** Options of a fuzz test. */
export interface FuzzOptions {
  readonly seed: number;
  readonly runs: number;
  readonly protections?: Protections;
  /** Maximum number of shrinking steps; 0 disables shrinking. */
  readonly maximumShrinks?: number;
  readonly timeLimitMs?: number;
}

/** Runs commands on a new deployment and throws if the oracle finds a violation. */
export async function runCommands(
  seed: number,
  commands: Iterable<SimulationCommand>,
  protections: Protections,
): Promise<void> {
  const simulation = await DeploymentSimulation.create(seed, protections);
  await fc.asyncModelRun(() => ({ model: {}, real: simulation }), commands);
  await simulation.settle();
  const violations = findViolations(simulation);
  if (violations.length === 0) return;
  const lines = violations.map(({ invariant, detail }) => `invariant ${invariant}: ${detail}`);
  throw new Error(lines.join('\n'));
}

function formatReport<Values>(details: fc.RunDetails<Values>): string {
  return `${fc.defaultReportMessage(details) ?? ''}\n${String(details.errorInstance)}`;
}

/** Runs the fuzz test with a fixed seed. */
export async function fuzz(options: FuzzOptions): Promise<FuzzResult> {
  const protections = options.protections ?? ALL_PROTECTIONS;
  const property = fc.asyncProperty(
    fc.nat(),
    simulationCommands(MAXIMUM_COMMANDS),
    (simulationSeed, commands) => runCommands(simulationSeed, commands, protections),
  );
  const details = await fc.check(property, {
    seed: options.seed,
    numRuns: options.runs,
    endOnFailure: options.maximumShrinks === 0,
    ...(options.timeLimitMs === undefined
      ? {}
      : { interruptAfterTimeLimit: options.timeLimitMs, markInterruptAsFailure: false }),
  });
  if (!details.failed) return { kind: 'passed', runs: details.numRuns };
  return { kind: 'failed', runs: details.numRuns, report: formatReport(details) };
}
