/**
 * Identifies one incarnation of an engine: one run of its process between two starts. A restarted
 * engine keeps its name but loses its cache and its state, so state recorded for one incarnation
 * must not be applied to another.
 */

/** An engine's name and the start time of its process, which together identify one incarnation. */
export interface EngineIncarnation {
  /** Platform identifier; unchanged by restarts. */
  readonly name: string;
  /** Start time in Unix milliseconds, by the engine's clock; undefined if unknown. */
  readonly startedAtMs: number | undefined;
}

/** Upper limit of the clock difference between a router and an engine. */
export const CLOCK_TOLERANCE_MS = 500;

const INCARNATION_WITH_START = /^(.+)@(\d{1,16})$/;

/** Formats an incarnation as `name@start`, or as the name alone if the start time is unknown. */
export function incarnationOf(name: string, startedAtMs: number | undefined): string {
  return startedAtMs === undefined ? name : `${name}@${startedAtMs}`;
}

/** Parses an identifier produced by {@link incarnationOf}. */
export function parseIncarnation(incarnation: string): EngineIncarnation {
  const match = INCARNATION_WITH_START.exec(incarnation);
  if (!match?.[1] || !match[2]) return { name: incarnation, startedAtMs: undefined };
  return { name: match[1], startedAtMs: Number(match[2]) };
}

/** Whether two start times are both known and differ. */
export function isDifferentIncarnation(
  leftMs: number | undefined,
  rightMs: number | undefined,
): boolean {
  return leftMs !== undefined && rightMs !== undefined && leftMs !== rightMs;
}

/**
 * Whether a start time is later than the current one. Any known time is later than an unknown one.
 */
export function isLaterIncarnation(
  candidateMs: number | undefined,
  currentMs: number | undefined,
): boolean {
  return candidateMs !== undefined && candidateMs > (currentMs ?? -Infinity);
}
