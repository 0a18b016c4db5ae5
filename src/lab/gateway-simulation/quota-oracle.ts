/** Judges the limits of tenants: what engines ran for each tenant, summed over every window. */
import {
  type QuotaTolerance,
  type TenantLimit,
  chargeOf,
  excessAllowed,
} from '../../state/routing/quota/tenant-limit.js';
import type { GatewaySimulation, ObservedRequest } from './gateway-simulation.js';
import type { LimitChange } from './limit-change.js';
import type { ObservedRun } from './simulated-engine.js';
import {
  KEYS,
  ROUTERS,
  STREAM_TOKENS,
  SIMULATION_BOUNDS,
  routerName,
} from './simulation-fixtures.js';

/** A tenant that got more than its limit allows. */
export interface QuotaBreach {
  readonly rule: 'tenant-limit';
  readonly detail: string;
}

/** A time in which routers may go by a limit; times in milliseconds. */
interface LimitSpan {
  readonly limit: TenantLimit | undefined;
  readonly fromMs: number;
  readonly untilMs: number;
}

/** What a run was charged at least, and when it began. */
interface ChargedRun {
  readonly atMs: number;
  readonly request: ObservedRequest;
}

const MILLISECONDS_PER_SECOND = 1_000;
/** Steps in which a moment is looked for at which all routers have been in touch. */
const TOUCH_STEP_MS = 250;

/** Windows in which engines ran more for a tenant than is allowed; one breach for each tenant at most. */
export function judgeQuotas(world: GatewaySimulation, tolerance: QuotaTolerance): QuotaBreach[] {
  if (world.limitChanges.every(({ limit }) => limit === undefined)) return [];
  const requests = new Map(world.requests.map((request) => [request.id, request]));
  return [...KEYS.keys()].flatMap((tenant) => {
    const spans = spansOf(tenant, world);
    const runs = runsOf(tenant, world.observations.runs, requests);
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

/** The limits of a tenant, each until the next one binds all routers. */
function spansOf(tenant: string, world: GatewaySimulation): LimitSpan[] {
  const changes = world.limitChanges.filter((change) => change.tenant === tenant);
  const beginning: LimitChange = { tenant, limit: undefined, atMs: 0 };
  const all = changes[0]?.atMs === 0 ? changes : [beginning, ...changes];
  return all.map(({ limit, atMs }, index) => {
    const next = all[index + 1];
    return { limit, fromMs: atMs, untilMs: next ? bindingMs(next, world) : Infinity };
  });
}

/** A change binds once all routers have been in touch for so long after it was acknowledged. */
function bindingMs({ atMs }: LimitChange, world: GatewaySimulation): number {
  const { applyMs } = SIMULATION_BOUNDS;
  let inTouchSinceMs = atMs;
  for (let nowMs = atMs; nowMs <= world.now; nowMs += TOUCH_STEP_MS) {
    if (isAnyDisturbed(world, nowMs)) inTouchSinceMs = nowMs + TOUCH_STEP_MS;
    else if (nowMs - inTouchSinceMs >= applyMs) return nowMs;
  }
  return Infinity;
}

function isAnyDisturbed(world: GatewaySimulation, atMs: number): boolean {
  for (let index = 0; index < ROUTERS; index += 1) {
    if (world.disturbances.isDisturbed(routerName(index), atMs)) return true;
  }
  return false;
}
