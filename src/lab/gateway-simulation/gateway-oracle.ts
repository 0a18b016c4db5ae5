/** Judges a finished run of the simulated deployment by what callers, engines and operator saw. */
import { cacheSaltOf } from '../../state/routing/generation.js';
import { CONTACT_MS } from './disturbances.js';
import type { GatewaySimulation, ObservedRequest } from './gateway-simulation.js';
import type { ObservedRun } from './simulated-engine.js';
import { STREAM_PIECES, pieceOf, plainBodyOf } from './simulated-exchange.js';
import { type LimitBreach, judgeLimits } from './limit-oracle.js';
import { type NoticeBreach, judgeNotices } from './notice-oracle.js';
import { type QuotaBreach, judgeQuotas } from './quota-oracle.js';
import {
  ISOLATED_TENANT,
  SIMULATION_BOUNDS,
  SIMULATION_MODEL,
  SIMULATION_QUOTA_TOLERANCE,
} from './simulation-fixtures.js';

/** The rules that are judged. */
export type GatewayRule =
  | 'at-most-once'
  | 'promise-kept'
  | 'whole-answer'
  | 'stream-in-order'
  | 'key-removed'
  | 'engine-drained'
  | 'one-holder'
  | 'own-salt'
  | 'answered-in-time'
  | 'one-run-at-a-time'
  | 'weights-in-force'
  | 'weights-on-time'
  | 'crashes-bounded'
  | 'odd-entry-unused'
  | NoticeBreach['rule']
  | LimitBreach['rule']
  | QuotaBreach['rule'];

/** A broken rule. */
export interface RuleBreach {
  readonly rule: GatewayRule;
  readonly detail: string;
}

/** A request must be answered this long after its time is over. */
const ANSWER_SLACK_MS = 200;
const REQUEST_BUDGET_MS = 3_000;
/** A send that was on its way when the engine's word came. */
const DRAIN_SLACK_MS = 50;
/** The engine before must have stopped this soon after a request went on elsewhere. */
const OVERLAP_MS = 400;

/** After so many crashes a request is known to crash engines. */
const CRASHES_TO_KNOW = 3;
/** Engines that it may reach from then on. */
const MAXIMUM_LATE_CRASHES = 3;

/** All broken rules of a run. */
export function findBreaches(world: GatewaySimulation): RuleBreach[] {
  const runsById = groupRuns(world.observations.runs);
  const breaches = world.requests.flatMap((request) =>
    judgeRequest(request, runsById.get(request.id) ?? [], world),
  );
  return [
    ...breaches,
    ...judgeDrains(world),
    ...judgeOrders(world),
    ...judgeWeights(world),
    ...judgeBeginnings(world),
    ...judgeCrashes(world),
    ...judgeStrays(world),
    ...judgeNotices(world),
    ...judgeLimits(world),
    ...judgeQuotas(world, SIMULATION_QUOTA_TOLERANCE),
  ];
}

/** An entry of another writer names no engine to use: neither requests nor orders go there. */
function judgeStrays(world: GatewaySimulation): RuleBreach[] {
  return world.observations.strays.map(({ entry, router, atMs }) => ({
    rule: 'odd-entry-unused' as const,
    detail: `${router} used ${entry} at ${atMs} ms`,
  }));
}

/** A request under which three engines have crashed reaches at most three more, a while later. */
function judgeCrashes(world: GatewaySimulation): RuleBreach[] {
  const { crashes } = world.observations;
  return [...new Set(crashes.map(({ request }) => request))].flatMap((request) => {
    const own = crashes.filter((crash) => crash.request === request);
    const crashedMs = own.flatMap((crash) => crash.crashedMs ?? []).sort((a, b) => a - b);
    const knownMs = (crashedMs[CRASHES_TO_KNOW - 1] ?? Infinity) + CONTACT_MS;
    const late = own.filter(
      ({ arrivedMs, router }) =>
        arrivedMs > knownMs && !world.disturbances.isDisturbed(router, arrivedMs),
    );
    if (late.length <= MAXIMUM_LATE_CRASHES) return [];
    const detail = `${request}: ${late.length} arrivals later, ${crashedMs.length} crashes`;
    return [{ rule: 'crashes-bounded' as const, detail }];
  });
}

