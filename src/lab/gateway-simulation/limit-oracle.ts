/** Judges whether routers together kept to the limits on requests a second that engines had named. */
import {
  LIMIT_ON_THE_WAY_MS,
  LIMIT_WINDOW_MS,
  firstFullWindow,
  toleratedRequests,
} from '../limit-tolerance.js';
import { CONTACT_MS } from './disturbances.js';
import type { GatewaySimulation } from './gateway-simulation.js';
import type { ObservedArrival, ObservedLimit } from './simulated-engine.js';

/** A rule on limits of engines that was broken. */
export interface LimitBreach {
  readonly rule: 'limit-kept';
  readonly detail: string;
}

/** A time in which an engine names limits without a break. */
interface LimitedTime {
  /** Incarnation of the engine. */
  readonly engineId: string;
  readonly fromMs: number;
  /** Infinity where it goes on. */
  readonly untilMs: number;
  /** The limits of that time, in order. */
  readonly limits: readonly ObservedLimit[];
}

/** All limits that were passed, one for each time in which an engine named them. */
export function judgeLimits(world: GatewaySimulation): LimitBreach[] {
  return limitedTimes(world.observations.limits).flatMap((time) => judgeTime(time, world));
}

function limitedTimes(changes: readonly ObservedLimit[]): LimitedTime[] {
  const engineIds = [...new Set(changes.map(({ engineId }) => engineId))];
  return engineIds.flatMap((engineId) =>
    timesOf(
      engineId,
      changes.filter((change) => change.engineId === engineId),
    ),
  );
}

function timesOf(engineId: string, changes: readonly ObservedLimit[]): LimitedTime[] {
  const times: LimitedTime[] = [];
  let limits: ObservedLimit[] = [];
  const close = (untilMs: number): void => {
    const [first] = limits;
    if (first) times.push({ engineId, fromMs: first.atMs, untilMs, limits });
    limits = [];
  };
  for (const change of changes) {
    if (change.perSecond === undefined) close(change.atMs);
    else limits.push(change);
  }
  close(Infinity);
  return times;
}

/** The first window of a time in which more requests came than the limit lets through. */
function judgeTime(time: LimitedTime, world: GatewaySimulation): LimitBreach[] {
  const toldMs = firstToldByRouter(time, world);
  const firstNamedMs = Math.min(Infinity, ...toldMs.values());
  const counted = world.observations.arrivals.filter((arrival) =>
    isCounted(arrival, time, toldMs, world),
  );
  const full = firstFullWindow(
    counted.map(({ atMs }) => atMs),
    firstNamedMs + CONTACT_MS,
    (atMs) => allowedRequests(time, atMs),
  );
  if (!full) return [];
  const { requests, allowed, atMs } = full;
  const detail = `${requests} requests at ${time.engineId} until ${atMs} ms, ${allowed} allowed`;
  return [{ rule: 'limit-kept', detail }];
}

/** When each router took the first answer of that time. */
function firstToldByRouter(
  { engineId, fromMs, untilMs }: LimitedTime,
  { observations }: GatewaySimulation,
): ReadonlyMap<string, number> {
  const toldMs = new Map<string, number>();
  for (const notice of observations.notices) {
    const { answeredMs, router, limitPerSecond } = notice;
    const isOfTime = notice.engineId === engineId && answeredMs >= fromMs && answeredMs < untilMs;
    if (!isOfTime || limitPerSecond === undefined || toldMs.has(router)) continue;
    toldMs.set(router, answeredMs);
  }
  return toldMs;
}

function isCounted(
  { engineId, router, atMs }: ObservedArrival,
  time: LimitedTime,
  toldMs: ReadonlyMap<string, number>,
  world: GatewaySimulation,
): boolean {
  if (engineId !== time.engineId || atMs >= time.untilMs) return false;
  if (atMs < (toldMs.get(router) ?? Infinity) + LIMIT_ON_THE_WAY_MS) return false;
  const sinceMs = atMs - LIMIT_WINDOW_MS - CONTACT_MS;
  return (
    !world.disturbances.wasInterrupted(router, sinceMs, atMs) &&
    !world.disturbances.wasCutOff(router, sinceMs, atMs)
  );
}

/** By the highest limit that held lately: routers hear of a lower one by answers only. */
function allowedRequests({ limits }: LimitedTime, atMs: number): number {
  const sinceMs = atMs - LIMIT_WINDOW_MS - CONTACT_MS;
  const lately = limits.filter((limit, index) => {
    const endMs = limits[index + 1]?.atMs ?? Infinity;
    return limit.atMs <= atMs && endMs > sinceMs;
  });
  const perSecond = Math.max(...lately.map((limit) => limit.perSecond ?? 0));
  return toleratedRequests(perSecond, LIMIT_WINDOW_MS);
}
