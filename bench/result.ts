/** Results of the bench and their text output. */

const MICROSECONDS_PER_MS = 1_000;

/** One measured value. */
export interface BenchResult {
  readonly name: string;
  readonly value: number;
  readonly unit: string;
  /** Required value, if any, such as `< 100`. */
  readonly target?: string;
}

/** Formats a value with three significant digits and thousands separators. */
export function formatFigure(value: number): string {
  const SIGNIFICANT_DIGITS = 3;
  return Number(value.toPrecision(SIGNIFICANT_DIGITS)).toLocaleString('en-US', {
    maximumFractionDigits: 6,
  });
}

/** Formats the results, one line each. */
export function formatResults(results: readonly BenchResult[]): string {
  const width = Math.max(...results.map((result) => result.name.length));
  return results
    .map(({ name, value, unit, target }) => {
      const targetNote = target === undefined ? '' : `  (target: ${target})`;
      return `${name.padEnd(width)}  ${formatFigure(value)} ${unit}${targetNote}`;
    })
    .join('\n');
}

/** Median time of a call over several rounds, in microseconds. */
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
