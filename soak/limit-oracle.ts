/** Judges whether the routers of a soak together kept to the limits that engines named. */
import {
  LIMIT_ON_THE_WAY_MS,
  LIMIT_WINDOW_MS,
  firstFullWindow,
  toleratedRequests,
} from '../src/lab/limit-tolerance.js';
import { type Arrival, CallArrivals } from './call-arrivals.js';
import type { ReportedLimit } from './messages.js';
import type { Breach, SoakRecord } from './oracle.js';
import { BOUNDS, SLACK_MS } from './router-process.js';

/** A limit that one life of an engine named for a while. */
interface LimitedTime {
  readonly engineId: string;
  readonly perSecond: number;
  readonly fromMs: number;
  readonly untilMs: number;
}

/** All limits that were passed. */
export function judgeLimits(record: SoakRecord): Breach[] {
  const arrivals = new CallArrivals(record);
  return limitedTimes(record.observations.limits).flatMap((time) =>
    judgeTime(time, record, arrivals),
  );
}

/** Each limit until the engine's next word. */
function limitedTimes(limits: readonly ReportedLimit[]): LimitedTime[] {
  return limits.flatMap(({ engineId, perSecond, atMs }, index) => {
    if (perSecond === undefined) return [];
    const next = limits.slice(index + 1).find((later) => later.engineId === engineId);
    return [{ engineId, perSecond, fromMs: atMs, untilMs: next?.atMs ?? Infinity }];
  });
}

function judgeTime(time: LimitedTime, record: SoakRecord, arrivals: CallArrivals): Breach[] {
  const { engineId, perSecond, fromMs } = time;
  const toldMs = toldByRouter(time, record, arrivals);
  const counted = arrivals.all.filter((arrival) => isCounted(arrival, time, toldMs, arrivals));
  // On a machine that is busy with many processes requests of a longer time may arrive together.
  const allowed = toleratedRequests(perSecond, LIMIT_WINDOW_MS + SLACK_MS);
  const full = firstFullWindow(
    counted.map(({ atMs }) => atMs),
    fromMs + BOUNDS.contact_ms + SLACK_MS,
    () => allowed,
  );
  if (!full) return [];
  const detail = `${full.requests} requests at ${engineId}, which takes ${perSecond} a second`;
  return [{ promise: 'limit-kept', detail }];
}

/** When each router passed the first answer with the limit on. */
function toldByRouter(
  { engineId, fromMs, untilMs }: LimitedTime,
  { observations }: SoakRecord,
  arrivals: CallArrivals,
): ReadonlyMap<string, number> {
  const toldMs = new Map<string, number>();
  for (const notice of observations.notices) {
    const isOfTime = notice.engineId === engineId && notice.atMs >= fromMs && notice.atMs < untilMs;
    if (!isOfTime || notice.limitPerSecond === undefined) continue;
    const call = arrivals.callOf(notice.requestId);
    if (call?.endedMs === undefined || call.status !== 200) continue;
    const present = toldMs.get(call.router) ?? Infinity;
    toldMs.set(call.router, Math.min(present, call.endedMs));
  }
  return toldMs;
}

function isCounted(
  { call, engineId, atMs }: Arrival,
  time: LimitedTime,
  toldMs: ReadonlyMap<string, number>,
  arrivals: CallArrivals,
): boolean {
  if (engineId !== time.engineId || atMs >= time.untilMs) return false;
  if (atMs < (toldMs.get(call.router) ?? Infinity) + LIMIT_ON_THE_WAY_MS + SLACK_MS) return false;
  const sinceMs = atMs - LIMIT_WINDOW_MS - BOUNDS.contact_ms - SLACK_MS;
  return !arrivals.wasInterrupted(call.router, sinceMs, atMs);
}
