/** Checks that requests that routers have accepted get complete responses. */
import type { CallRecord } from './callers.js';
import type { SoakRecord, Violation } from './oracle.js';
import { SHORT_STREAM } from './stream-events.js';
import { BOUNDS, DisturbanceKind, type RouterProcess, SLACK_MS } from './router-process.js';

/** A router may end a request this long before the caller sees its time pass. */
const DEADLINE_SLACK_MS = 100;
/** A connection may close without a response this soon after a request that no engine received. */
export const LOSS_SLACK_MS = 400;
/** Time until the soak learns that the process of an engine has ended. */
const EXIT_DELAY_MS = 300;
/** Time after a cut in which a router may still send through other routers. */
const DETECTION_MS = BOUNDS.contact_ms + SLACK_MS;
/** Configurations that were replaced this long before a request may still apply to it. */
const CONFIGURATION_AGE_MS = BOUNDS.revoke_ms + SLACK_MS;

/**
 * Returns the calls that ended without a complete response although no engine broke off, no time
 * had passed, and their router was neither interrupted nor cut off from engines.
 */
export function judgeCompletion(record: SoakRecord): Violation[] {
  const { calls, observations, routers } = record;
  const routersByAddress = new Map(routers.map((router) => [router.frontendAddress, router]));
  const crashing = new Set(observations.crashes.map(({ requestId }) => requestId));
  const runs = groupBy(observations.runs, ({ requestId }) => requestId);
  const runEnds = new Map(
    observations.runEnds.map((end) => [`${end.requestId} ${end.engineId}`, end]),
  );
  return calls.flatMap((call) => {
    const { id, sentMs, endedMs = Infinity, failure } = call;
    const own = runs.get(id) ?? [];
    const router = routersByAddress.get(call.router);
    if (!router || !isUnanswered(call, own.length)) return [];
    if (crashing.has(id) || endedMs - sentMs >= timeLimitMs(record, call, endedMs)) return [];
    if (hadRouterFault(record, router, sentMs, endedMs)) return [];
    // The rule on planned stops judges long streams that a router cuts at its end.
    if (call.shape !== SHORT_STREAM && router.isInLastSixthOfStop(endedMs)) return [];
    const isBrokenOff = own.some(({ engineId }) => {
      // An engine that has ended may report no end.
      const end = runEnds.get(`${id} ${engineId}`);
      return !end || end.isBrokenOff || hadEngineFault(record, engineId, sentMs, endedMs);
    });
    if (isBrokenOff) return [];
    const engines = own.map(
      ({ engineId, startedMs }) => `${engineId} after ${startedMs - sentMs} ms`,
    );
    const detail = `${id} (${call.kind}) at ${router.options.name}: status ${call.status}, ${failure} after ${endedMs - sentMs} ms, sent at ${sentMs}; at ${engines.join(', ')}`;
    return [{ promise: 'response-completed' as const, detail }];
  });
}

/** Whether a router accepted a call and ended it, before its deadline, without a whole response. */
function isUnanswered({ failure, sentMs, endedMs }: CallRecord, runCount: number): boolean {
  if (failure === undefined || failure === 'deadline' || endedMs === undefined) return false;
  if (runCount > 0) return true;
  return !failure.startsWith('connect') && endedMs - sentMs > LOSS_SLACK_MS;
}

/** Whether the router of a call, or one through which it may have sent it, was faulty. */
function hadRouterFault(
  { routers }: SoakRecord,
  router: RouterProcess,
  fromMs: number,
  toMs: number,
): boolean {
  if (wasFaulty(router, fromMs, toMs)) return true;
  const isForwarding = router.wasCutWithin(DETECTION_MS, fromMs);
  return isForwarding && routers.some((each) => wasFaulty(each, fromMs, toMs));
}

/** Shortest time-out of a route that may apply to a call, in milliseconds. */
export function timeLimitMs(
  { observations }: SoakRecord,
  { sentMs }: CallRecord,
  endedMs: number,
): number {
  const changes = observations.routeTimeouts;
  const applicable = changes.filter(({ atMs }, index) => {
    const replacedMs = changes[index + 1]?.atMs ?? Infinity;
    return atMs <= endedMs && replacedMs + CONFIGURATION_AGE_MS >= sentMs;
  });
  return Math.min(...applicable.map(({ timeoutMs }) => timeoutMs)) - DEADLINE_SLACK_MS;
}

/** Whether a router was down, frozen, stopped past its grace or cut off from engines in a span. */
function wasFaulty(router: RouterProcess, fromMs: number, toMs: number): boolean {
  const overlaps = (startedMs: number, untilMs: number | undefined): boolean =>
    startedMs <= toMs && fromMs <= (untilMs ?? Infinity);
  const wasInterrupted = router.disturbances.some(
    ({ kind, fromMs: startedMs, untilMs }) =>
      kind !== DisturbanceKind.StoreLink && overlaps(startedMs, untilMs),
  );
  const wasCut = router.engineCuts.some((cut) => overlaps(cut.fromMs, cut.untilMs));
  const graceMs = BOUNDS.grace_s * 1_000;
  const wasStopped = router.stops.some(
    (atMs) => fromMs <= atMs + graceMs && toMs >= atMs + graceMs - DEADLINE_SLACK_MS,
  );
  return wasInterrupted || wasCut || wasStopped;
}

/** Whether an engine's process ended, or the link to it was faulty, in a span. */
export function hadEngineFault(
  { observations }: SoakRecord,
  engineId: string,
  fromMs: number,
  toMs: number,
): boolean {
  const [name] = engineId.split('@');
  const hasEnded = observations.engineExits.some(
    (exit) => exit.name === name && fromMs <= exit.atMs && exit.atMs <= toMs + EXIT_DELAY_MS,
  );
  if (hasEnded) return true;
  return observations.engineFaults.some(
    ({ linkTo, fromMs: startedMs, untilMs }) =>
      linkTo === name && startedMs <= toMs && fromMs <= untilMs + SLACK_MS,
  );
}

export function groupBy<Item>(
  items: readonly Item[],
  keyOf: (item: Item) => string,
): Map<string, Item[]> {
  const groups = new Map<string, Item[]>();
  for (const item of items) {
    const group = groups.get(keyOf(item));
    if (group) group.push(item);
    else groups.set(keyOf(item), [item]);
  }
  return groups;
}