/** Once everything has come to rest, each engine has the newest weights. */
function judgeWeights(world: GatewaySimulation): RuleBreach[] {
  const behind = world.fleet.generationEngines.filter(
    (engine) => engine.weightsVersion < world.namedVersion,
  );
  return behind.map((engine) => ({
    rule: 'weights-in-force' as const,
    detail: `${engine.id} has ${engine.weightsVersion} of ${world.namedVersion}`,
  }));
}

/** No request begins on older weights a while after newer ones were named, counted over calm time. */
function judgeBeginnings(world: GatewaySimulation): RuleBreach[] {
  const namings = world.acknowledgements.filter(({ kind }) => kind === 'weights-named');
  return world.observations.runs.flatMap((run) => {
    if (run.salt === undefined || world.disturbances.isDisturbed(run.router, run.startedMs))
      return [];
    const newer = namings.find(({ subject }) => Number(subject) > run.weightsVersion);
    const calmSinceMs = world.disturbances.calmSinceMs(run.startedMs);
    if (!newer || calmSinceMs === undefined) return [];
    const lateMs = run.startedMs - Math.max(newer.atMs, calmSinceMs) - SIMULATION_BOUNDS.versionMs;
    if (lateMs <= 0) return [];
    const detail = `${run.requestId} began on ${run.weightsVersion} at ${run.engineId}, ${lateMs} ms late`;
    return [{ rule: 'weights-on-time' as const, detail }];
  });
}

function groupRuns(runs: readonly ObservedRun[]): Map<string, ObservedRun[]> {
  const byId = new Map<string, ObservedRun[]>();
  for (const run of runs) {
    const group = byId.get(run.requestId);
    if (group) group.push(run);
    else byId.set(run.requestId, [run]);
  }
  return byId;
}

function judgeRequest(
  request: ObservedRequest,
  runs: readonly ObservedRun[],
  world: GatewaySimulation,
): RuleBreach[] {
  return [
    ...judgeRunCount(request, runs),
    ...judgePromise(request, runs),
    ...judgeAnswer(request),
    ...judgeKey(request, runs, world),
    ...judgeSalts(request, runs),
    ...judgeTime(request, world),
    ...judgeOverlap(request, runs),
  ];
}

function mayRepeat(request: ObservedRequest): boolean {
  return request.kind === 'plain-safe' || request.kind === 'stream-resumable';
}

function judgeRunCount(request: ObservedRequest, runs: readonly ObservedRun[]): RuleBreach[] {
  if (mayRepeat(request) || runs.length <= 1) return [];
  return [
    { rule: 'at-most-once', detail: `${request.id} (${request.kind}) ran ${runs.length} times` },
  ];
}

/** A refusal with 503 says that nothing ran. */
function judgePromise(request: ObservedRequest, runs: readonly ObservedRun[]): RuleBreach[] {
  const isPromise = request.reply.own?.status === 503;
  if (!isPromise || runs.length === 0 || mayRepeat(request)) return [];
  return [{ rule: 'promise-kept', detail: `${request.id} was refused with 503 and ran` }];
}

function judgeAnswer(request: ObservedRequest): RuleBreach[] {
  const { reply, id, kind } = request;
  if (reply.status !== 200) return [];
  if (!kind.startsWith('stream')) {
    if (reply.ending !== 'whole' || reply.body === plainBodyOf(id)) return [];
    return [{ rule: 'whole-answer', detail: `${id}: "${reply.body}"` }];
  }
  const whole = Array.from({ length: STREAM_PIECES }, (_, index) => pieceOf(id, index + 1)).join(
    '',
  );
  const isFine = reply.ending === 'whole' ? reply.body === whole : whole.startsWith(reply.body);
  return isFine ? [] : [{ rule: 'stream-in-order', detail: `${id}: "${reply.body}"` }];
}

