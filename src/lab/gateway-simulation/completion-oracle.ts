/**
 * Checks that routers pass on the whole of each response that has begun, unless its engine, its
 * deadline, its caller or a fault of the router prevents it.
 */
import type { GatewaySimulation } from './gateway-simulation.js';
import type { ObservedRun } from './simulated-engine.js';
import { SIMULATION_BOUNDS } from './simulation-fixtures.js';
import type { ObservedRequest } from './simulation-records.js';

/** A response that has begun and that a router ended incomplete. */
export interface CompletionBreach {
  readonly rule: 'begun-response-completed';
  readonly detail: string;
}

/** Statuses with which a router itself responds to a request that it can't serve. */
const UNSERVED_STATUSES: ReadonlySet<number> = new Set([502, 503, 504]);

/**
 * Returns the responses that routers ended incomplete without a reason that the rule allows. A key
 * that is removed after the response has begun is no such reason.
 */
export function judgeCompletion(simulation: GatewaySimulation): CompletionBreach[] {
  const { runs, crashes } = simulation.observations;
  const disconnectedMs = firstDisconnects(simulation);
  const crashing = new Set(crashes.map(({ requestId }) => requestId));
  const undecidable = new Set(
    runs.filter(({ hasCrashedAtEnd }) => hasCrashedAtEnd).map(({ requestId }) => requestId),
  );
  return simulation.requests.flatMap((request) => {
    const { id, reply, sentMs, router } = request;
    const { endedMs } = reply;
    if (reply.ending !== 'aborted' || endedMs === undefined) return [];
    if ((disconnectedMs.get(id) ?? Infinity) <= endedMs) return [];
    // No engine would complete a request that crashes it.
    if (crashing.has(id) || undecidable.has(id)) return [];
    if (endedMs >= sentMs + timeLimitMs(request, endedMs, simulation)) return [];
    if (hasRouterFault(simulation, router, sentMs, endedMs)) return [];
    const engines = runs.filter(({ requestId }) => requestId === id).map(describeRun);
    const detail = `${id} (${request.kind}) at ${router}, sent at ${sentMs} ms, aborted at ${endedMs} ms; runs: ${engines.join(', ')}`;
    return [{ rule: 'begun-response-completed' as const, detail }];
  });
}

/**
 * Number of requests to which routers responded with an error although an engine would have
 * responded in time to a send that they gave up.
 */
export function countNeedlessFailures(simulation: GatewaySimulation): number {
  const { runs } = simulation.observations;
  const completeMs = new Map<string, number>();
  for (const { requestId, givenUp } of runs) {
    if (givenUp) completeMs.set(requestId, givenUp.completeMs);
  }
  return simulation.requests.filter((request) => {
    const { id, sentMs, reply } = request;
    if (!UNSERVED_STATUSES.has(reply.own?.status ?? 0)) return false;
    const limitMs = timeLimitMs(request, reply.endedMs ?? simulation.now, simulation);
    return (completeMs.get(id) ?? Infinity) < sentMs + limitMs;
  }).length;
}

/**
 * Time that a request has: what its caller allows, or the shortest time-out of its route that a
 * router may have applied to it before its end.
 */
export function timeLimitMs(
  { kind, sentMs, budgetMs }: ObservedRequest,
  endedMs: number,
  { configuration }: GatewaySimulation,
): number {
  const changes = configuration.routeChanges.filter((change) => change.kind === kind);
  const timeoutsMs = changes.flatMap(({ timeoutMs, atMs }, index) => {
    const replacedMs = changes[index + 1]?.atMs ?? Infinity;
    const mayApply = atMs <= endedMs && replacedMs + SIMULATION_BOUNDS.revokeMs >= sentMs;
    return mayApply && timeoutMs !== undefined ? [timeoutMs] : [];
  });
  return Math.min(budgetMs, ...timeoutsMs);
}

/** Time at which an engine first broke off its connection, by request. */
function firstDisconnects({ observations }: GatewaySimulation): Map<string, number> {
  const firstMs = new Map<string, number>();
  for (const { requestId, atMs } of observations.disconnects) {
    if (!firstMs.has(requestId)) firstMs.set(requestId, atMs);
  }
  return firstMs;
}

/**
 * Whether the router was down, paused, partitioned or cut off from engines during a request, or ended it
 * at the end of a planned stop, which has a rule of its own.
 */
function hasRouterFault(
  { disturbances, engineLinks }: GatewaySimulation,
  router: string,
  fromMs: number,
  untilMs: number,
): boolean {
  if (disturbances.wasInterrupted(router, fromMs, untilMs)) return true;
  if (disturbances.isAtEndOfStop(router, untilMs)) return true;
  if (disturbances.wasPartitioned(router, fromMs, untilMs)) return true;
  return engineLinks.wasCut(router, fromMs, untilMs);
}

function describeRun({ engineId, startedMs, endedMs, givenUp }: ObservedRun): string {
  const end = givenUp ? `given up at ${givenUp.atMs} ms` : `ended at ${endedMs} ms`;
  return `${engineId} from ${startedMs} ms, ${end}`;
}
