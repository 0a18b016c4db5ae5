/** Checks that routers without a path to the engines serve about as many calls as the others. */
import { HttpStatus } from '../src/protocol/http-status.js';
import type { CallRecord } from './callers.js';
import { CRASHING_BODY_PREFIX } from './messages.js';
import type { SoakRecord, Violation } from './oracle.js';
import { BOUNDS, type RouterProcess, SLACK_MS } from './router-process.js';

/** Time from the start of a cut until calls must be served. */
const DETECTION_MS = BOUNDS.contact_ms + SLACK_MS;
/** Routers that are cut off serve at least this share of what the others serve. */
const MINIMUM_SERVED_RATIO = 2 / 3;
/** Failures that are allowed, in total and as a share of all calls in the period. */
const ALLOWED_FAILURES = 10;
const ALLOWED_FAILURE_SHARE = 1 / 50;

/** Returns the cuts during which the routers that they affected served too few calls. */
export function judgeEngineCuts(
  { calls, routers }: SoakRecord,
  isDisturbed: (router: RouterProcess, fromMs: number, toMs: number) => boolean,
): Violation[] {
  const routersByAddress = new Map(routers.map((router) => [router.frontendAddress, router]));
  const routerOf = ({ router }: CallRecord): RouterProcess | undefined =>
    routersByAddress.get(router);
  const isCut = (call: CallRecord): boolean => routerOf(call)?.isCutAt(call.sentMs) ?? false;
  /** Whether the call's router was cut off long enough to have detected it. */
  const isLongCut = (call: CallRecord): boolean =>
    routerOf(call)?.engineCuts.some(
      ({ fromMs, untilMs }) =>
        fromMs + DETECTION_MS <= call.sentMs && call.sentMs < (untilMs ?? Infinity),
    ) ?? false;
  /** Whether some router has had a path to the engines for the time that others need to know it. */
  const hasRouterWithPath = (atMs: number): boolean =>
    routers.some(
      (router) =>
        !router.wasCutWithin(DETECTION_MS, atMs) &&
        // A router that stops forwards no further connections.
        !router.isStoppingAt(atMs) &&
        !isDisturbed(router, atMs, atMs),
    );
  return routers.flatMap((router) =>
    router.engineCuts.flatMap(({ mode, fromMs, untilMs }) => {
      const inPeriod = calls.filter((call) => {
        const own = routerOf(call);
        if (!own || call.status === HttpStatus.Unauthorized) return false;
        if (call.sentBody.startsWith(CRASHING_BODY_PREFIX)) return false;
        // A stopping router rejects what callers send to it that don't ask the directory.
        if (own.hasEndedAcceptance(call.sentMs)) return false;
        const isInPeriod = call.sentMs >= fromMs + DETECTION_MS && call.sentMs < (untilMs ?? 0);
        const { sentMs } = call;
        return isInPeriod && !isDisturbed(own, sentMs, sentMs) && hasRouterWithPath(sentMs);
      });
      const cut = inPeriod.filter((call) => isLongCut(call));
      const others = inPeriod.filter((call) => !isCut(call));
      if (!isTooLow(cut, others)) return [];
      const detail = `${router.options.name} (${mode} from ${fromMs}): served ${servedOf(cut)} of ${cut.length}, the others ${servedOf(others)} of ${others.length}`;
      return [{ promise: 'served-while-cut' as const, detail }];
    }),
  );
}

function isTooLow(cut: readonly CallRecord[], others: readonly CallRecord[]): boolean {
  if (cut.length === 0 || others.length === 0) return false;
  const failures = cut.length - servedOf(cut);
  const allowed = ALLOWED_FAILURES + (cut.length + others.length) * ALLOWED_FAILURE_SHARE;
  const ratio = servedOf(cut) / cut.length / (servedOf(others) / others.length);
  return failures > allowed && ratio < MINIMUM_SERVED_RATIO;
}

function servedOf(calls: readonly CallRecord[]): number {
  return calls.filter(({ status, isComplete }) => status === 200 && isComplete).length;
}
