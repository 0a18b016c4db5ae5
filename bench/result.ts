/** Figures of the bench and how they are shown. */

const MICROSECONDS_PER_MS = 1_000;

/** One figure. */
export interface BenchResult {
  readonly name: string;
  readonly value: number;
  readonly unit: string;
  /** What is to be reached, where something is. */
  readonly target?: string;
}

/** A figure with three significant digits, thousands separated. */
export function formatFigure(value: number): string {
  const SIGNIFICANT_DIGITS = 3;
  return Number(value.toPrecision(SIGNIFICANT_DIGITS)).toLocaleString('en-US', {
    maximumFractionDigits: 6,
  });
}

/** One line for each figure. */
export function formatResults(results: readonly BenchResult[]): string {
  const width = Math.max(...results.map((result) => result.name.length));
  return results
    .map(({ name, value, unit, target }) => {
      const goal = target === undefined ? '' : `  (to reach: ${target})`;
      return `${name.padEnd(width)}  ${formatFigure(value)} ${unit}${goal}`;
    })
    .join('\n');
}

/** Median time of one call, in microseconds. */
export function medianMicroseconds(
  rounds: number,
  callsPerRound: number,
  call: () => void,
): number {
  const times: number[] = [];
  for (let round = 0; round < rounds; round += 1) {
    const startedMs = performance.now();
    for (let index = 0; index < callsPerRound; index += 1) call();
    times.push(((performance.now() - startedMs) * MICROSECONDS_PER_MS) / callsPerRound);
  }
  times.sort((left, right) => left - right);
  return times[rounds >> 1] ?? 0;
}
