/** Runs the stateful fuzz and reports a failing run's seed and shrunk commands. */
import fc from 'fast-check';
import { ALL_PROTECTIONS, type Protections } from '../src/coordination/router/settings.js';
import { findViolations } from '../src/lab/simulation/oracle.js';
import { World } from '../src/lab/simulation/world.js';
import { type WorldCommand, worldCommands } from './commands.js';

/** Commands in one run at most. */
export const MAXIMUM_COMMANDS = 45;

/** Result of a fuzz. */
export type FuzzResult =
  | { readonly kind: 'passed'; readonly runs: number }
  | { readonly kind: 'failed'; readonly runs: number; readonly report: string };

/** Options of a fuzz. */
export interface FuzzOptions {
  readonly seed: number;
  readonly runs: number;
  readonly protections?: Protections;
  /** Steps of shrinking; 0 for a quick answer. */
  readonly maximumShrinks?: number;
  readonly timeLimitMs?: number;
}

/** Runs commands on a fresh deployment and throws where the oracle finds a violation. */
export async function runCommands(
  seed: number,
  commands: Iterable<WorldCommand>,
  protections: Protections,
): Promise<void> {
  const world = await World.create(seed, protections);
  await fc.asyncModelRun(() => ({ model: {}, real: world }), commands);
  await world.settle();
  const violations = findViolations(world);
  if (violations.length === 0) return;
  const lines = violations.map(({ invariant, detail }) => `invariant ${invariant}: ${detail}`);
  throw new Error(lines.join('\n'));
}

function reportOf<Values>(details: fc.RunDetails<Values>): string {
  return `${fc.defaultReportMessage(details) ?? ''}\n${String(details.errorInstance)}`;
}

/** Fuzzes with fixed seeds. */
export async function fuzz(options: FuzzOptions): Promise<FuzzResult> {
  const protections = options.protections ?? ALL_PROTECTIONS;
  const property = fc.asyncProperty(
    fc.nat(),
    worldCommands(MAXIMUM_COMMANDS),
    (worldSeed, commands) => runCommands(worldSeed, commands, protections),
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
  return { kind: 'failed', runs: details.numRuns, report: reportOf(details) };
}
