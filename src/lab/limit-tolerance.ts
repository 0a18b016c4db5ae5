/** What may reach an engine that names a limit on requests a second; simulation and soak judge by the same. */

/** Requests are counted over windows of this length, in milliseconds. */
export const LIMIT_WINDOW_MS = 4_000;
/** Requests that were on their way when a router heard of a limit arrive within this time, in milliseconds. */
export const LIMIT_ON_THE_WAY_MS = 500;
/** So much of what a limit allows in a window may come, and so many requests on top. */
const TOLERATED_SHARE = 1.5;
const TOLERATED_REQUESTS = 5;
const MILLISECONDS_PER_SECOND = 1_000;

/** Requests that may reach an engine within a span. */
export function toleratedRequests(perSecond: number, spanMs: number): number {
  const allowed = (perSecond * spanMs) / MILLISECONDS_PER_SECOND;
  return Math.round(TOLERATED_SHARE * allowed + TOLERATED_REQUESTS);
}

/** A window that holds more requests than are allowed. */
export interface FullWindow {
  readonly requests: number;
  readonly allowed: number;
  /** When it ends. */
  readonly atMs: number;
}

/**
 * Requests of the first window, ending at `fromMs` or later, that holds more than what is allowed when it ends.
 *
 * @param arrivedMs moments of the requests, in any order
 * @returns undefined where no window holds more
 */
export function firstFullWindow(
  arrivedMs: readonly number[],
  fromMs: number,
  allowedAt: (atMs: number) => number,
): FullWindow | undefined {
  const moments = [...arrivedMs].sort((left, right) => left - right);
  for (const atMs of moments.filter((moment) => moment >= fromMs)) {
    const window = moments.filter((each) => each > atMs - LIMIT_WINDOW_MS && each <= atMs);
    const allowed = allowedAt(atMs);
    if (window.length > allowed) return { requests: window.length, allowed, atMs };
  }
  return undefined;
}
