/** Checks tenant limits against the requests that engines ran in each window. */
import {
  type QuotaTolerance,
  type TenantLimit,
  chargeOf,
  excessAllowed,
} from '../../state/routing/quota/tenant-limit.js';
import type { GatewaySimulation } from './gateway-simulation.js';
import type { ObservedRequest } from './simulation-records.js';
import type { LimitChange } from './limit-change.js';
import type { ObservedRun } from './simulated-engine.js';
import {
  KEYS,
  ROUTERS,
  STREAM_TOKENS,
  SIMULATION_BOUNDS,
  routerName,
} from './simulation-fixtures.js';

/** A tenant that exceeded its limit. */
export interface QuotaBreach {
  readonly rule: 'tenant-limit';
  readonly detail: string;
}

/** A period in which routers may apply a limit. Times in milliseconds. */
interface LimitSpan {
  readonly limit: TenantLimit | undefined;
  readonly fromMs: number;
  readonly untilMs: number;
}

/** A run with its start time and its request, which determines the charge. */
interface ChargedRun {
  readonly atMs: number;
  readonly request: ObservedRequest;
}

const MILLISECONDS_PER_SECOND = 1_000;
/** Step of the search for a time at which all routers have been connected for long enough. */
const CONNECTION_CHECK_STEP_MS = 250;

/** Returns at most one violation for each tenant: the first window above the limit. */
export function judgeQuotas(
  simulation: GatewaySimulation,
  tolerance: QuotaTolerance,
): QuotaBreach[] {
  if (simulation.configuration.limitChanges.every(({ limit }) => limit === undefined)) return [];
  const requests = new Map(simulation.requests.map((request) => [request.id, request]));
  return [...KEYS.keys()].flatMap((tenant) => {
    const spans = spansOf(tenant, simulation);
    const runs = runsOf(tenant, simulation.observations.runs, requests);
    return judgeTenant(tenant, runs, spans, tolerance);
  });
}

function judgeTenant(
  tenant: string,
  runs: readonly ChargedRun[],
  spans: readonly LimitSpan[],
  tolerance: QuotaTolerance,
): QuotaBreach[] {
  let first = 0;
  for (const [last, { atMs }] of runs.entries()) {
    const fromMs = atMs - tolerance.windowMs;
    while ((runs[first] as ChargedRun).atMs <= fromMs) first += 1;
    const limits = spans
      .filter((span) => span.fromMs <= atMs && span.untilMs >= fromMs)
      .map(({ limit }) => limit);
    const window = runs.slice(first, last + 1);
    if (limits.some((limit) => isWithin(window, limit, tolerance))) continue;
    const detail = `${tenant}: ${window.length} runs in the window until ${Math.round(atMs)} ms`;
    return [{ rule: 'tenant-limit', detail }];
  }
  return [];
}

function isWithin(
  window: readonly ChargedRun[],
  limit: TenantLimit | undefined,
  tolerance: QuotaTolerance,
): boolean {
  if (!limit) return true;
  const charged = window.reduce((sum, { request }) => sum + chargedFor(request, limit), 0);
  const allowed = (limit.ratePerSecond * tolerance.windowMs) / MILLISECONDS_PER_SECOND;
  return charged <= allowed + limit.burst + excessAllowed(limit, tolerance);
}

function chargedFor({ kind }: ObservedRequest, limit: TenantLimit): number {
  return chargeOf(limit, kind.startsWith('stream') ? STREAM_TOKENS : undefined);
}

function runsOf(
  tenant: string,
  runs: readonly ObservedRun[],
  requests: ReadonlyMap<string, ObservedRequest>,
): ChargedRun[] {
  return runs
    .flatMap(({ requestId, startedMs }) => {
      const request = requests.get(requestId);
      return request?.tenant === tenant ? [{ atMs: startedMs, request }] : [];
    })
    .sort((left, right) => left.atMs - right.atMs);
}

/** Limits of a tenant, each until the next one is effective on all routers. */
function spansOf(tenant: string, simulation: GatewaySimulation): LimitSpan[] {
  const changes = simulation.configuration.limitChanges.filter(
    (change) => change.tenant === tenant,
  );
  const initial: LimitChange = { tenant, limit: undefined, atMs: 0 };
  const all = changes[0]?.atMs === 0 ? changes : [initial, ...changes];
  return all.map(({ limit, atMs }, index) => {
    const next = all[index + 1];
    return { limit, fromMs: atMs, untilMs: next ? effectiveAtMs(next, simulation) : Infinity };
  });
}

/** A change is effective once all routers have been undisturbed for `applyMs` after it. */
function effectiveAtMs({ atMs }: LimitChange, simulation: GatewaySimulation): number {
  const { applyMs } = SIMULATION_BOUNDS;
  let connectedSinceMs = atMs;
  for (let nowMs = atMs; nowMs <= simulation.now; nowMs += CONNECTION_CHECK_STEP_MS) {
    if (isAnyDisturbed(simulation, nowMs)) connectedSinceMs = nowMs + CONNECTION_CHECK_STEP_MS;
    else if (nowMs - connectedSinceMs >= applyMs) return nowMs;
  }
  return Infinity;
}

function isAnyDisturbed(simulation: GatewaySimulation, atMs: number): boolean {
  for (let index = 0; index < ROUTERS; index += 1) {
    if (simulation.disturbances.isDisturbed(routerName(index), atMs)) return true;
  }
  return false;
}
