/**
 * Checks that routers that are cut off from all engines serve about as many requests as the others.
 */
import { HttpStatus } from '../../protocol/http-status.js';
import type { EngineCutPeriod } from './engine-links.js';
import type { GatewaySimulation } from './gateway-simulation.js';
import type { RecordedReply } from './recorded-reply.js';
import type { ObservedRequest } from './simulation-records.js';

/** A cut during which the routers that it affected served too few requests. */
export interface EnginePathBreach {
  readonly rule: 'served-while-cut';
  readonly detail: string;
}

/** Time from the start of a cut until requests must be served. */
export const DETECTION_MS = 3_000;
/** Routers that are cut off serve at least this share of what the others serve. */
const MINIMUM_SERVED_RATIO = 2 / 3;
/** Failures that are allowed, in total and as a share of all requests in the period. */
const ALLOWED_FAILURES = 10;
const ALLOWED_FAILURE_SHARE = 1 / 50;

/** Returns the cuts during which too few requests were served. */
export function judgeEnginePaths(simulation: GatewaySimulation): EnginePathBreach[] {
  return simulation.engineLinks.periods.flatMap((period) => judgePeriod(period, simulation));
}

function judgePeriod(period: EngineCutPeriod, simulation: GatewaySimulation): EnginePathBreach[] {
  const requests = requestsIn(period, simulation);
  const { periods } = simulation.engineLinks;
  const ownCut = ({ router, sentMs }: ObservedRequest): EngineCutPeriod | undefined =>
    periods.find(
      (each) => each.router === router && each.fromMs <= sentMs && sentMs < each.untilMs,
    );
  const others = requests.filter((request) => ownCut(request) === undefined);
  // Other routers may have been cut off too recently to have detected it.
  const cut = requests.filter((request) => {
    const { fromMs = Infinity } = ownCut(request) ?? {};
    return request.sentMs >= fromMs + DETECTION_MS;
  });
  if (cut.length === 0 || others.length === 0) return [];
  const failures = cut.length - servedOf(cut);
  if (failures <= ALLOWED_FAILURES + requests.length * ALLOWED_FAILURE_SHARE) return [];
  const ratio = servedOf(cut) / cut.length / (servedOf(others) / others.length);
  if (!(ratio < MINIMUM_SERVED_RATIO)) return [];
  const detail = `${period.router} (${period.cut} from ${period.fromMs} ms): served ${servedOf(cut)} of ${cut.length}, the others ${servedOf(others)} of ${others.length}`;
  return [{ rule: 'served-while-cut', detail }];
}

/**
 * Requests with a valid key that arrived from the detection time until the end of the cut, at
 * routers that were neither disturbed nor about to stop. Meanwhile some router had a path to the
 * engines and had had it for the detection time.
 */
function requestsIn(
  { fromMs, untilMs }: EngineCutPeriod,
  simulation: GatewaySimulation,
): ObservedRequest[] {
  return simulation.requests.filter(
    ({ router, sentMs, kind, reply }) =>
      reply.status !== HttpStatus.Unauthorized &&
      !(kind.startsWith('stream') && werePublished(simulation, sentMs)) &&
      sentMs >= fromMs + DETECTION_MS &&
      sentMs < untilMs &&
      !simulation.disturbances.isDisturbed(router, sentMs) &&
      !simulation.disturbances.isStopping(router, sentMs) &&
      hasRouterWithPath(simulation, sentMs),
  );
}

/**
 * Whether new weights were published. The entries of simulated engines don't list the weights that
 * they have loaded, so a router that restarts learns of them only from engines that it can reach, and
 * rejects streams until then.
 */
function werePublished({ acknowledgements }: GatewaySimulation, atMs: number): boolean {
  return acknowledgements.some(
    (change) => change.kind === 'weights-published' && change.atMs <= atMs,
  );
}

function hasRouterWithPath(
  { routerNames, engineLinks, disturbances }: GatewaySimulation,
  atMs: number,
): boolean {
  return routerNames.some((router) => {
    const isCut = engineLinks.periods.some(
      (each) => each.router === router && each.fromMs <= atMs && atMs < each.untilMs + DETECTION_MS,
    );
    // A router that stops forwards no further connections.
    const isStopping = disturbances.isStopping(router, atMs);
    return !isCut && !isStopping && !disturbances.isDisturbed(router, atMs);
  });
}

function servedOf(requests: readonly ObservedRequest[]): number {
  return requests.filter(({ reply }) => isAnswered(reply)).length;
}

function isAnswered({ status, ending }: RecordedReply): boolean {
  return status === 200 && (ending === 'whole' || ending === 'closed');
}
