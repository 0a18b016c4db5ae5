/** Checks that routers respect the notices in engines' responses. */
import type { GatewaySimulation } from './gateway-simulation.js';
import type { ObservedArrival, ObservedNotice } from './simulated-engine.js';
import { SIMULATION_BOUNDS } from './simulation-fixtures.js';

/** A violated rule on engine notices. */
export interface NoticeBreach {
  readonly rule: 'leaving-engine-unused' | 'backoff-kept';
  readonly detail: string;
}

/** Requests in flight when an engine requests a backoff arrive within this time. */
const IN_FLIGHT_MS = 500;
/** Number of requests that a router may send to an engine during a backoff. */
const MAXIMUM_DURING_BACKOFF = 2;

/** Returns all violated rules on engine notices. */
export function judgeNotices(simulation: GatewaySimulation): NoticeBreach[] {
  const { notices } = simulation.observations;
  const sentMsById = new Map(simulation.requests.map(({ id, sentMs }) => [id, sentMs]));
  return notices.flatMap((notice) => [
    ...judgeLeaving(notice, sentMsById, simulation),
    ...judgeBackoff(notice, simulation),
  ]);
}

/** Requests sent after a router has learned of an engine's shutdown don't reach the engine. */
function judgeLeaving(
  notice: ObservedNotice,
  sentMsById: ReadonlyMap<string, number>,
  simulation: GatewaySimulation,
): NoticeBreach[] {
  if (!notice.isLeaving) return [];
  const limitMs = notice.answeredMs + SIMULATION_BOUNDS.drainMs;
  const late = arrivalsAfter(notice, simulation).find(
    ({ requestId, atMs }) =>
      (sentMsById.get(requestId) ?? -Infinity) > limitMs &&
      !simulation.disturbances.wasInterrupted(notice.router, notice.answeredMs, atMs),
  );
  if (!late) return [];
  const lateMs = Math.round(late.atMs - notice.answeredMs);
  const detail = `${late.requestId} reached ${late.engineId} from ${late.router} ${lateMs} ms after`;
  return [{ rule: 'leaving-engine-unused', detail }];
}

/** A router sends almost no requests to an engine during a backoff that it requested. */
function judgeBackoff(notice: ObservedNotice, simulation: GatewaySimulation): NoticeBreach[] {
  const { answeredMs, backoffMs, router, engineId } = notice;
  if (backoffMs === undefined) return [];
  const untilMs = answeredMs + backoffMs;
  if (simulation.disturbances.wasInterrupted(router, answeredMs, untilMs)) return [];
  const early = arrivalsAfter(notice, simulation).filter(
    ({ atMs }) => atMs > answeredMs + IN_FLIGHT_MS && atMs < untilMs,
  );
  if (early.length <= MAXIMUM_DURING_BACKOFF) return [];
  const detail = `${early.length} requests reached ${engineId} from ${router} in ${backoffMs} ms`;
  return [{ rule: 'backoff-kept', detail }];
}

function arrivalsAfter(
  { router, engineId, answeredMs }: ObservedNotice,
  { observations }: GatewaySimulation,
): ObservedArrival[] {
  return observations.arrivals.filter(
    (arrival) =>
      arrival.router === router && arrival.engineId === engineId && arrival.atMs > answeredMs,
  );
}
