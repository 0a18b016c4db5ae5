/**
 * What engine crashes tell about a subject that was running as they happened. Copies of a request that
 * were in progress at several engines as these failed together are one piece of evidence against it,
 * whatever the time between the failures. A copy that was sent after an earlier crash is another one.
 * Pure; times are monotonic, in milliseconds.
 */

/** A run of a subject at an engine that crashed. */
export interface CrashedRun {
  /** When the first copy at the engine was sent; the time of the crash if that is not known. */
  readonly sentMs: number;
  /** When the engine crashed. */
  readonly crashedMs: number;
}

/** Runs of one subject, by incarnation of the engine that crashed. */
export type CrashedRuns = ReadonlyMap<string, CrashedRun>;

/**
 * Number of crashes that are evidence of their own: each of them later than `mergedWithinMs` after the
 * one before, and during a run that was sent after that one.
 *
 * @param related groups of engines whose crashes have one cause, of which the first one counts
 */
export function countDistinctCrashes(
  runs: CrashedRuns,
  mergedWithinMs: number,
  related: readonly (readonly string[])[] = [],
): number {
  const counted: string[] = [];
  let lastMs = -Infinity;
  for (const [engineId, { sentMs, crashedMs }] of inOrderOfCrashes(runs)) {
    const isTogether = sentMs < lastMs || crashedMs - lastMs <= mergedWithinMs;
    const isRelated = related.some(
      (group) => group.includes(engineId) && counted.some((each) => group.includes(each)),
    );
    if (isTogether || isRelated) continue;
    counted.push(engineId);
    lastMs = crashedMs;
  }
  return counted.length;
}

/** One run of two reports of the same crash: that of the first copy. */
export function mergeRuns(left: CrashedRun, right: CrashedRun): CrashedRun {
  return {
    sentMs: Math.min(left.sentMs, right.sentMs),
    crashedMs: Math.min(left.crashedMs, right.crashedMs),
  };
}

/** Time of the last crash; -Infinity without any. */
export function lastCrashMs(runs: CrashedRuns): number {
  return Math.max(-Infinity, ...[...runs.values()].map(({ crashedMs }) => crashedMs));
}

/** Time from the first crash to the last one; 0 without any. */
export function crashSpanMs(runs: CrashedRuns): number {
  const times = [...runs.values()].map(({ crashedMs }) => crashedMs);
  return times.length === 0 ? 0 : Math.max(...times) - Math.min(...times);
}

function inOrderOfCrashes(runs: CrashedRuns): [string, CrashedRun][] {
  return [...runs].sort(([, left], [, right]) => left.crashedMs - right.crashedMs);
}
