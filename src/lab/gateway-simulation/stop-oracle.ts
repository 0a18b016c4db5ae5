/** Checks that planned stops of routers lose no request that they have read. */
import { timeLimitMs } from './completion-oracle.js';
import type { PlannedStop } from './disturbances.js';
import type { GatewaySimulation } from './gateway-simulation.js';
import type { ObservedRun } from './simulated-engine.js';
import type { ObservedRequest } from './simulation-records.js';

/** A request that was lost at a planned stop. */
export interface StopBreach {
  readonly rule: 'served-at-stop';
  readonly detail: string;
}

/** Time without contact after which a fault is noticed; a fault that long before a request counts. */
const CONTACT_MS = 3_000;
/** A connection may end without a response this soon after a request that no engine received. */
const LOSS_SLACK_MS = 400;
/** Time after the grace period in which a connection that ends still counts. */
const AFTER_GRACE_MS = 1_000;
/** A request sent until this long after the signal may be cut while its engine is at work at the end. */
const EXCUSED_UNTIL_MS = 3_000;
const LAST_SIXTH = 5 / 6;

/**
 * Returns the requests whose connections ended without a complete response around the planned stop of
 * their router, unless the engine broke off, the time of the request had passed, an unplanned fault was
 * near, or the engine "was still at work in the last sixth of `grace_s` on a request sent no later than 3 s
 * after the SIGTERM".
 */
export function judgeStops(simulation: GatewaySimulation): StopBreach[] {
  const { disturbances, observations, requests } = simulation;
  return requests.flatMap((request) => {
    const { id, kind, router, sentMs, readMs, reply } = request;
    const { endedMs } = reply;
    if (reply.ending !== 'aborted' || endedMs === undefined || readMs === undefined) return [];
    const stop = disturbances.plannedStops.find(
      (each) =>
        each.router === router &&
        each.sentMs <= endedMs &&
        endedMs <= each.sentMs + each.graceMs + AFTER_GRACE_MS,
    );
    const runs = observations.runs.filter(({ requestId }) => requestId === id);
    const wasTaken = runs.length > 0 || endedMs - sentMs > LOSS_SLACK_MS;
    if (!stop || !wasTaken || isAtWorkInLastSixth(request, runs, stop)) return [];
    if (hasOtherCause(request, endedMs, simulation)) return [];
    const engines = runs.map(({ engineId, startedMs }) => `${engineId} from ${startedMs} ms`);
    const detail = `${id} (${kind}) at ${router}, stopped at ${stop.sentMs} ms: sent at ${sentMs} ms, read at ${readMs} ms, aborted at ${endedMs} ms; runs: ${engines.join(', ')}`;
    return [{ rule: 'served-at-stop' as const, detail }];
  });
}

function isAtWorkInLastSixth(
  { sentMs }: ObservedRequest,
  runs: readonly ObservedRun[],
  { sentMs: stopMs, graceMs }: PlannedStop,
): boolean {
  if (sentMs > stopMs + EXCUSED_UNTIL_MS) return false;
  return runs.some(
    ({ startedMs, endedMs = Infinity }) =>
      startedMs <= stopMs + graceMs && endedMs >= stopMs + graceMs * LAST_SIXTH,
  );
}

/** Whether an engine, the time of the request or an unplanned fault explains its end. */
function hasOtherCause(
  request: ObservedRequest,
  endedMs: number,
  simulation: GatewaySimulation,
): boolean {
  const { disturbances, engineLinks, observations } = simulation;
  const { id, router, sentMs } = request;
  if (endedMs >= sentMs + timeLimitMs(request, endedMs, simulation)) return true;
  if (observations.crashes.some(({ requestId }) => requestId === id)) return true;
  const isBrokenOff = observations.disconnects.some(
    ({ requestId, atMs }) => requestId === id && atMs < endedMs,
  );
  // A stream without a length ends for its router as one that a crash of its engine cuts off.
  const isUndecidable = observations.runs.some(
    ({ requestId, hasCrashedAtEnd }) => requestId === id && hasCrashedAtEnd,
  );
  if (isBrokenOff || isUndecidable) return true;
  const fromMs = sentMs - CONTACT_MS;
  if (disturbances.wasDisrupted(router, fromMs, endedMs)) return true;
  if (disturbances.wasPartitioned(router, fromMs, endedMs)) return true;
  return engineLinks.wasCut(router, fromMs, endedMs);
}
