/** Checks that all routers together respect the limits of requests per second of engines. */
import {
  LIMIT_IN_FLIGHT_MS,
  LIMIT_WINDOW_MS,
  firstExceededWindow,
  toleratedRequests,
} from '../limit-tolerance.js';
import { RECOVERY_MS } from './disturbances.js';
import type { GatewaySimulation } from './gateway-simulation.js';
import type { ObservedArrival, ObservedLimit } from './simulated-engine.js';

/** A violated engine limit. */
export interface LimitBreach {
  readonly rule: 'limit-kept';
  readonly detail: string;
}

/** A period in which an engine announces a limit without interruption. */
interface LimitedPeriod {
  /** Incarnation of the engine. */
  readonly engineId: string;
  readonly fromMs: number;
  /** Infinity if the period has not ended. */
  readonly untilMs: number;
  /** Limits of the period, in order of time. */
  readonly limits: readonly ObservedLimit[];
}

/** Returns at most one violation for each limited period of an engine. */
export function judgeLimits(simulation: GatewaySimulation): LimitBreach[] {
  return limitedPeriods(simulation.observations.limits).flatMap((period) =>
    judgePeriod(period, simulation),
  );
}

function limitedPeriods(changes: readonly ObservedLimit[]): LimitedPeriod[] {
  const engineIds = [...new Set(changes.map(({ engineId }) => engineId))];
  return engineIds.flatMap((engineId) =>
    periodsOf(
      engineId,
      changes.filter((change) => change.engineId === engineId),
    ),
  );
}

function periodsOf(engineId: string, changes: readonly ObservedLimit[]): LimitedPeriod[] {
  const periods: LimitedPeriod[] = [];
  let limits: ObservedLimit[] = [];
  const close = (untilMs: number): void => {
    const [first] = limits;
    if (first) periods.push({ engineId, fromMs: first.atMs, untilMs, limits });
    limits = [];
  };
  for (const change of changes) {
    if (change.perSecond === undefined) close(change.atMs);
    else limits.push(change);
  }
  close(Infinity);
  return periods;
}

/** Finds the first window of a period in which more requests arrived than allowed. */
function judgePeriod(period: LimitedPeriod, simulation: GatewaySimulation): LimitBreach[] {
  const firstNoticeMs = firstNoticeByRouter(period, simulation);
  const firstNamedMs = Math.min(Infinity, ...firstNoticeMs.values());
  const counted = simulation.observations.arrivals.filter((arrival) =>
    isCounted(arrival, period, firstNoticeMs, simulation),
  );
  const full = firstExceededWindow(
    counted.map(({ atMs }) => atMs),
    firstNamedMs + RECOVERY_MS,
    (atMs) => allowedRequests(period, atMs),
  );
  if (!full) return [];
  const { requests, allowed, atMs } = full;
  const detail = `${requests} requests at ${period.engineId} until ${atMs} ms, ${allowed} allowed`;
  return [{ rule: 'limit-kept', detail }];
}

/** Time of the first response with a limit that each router received in the period. */
function firstNoticeByRouter(
  { engineId, fromMs, untilMs }: LimitedPeriod,
  { observations }: GatewaySimulation,
): ReadonlyMap<string, number> {
  const firstNoticeMs = new Map<string, number>();
  for (const notice of observations.notices) {
    const { answeredMs, router, limitPerSecond } = notice;
    const isOfPeriod = notice.engineId === engineId && answeredMs >= fromMs && answeredMs < untilMs;
    if (!isOfPeriod || limitPerSecond === undefined || firstNoticeMs.has(router)) continue;
    firstNoticeMs.set(router, answeredMs);
  }
  return firstNoticeMs;
}

function isCounted(
  { engineId, router, atMs }: ObservedArrival,
  period: LimitedPeriod,
  firstNoticeMs: ReadonlyMap<string, number>,
  simulation: GatewaySimulation,
): boolean {
  if (engineId !== period.engineId || atMs >= period.untilMs) return false;
  if (atMs < (firstNoticeMs.get(router) ?? Infinity) + LIMIT_IN_FLIGHT_MS) return false;
  const sinceMs = atMs - LIMIT_WINDOW_MS - RECOVERY_MS;
  return (
    !simulation.disturbances.wasInterrupted(router, sinceMs, atMs) &&
    !simulation.disturbances.wasPartitioned(router, sinceMs, atMs)
  );
}

/** Uses the highest recent limit, since routers learn of a lower one only with a response. */
function allowedRequests({ limits }: LimitedPeriod, atMs: number): number {
  const sinceMs = atMs - LIMIT_WINDOW_MS - RECOVERY_MS;
  const recent = limits.filter((limit, index) => {
    const endMs = limits[index + 1]?.atMs ?? Infinity;
    return limit.atMs <= atMs && endMs > sinceMs;
  });
  const perSecond = Math.max(...recent.map((limit) => limit.perSecond ?? 0));
  return toleratedRequests(perSecond, LIMIT_WINDOW_MS);
}
