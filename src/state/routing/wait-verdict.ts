/** Decides whether a request that waits, or would wait, is kept. Pure. */

/** Observations on one request. Times in milliseconds. */
export interface WaitContext {
  /** Requests that are served before this one. */
  readonly ahead: number;
  /** Requests that this router may send at once, as its share of the free capacity. */
  readonly ownRoom: number;
  /** Completions of this router's requests per second; above 0. */
  readonly servedPerSecond: number;
  /** Requests per second that arrive at this router. */
  readonly arrivalsPerSecond: number;
  /** Time until an engine with a pause or a rate limit accepts a request; 0 if none has one. */
  readonly engineWaitMs: number;
  /** Time until the latest send that meets the objective; negative afterwards. */
  readonly slackMs: number;
  /** Time to the first token after the send. */
  readonly firstTokenMs: number;
  /** Time until the deadline. */
  readonly remainingMs: number;
  /** Whether less urgent requests are served more often; see `KindShares`. */
  readonly isDisadvantaged: boolean;
}

/** What happens to the request. */
export type WaitVerdict = 'in-time' | 'late' | 'reject';

/**
 * Completions until the next free place in half of all cases: the wait for one of many independent
 * completions is exponentially distributed, with a median of ln 2.
 */
const MEDIAN_COMPLETIONS = Math.LN2;
/**
 * Share of the remaining time in which a late response must be expected to begin. The same margin
 * as for the end of generations in `rejections.ts`: the estimate lags behind the load.
 */
const LATE_SHARE = 0.5;

/** Median of the time until the request is sent, in milliseconds. */
export function expectedWaitMs(context: WaitContext): number {
  const { ahead, ownRoom, servedPerSecond, engineWaitMs } = context;
  const completions = Math.max(0, ahead + MEDIAN_COMPLETIONS - ownRoom);
  return Math.max(engineWaitMs, (completions * 1_000) / servedPerSecond);
}

/**
 * Whether a request may start to wait: it is expected to be sent in time for its objective, or before
 * its deadline if less urgent ones would otherwise be preferred.
 */
export function mayEnter(context: WaitContext): boolean {
  const { slackMs, firstTokenMs, remainingMs, isDisadvantaged } = context;
  const waitMs = expectedWaitMs(context);
  if (isDisadvantaged) return waitMs + firstTokenMs <= remainingMs * LATE_SHARE;
  return waitMs <= Math.min(slackMs, remainingMs - firstTokenMs);
}

/**
 * Decides on a request that waits. One that can't be in time here is rejected while its caller may
 * still be served in time elsewhere; after that it is kept only if a late response is likely.
 *
 * @param retryDelayMs shortest time after which a rejected caller returns
 */
export function judgeWait(context: WaitContext, retryDelayMs: number): WaitVerdict {
  const { slackMs, firstTokenMs, remainingMs } = context;
  if (mayEnter(context)) return 'in-time';
  if (slackMs >= retryDelayMs) return 'reject';
  const isLikely = lateWaitMs(context) + firstTokenMs <= remainingMs * LATE_SHARE;
  return isLikely ? 'late' : 'reject';
}

/** Median wait of a late request, which gets only what new requests leave. */
function lateWaitMs(context: WaitContext): number {
  const spare = context.servedPerSecond - context.arrivalsPerSecond;
  return spare > 0 ? expectedWaitMs({ ...context, servedPerSecond: spare }) : Infinity;
}
