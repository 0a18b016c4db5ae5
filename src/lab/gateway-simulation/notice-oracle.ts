/** Judges whether routers kept to what engines had told them of themselves. */
import type { GatewaySimulation } from './gateway-simulation.js';
import type { ObservedArrival, ObservedNotice } from './simulated-engine.js';
import { SIMULATION_BOUNDS } from './simulation-fixtures.js';

/** A rule on what engines say of themselves that was broken. */
export interface NoticeBreach {
  readonly rule: 'leaving-engine-unused' | 'backoff-kept';
  readonly detail: string;
}

/** Requests that were on their way when an engine asked for a pause arrive within this time. */
const ON_THE_WAY_MS = 500;
/** Requests that a router may send to an engine all the same while a pause lasts. */
const MAXIMUM_IN_PAUSE = 2;

/** All broken rules on what engines say of themselves. */
export function judgeNotices(world: GatewaySimulation): NoticeBreach[] {
  const { notices } = world.observations;
  const sentMsById = new Map(world.requests.map(({ id, sentMs }) => [id, sentMs]));
  return notices.flatMap((notice) => [
    ...judgeLeaving(notice, sentMsById, world),
    ...judgeBackoff(notice, world),
  ]);
}

/** What callers send a while after a router has heard that an engine leaves does not reach that engine. */
function judgeLeaving(
  notice: ObservedNotice,
  sentMsById: ReadonlyMap<string, number>,
  world: GatewaySimulation,
): NoticeBreach[] {
  if (!notice.isLeaving) return [];
  const limitMs = notice.answeredMs + SIMULATION_BOUNDS.drainMs;
  const late = arrivalsAfter(notice, world).find(
    ({ requestId, atMs }) =>
      (sentMsById.get(requestId) ?? -Infinity) > limitMs &&
      !world.disturbances.wasInterrupted(notice.router, notice.answeredMs, atMs),
  );
  if (!late) return [];
  const lateMs = Math.round(late.atMs - notice.answeredMs);
  const detail = `${late.requestId} reached ${late.engineId} from ${late.router} ${lateMs} ms after`;
  return [{ rule: 'leaving-engine-unused', detail }];
}

/** An engine that asked a router for a pause gets hardly a request of it until the pause is over. */
function judgeBackoff(notice: ObservedNotice, world: GatewaySimulation): NoticeBreach[] {
  const { answeredMs, backoffMs, router, engineId } = notice;
  if (backoffMs === undefined) return [];
  const untilMs = answeredMs + backoffMs;
  if (world.disturbances.wasInterrupted(router, answeredMs, untilMs)) return [];
  const early = arrivalsAfter(notice, world).filter(
    ({ atMs }) => atMs > answeredMs + ON_THE_WAY_MS && atMs < untilMs,
  );
  if (early.length <= MAXIMUM_IN_PAUSE) return [];
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
