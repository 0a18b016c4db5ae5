/** Checks that the routers of a soak together respected the rate limits of engines. */
import {
  LIMIT_IN_FLIGHT_MS,
  LIMIT_WINDOW_MS,
  firstExceededWindow,
  toleratedRequests,
} from '../src/lab/limit-tolerance.js';
import { type Arrival, CallArrivals } from './call-arrivals.js';
import type { ReportedLimit } from './messages.js';
import type { Violation, SoakRecord } from './oracle.js';
import { BOUNDS, SLACK_MS } from './router-process.js';

/** A span in which one incarnation of an engine announced a limit. */
interface LimitPeriod {
  readonly engineId: string;
  readonly perSecond: number;
  readonly fromMs: number;
  readonly untilMs: number;
}

/** All violations of rate limits. */
export function judgeLimits(record: SoakRecord): Violation[] {
  const arrivals = new CallArrivals(record);
  return limitPeriods(record.observations.limits).flatMap((period) =>
    judgePeriod(period, record, arrivals),
  );
}

/** Each limit lasts until the next report of its engine. */
function limitPeriods(limits: readonly ReportedLimit[]): LimitPeriod[] {
  return limits.flatMap(({ engineId, perSecond, atMs }, index) => {
    if (perSecond === undefined) return [];
    const next = limits.slice(index + 1).find((later) => later.engineId === engineId);
    return [{ engineId, perSecond, fromMs: atMs, untilMs: next?.atMs ?? Infinity }];
  });
}

function judgePeriod(period: LimitPeriod, record: SoakRecord, arrivals: CallArrivals): Violation[] {
  const { engineId, perSecond, fromMs } = period;
  const learnedMs = learnedByRouter(period, record, arrivals);
  const counted = arrivals.all.filter((arrival) => isCounted(arrival, period, learnedMs, arrivals));
  // On a busy machine requests sent over a longer time may arrive together.
  const allowed = toleratedRequests(perSecond, LIMIT_WINDOW_MS + SLACK_MS);
  const fullWindow = firstExceededWindow(
    counted.map(({ atMs }) => atMs),
    fromMs + BOUNDS.contact_ms + SLACK_MS,
    () => allowed,
  );
  if (!fullWindow) return [];
  const detail = `${fullWindow.requests} requests at ${engineId} with a limit of ${perSecond}/s`;
  return [{ promise: 'limit-kept', detail }];
}

/** When each router forwarded its first response with the limit. */
function learnedByRouter(
  { engineId, fromMs, untilMs }: LimitPeriod,
  { observations }: SoakRecord,
  arrivals: CallArrivals,
): ReadonlyMap<string, number> {
  const learnedMs = new Map<string, number>();
  for (const notice of observations.notices) {
    const isInPeriod =
      notice.engineId === engineId && notice.atMs >= fromMs && notice.atMs < untilMs;
    if (!isInPeriod || notice.limitPerSecond === undefined) continue;
    const call = arrivals.callOf(notice.requestId);
    if (call?.endedMs === undefined || call.status !== 200) continue;
    const earliest = learnedMs.get(call.router) ?? Infinity;
    learnedMs.set(call.router, Math.min(earliest, call.endedMs));
  }
  return learnedMs;
}

function isCounted(
  { call, engineId, atMs }: Arrival,
  period: LimitPeriod,
  learnedMs: ReadonlyMap<string, number>,
  arrivals: CallArrivals,
): boolean {
  if (engineId !== period.engineId || atMs >= period.untilMs) return false;
  if (atMs < (learnedMs.get(call.router) ?? Infinity) + LIMIT_IN_FLIGHT_MS + SLACK_MS) return false;
  const sinceMs = atMs - LIMIT_WINDOW_MS - BOUNDS.contact_ms - SLACK_MS;
  return !arrivals.wasInterrupted(call.router, sinceMs, atMs);
}
