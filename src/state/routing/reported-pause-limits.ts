/** Limits how far the reports of other routers move the speed that is believed of an engine. Pure. */
import type { PauseEstimate } from './pause-window.js';

/** Believed speeds lie between these multiples of the median of the service. */
const MAXIMUM_SPEED_RATIO = 3;
const MINIMUM_SPEED_RATIO = 1 / 8;
/** A reported speed differs at most by this factor from that of this router's own responses. */
const OWN_TOLERANCE = 1.5;
/** Own responses of this age are as recent as any report. */
const OWN_PRECEDENCE_MS = 1_000;
/** The evidence of own responses must be this recent to contradict a report that an engine is slow. */
const OWN_EVIDENCE_MS = 1_500;
/**
 * A report that an engine is fast is doubted for this long after own responses that show otherwise,
 * since such a report attracts work. A report of ordinary speed is believed, so that an engine
 * recovers.
 */
const FAST_DOUBT_MS = 10_000;
const ORDINARY_SPEED_RATIO = 1.25;

/** Limits a pause by the median of the service and by this router's own responses. */
export function limitedEventMs(
  eventMs: number,
  own: PauseEstimate | undefined,
  medianMs: number,
  nowMs: number,
): number {
  const shortestMs = Math.max(medianMs / MAXIMUM_SPEED_RATIO, shortestByOwn(own, medianMs, nowMs));
  const longestMs = Math.min(medianMs / MINIMUM_SPEED_RATIO, longestByOwn(own, nowMs));
  return Math.min(Math.max(eventMs, shortestMs), Math.max(longestMs, shortestMs));
}

function shortestByOwn(own: PauseEstimate | undefined, medianMs: number, nowMs: number): number {
  if (!own) return 0;
  const ageMs = nowMs - own.observedMs;
  if (ageMs <= OWN_PRECEDENCE_MS) return own.pauseMs / OWN_TOLERANCE;
  if (ageMs > FAST_DOUBT_MS) return 0;
  return Math.min(own.pauseMs / OWN_TOLERANCE, medianMs / ORDINARY_SPEED_RATIO);
}

function longestByOwn(own: PauseEstimate | undefined, nowMs: number): number {
  if (!own || nowMs - own.earliestMs > OWN_EVIDENCE_MS) return Infinity;
  return own.pauseMs * OWN_TOLERANCE;
}
