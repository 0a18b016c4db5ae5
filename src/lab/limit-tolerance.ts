/** Tolerated request rates of rate-limited engines, shared by the checks of simulation and soak. */

/** Length of the windows over which requests are counted. */
export const LIMIT_WINDOW_MS = 4_000;
/** Requests in flight when a router learns of a limit arrive within this time. */
export const LIMIT_IN_FLIGHT_MS = 500;
/** A window may hold this factor of its limit, plus a fixed number of requests. */
const TOLERANCE_FACTOR = 1.5;
const TOLERANCE_REQUESTS = 5;
const MILLISECONDS_PER_SECOND = 1_000;

/** Maximum number of requests that an engine may receive within a time span. */
export function toleratedRequests(perSecond: number, spanMs: number): number {
  const allowed = (perSecond * spanMs) / MILLISECONDS_PER_SECOND;
  return Math.round(TOLERANCE_FACTOR * allowed + TOLERANCE_REQUESTS);
}

/** A window with more requests than allowed. */
export interface ExceededWindow {
  readonly requests: number;
  readonly allowed: number;
  /** End of the window. */
  readonly atMs: number;
}

/**
 * Finds the first window, ending at `fromMs` or later, with more requests than allowed at its end.
 *
 * @param arrivedMs arrival times of the requests, in any order
 * @param allowedAt allowed number of requests in a window that ends at the given time
 * @returns undefined if no window exceeds its allowance
 */
export function firstExceededWindow(
  arrivedMs: readonly number[],
  fromMs: number,
  allowedAt: (atMs: number) => number,
): ExceededWindow | undefined {
  const sortedArrivalsMs = [...arrivedMs].sort((left, right) => left - right);
  for (const atMs of sortedArrivalsMs.filter((arrivalMs) => arrivalMs >= fromMs)) {
    const window = sortedArrivalsMs.filter(
      (otherMs) => otherMs > atMs - LIMIT_WINDOW_MS && otherMs <= atMs,
    );
    const allowed = allowedAt(atMs);
    if (window.length > allowed) return { requests: window.length, allowed, atMs };
  }
  return undefined;
}