function judgeKey(
  request: ObservedRequest,
  runs: readonly ObservedRun[],
  world: GatewaySimulation,
): RuleBreach[] {
  return runs.flatMap((run) => {
    const removal = lastRemoval(request.key, run.startedMs, world);
    if (removal === undefined || request.sentMs <= removal + SIMULATION_BOUNDS.revokeMs) return [];
    const lateMs = Math.round(run.startedMs - removal);
    return [{ rule: 'key-removed' as const, detail: `${request.id} ran ${lateMs} ms after` }];
  });
}

/** When the key was last taken away, where it was not given back before the run. */
function lastRemoval(key: string, atMs: number, world: GatewaySimulation): number | undefined {
  const changes = world.acknowledgements.filter(
    (ack) => (ack.kind === 'key-removed' || ack.kind === 'key-added') && ack.subject === key,
  );
  const last = changes.filter((change) => change.atMs <= atMs).at(-1);
  return last?.kind === 'key-removed' ? last.atMs : undefined;
}

function judgeSalts(request: ObservedRequest, runs: readonly ObservedRun[]): RuleBreach[] {
  return runs.flatMap((run) => {
    if (run.salt === undefined) return [];
    const isolated = request.tenant === ISOLATED_TENANT ? request.tenant : undefined;
    const expected = cacheSaltOf(SIMULATION_MODEL, run.weightsVersion, isolated);
    if (run.salt === expected) return [];
    return [{ rule: 'own-salt' as const, detail: `${request.id}: ${run.salt} for ${expected}` }];
  });
}

function judgeTime(request: ObservedRequest, world: GatewaySimulation): RuleBreach[] {
  const isLong = world.now > request.sentMs + REQUEST_BUDGET_MS + ANSWER_SLACK_MS;
  if (!isLong || request.reply.ending !== undefined) return [];
  return [{ rule: 'answered-in-time', detail: `${request.id} has no end` }];
}

/** A request that goes on elsewhere must not be worked on at the engine before. */
function judgeOverlap(request: ObservedRequest, runs: readonly ObservedRun[]): RuleBreach[] {
  return runs.slice(1).flatMap((run, index) => {
    const before = runs[index] as ObservedRun;
    const endedMs = before.endedMs ?? Infinity;
    if (endedMs <= run.startedMs + OVERLAP_MS) return [];
    return [{ rule: 'one-run-at-a-time' as const, detail: `${request.id} at ${before.engineId}` }];
  });
}

function judgeDrains(world: GatewaySimulation): RuleBreach[] {
  const drains = world.acknowledgements.filter((ack) => ack.kind === 'engine-draining');
  return drains.flatMap((drain) => {
    const limitMs = drain.atMs + SIMULATION_BOUNDS.drainMs + DRAIN_SLACK_MS;
    const late = world.observations.runs.find(
      (run) =>
        run.engineId === drain.subject &&
        run.startedMs > limitMs &&
        !world.disturbances.isDisturbed(run.router, run.startedMs),
    );
    if (!late) return [];
    return [{ rule: 'engine-drained' as const, detail: `${late.requestId} at ${late.engineId}` }];
  });
}

/**
 * One token belongs to one holder, tokens never fall, and holders do not take turns at once. Orders are
 * judged as they were sent: one that the network holds up may arrive at a life that knows no token yet.
 */
function judgeOrders(world: GatewaySimulation): RuleBreach[] {
  const orders = [...world.observations.orders].sort((a, b) => a.sentMs - b.sentMs);
  return orders.slice(1).flatMap((order, index) => {
    const before = orders[index] as (typeof orders)[number];
    if (before.holder === order.holder) return [];
    const gapMs = order.sentMs - before.sentMs;
    if (order.token > before.token && gapMs >= SIMULATION_BOUNDS.leaseMs) return [];
    const detail = `${before.holder} (${before.token}), ${order.holder} (${order.token}), ${gapMs} ms`;
    return [{ rule: 'one-holder' as const, detail }];
  });
}
