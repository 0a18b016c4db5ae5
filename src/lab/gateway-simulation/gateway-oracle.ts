/** Checks a finished run against the rules, by what callers, engines and the operator observed. */
import { type CompletionBreach, judgeCompletion } from './completion-oracle.js';
import { REQUEST_CRASHES_ENGINES } from '../../coordination/gateway/permanent-rejections.js';
import { RECOVERY_MS } from './disturbances.js';
import type { GatewaySimulation } from './gateway-simulation.js';
import type { ObservedRequest } from './simulation-records.js';
import { CrashCause, type ObservedCrash, type ObservedRun } from './simulated-engine.js';
import { STREAM_EVENTS, parseStream, streamEventOf, plainBodyOf } from './simulated-exchange.js';
import { type EnginePathBreach, judgeEnginePaths } from './engine-path-oracle.js';
import { type FallBreach, judgeFalls } from './fall-oracle.js';
import { type IsolationBreach, judgeIsolation } from './isolation-oracle.js';
import { type LimitBreach, judgeLimits } from './limit-oracle.js';
import { type NoticeBreach, judgeNotices } from './notice-oracle.js';
import { type StopBreach, judgeStops } from './stop-oracle.js';
import { type QuotaBreach, judgeQuotas } from './quota-oracle.js';
import {
  CRASHING_BODY,
  SIMULATION_BOUNDS,
  SIMULATION_QUOTA_TOLERANCE,
} from './simulation-fixtures.js';

/** The rules that are checked. */
export type GatewayRule =
  | 'at-most-once'
  | 'promise-kept'
  | 'answered-once'
  | 'whole-answer'
  | 'one-build'
  | 'stream-in-order'
  | 'key-removed'
  | 'engine-drained'
  | 'one-holder'
  | 'answered-in-time'
  | 'one-run-at-a-time'
  | 'weights-in-force'
  | 'weights-on-time'
  | 'crashes-bounded'
  | 'sound-denied'
  | 'odd-entry-unused'
  | CompletionBreach['rule']
  | IsolationBreach['rule']
  | StopBreach['rule']
  | EnginePathBreach['rule']
  | FallBreach['rule']
  | NoticeBreach['rule']
  | LimitBreach['rule']
  | QuotaBreach['rule'];

/** A rule violation. */
export interface RuleBreach {
  readonly rule: GatewayRule;
  readonly detail: string;
}

/** Time after a request's timeout within which its response must end. */
const RESPONSE_SLACK_MS = 200;
/** Allows for a request that was in flight when the drain took effect. */
const DRAIN_SLACK_MS = 50;
/** How long the previous engine may keep running a request after a failover. */
const OVERLAP_MS = 400;

/** Number of crashes after which a request, or a prompt part, must be quarantined. */
const CRASHES_TO_QUARANTINE: Record<CrashCause, number> = {
  [CrashCause.Request]: 3,
  [CrashCause.PromptPart]: 5,
};
/** Number of engines that a quarantined request may still reach. */
const MAXIMUM_LATE_CRASHES = 3;

/** Sound requests that may be rejected for good: some, and a share of all. */
const MAXIMUM_DENIALS = 5;
const MAXIMUM_DENIED_SHARE = 1 / 500;

/** Returns all rule violations of a run. */
export function findBreaches(simulation: GatewaySimulation): RuleBreach[] {
  const runsById = groupRuns(simulation.observations.runs);
  const breaches = simulation.requests.flatMap((request) =>
    judgeRequest(request, runsById.get(request.id) ?? [], simulation),
  );
  return [
    ...breaches,
    ...judgeResponseHeads(simulation),
    ...judgeDrains(simulation),
    ...judgeLoadCommands(simulation),
    ...judgeWeights(simulation),
    ...judgeRunStarts(simulation),
    ...judgeCrashes(simulation),
    ...judgeDenials(simulation),
    ...judgeMalformedEntries(simulation),
    ...judgeBuilds(simulation),
    ...judgeCompletion(simulation),
    ...judgeIsolation(simulation),
    ...judgeStops(simulation),
    ...judgeEnginePaths(simulation),
    ...judgeFalls(simulation),
    ...judgeNotices(simulation),
    ...judgeLimits(simulation),
    ...judgeQuotas(simulation, SIMULATION_QUOTA_TOLERANCE),
  ];
}

/** Each request gets at most one response. */
function judgeResponseHeads({ requests }: GatewaySimulation): RuleBreach[] {
  return requests.flatMap(({ id, reply }) => {
    if (reply.headCount <= 1) return [];
    return [{ rule: 'answered-once' as const, detail: `${id}: ${reply.headCount} responses` }];
  });
}

/** Malformed entries receive neither requests nor load commands. */
function judgeMalformedEntries(simulation: GatewaySimulation): RuleBreach[] {
  return simulation.observations.malformedUses.map(({ entry, router, atMs }) => ({
    rule: 'odd-entry-unused' as const,
    detail: `${router} used ${entry} at ${atMs} ms`,
  }));
}

/** What has crashed several engines reaches at most a few more after the recovery time. */
function judgeCrashes(simulation: GatewaySimulation): RuleBreach[] {
  const { crashes } = simulation.observations;
  return [...new Set(crashes.map(({ subject }) => subject))].flatMap((subject) => {
    const own = crashes.filter((crash) => crash.subject === subject);
    const crashedMs = own.flatMap((crash) => crash.crashedMs ?? []).sort((a, b) => a - b);
    const threshold = CRASHES_TO_QUARANTINE[(own[0] as ObservedCrash).cause];
    const quarantinedMs = (crashedMs[threshold - 1] ?? Infinity) + RECOVERY_MS;
    const late = own.filter(
      ({ arrivedMs, router }) =>
        arrivedMs > quarantinedMs && !simulation.disturbances.isDisturbed(router, arrivedMs),
    );
    if (late.length <= MAXIMUM_LATE_CRASHES) return [];
    const detail = `${subject}: ${late.length} arrivals later, ${crashedMs.length} crashes`;
    return [{ rule: 'crashes-bounded' as const, detail }];
  });
}

/** Few requests that crash no engine are rejected as if they did. */
function judgeDenials({ requests, disturbances }: GatewaySimulation): RuleBreach[] {
  const denied = requests.filter(
    ({ reply, body = '', router, sentMs }) =>
      reply.own?.reason === REQUEST_CRASHES_ENGINES.reason &&
      !body.startsWith(CRASHING_BODY) &&
      !disturbances.isDisturbed(router, sentMs),
  );
  const allowed = MAXIMUM_DENIALS + requests.length * MAXIMUM_DENIED_SHARE;
  if (denied.length <= allowed) return [];
  const detail = `${denied.length} of ${requests.length}, ${denied[0]?.id ?? ''} and others`;
  return [{ rule: 'sound-denied', detail }];
}

/** At the end of a run, each engine has the newest published weights. */
function judgeWeights(simulation: GatewaySimulation): RuleBreach[] {
  const behind = simulation.fleet.generationEngines.filter(
    (engine) => engine.weightsVersion < simulation.publishedVersion,
  );
  return behind.map((engine) => ({
    rule: 'weights-in-force' as const,
    detail: `${engine.id} has ${engine.weightsVersion} of ${simulation.publishedVersion}`,
  }));
}

/** After the bound, no request starts on older weights; the bound restarts after a disturbance. */
function judgeRunStarts(simulation: GatewaySimulation): RuleBreach[] {
  const publications = simulation.acknowledgements.filter(
    ({ kind }) => kind === 'weights-published',
  );
  return simulation.observations.runs.flatMap((run) => {
    if (run.salt === undefined || simulation.disturbances.isDisturbed(run.router, run.startedMs))
      return [];
    const newer = publications.find(({ subject }) => Number(subject) > run.weightsVersion);
    const undisturbedSinceMs = simulation.disturbances.undisturbedSinceMs(run.startedMs);
    if (!newer || undisturbedSinceMs === undefined) return [];
    const lateMs =
      run.startedMs - Math.max(newer.atMs, undisturbedSinceMs) - SIMULATION_BOUNDS.versionMs;
    if (lateMs <= 0) return [];
    const detail = `${run.requestId} started on ${run.weightsVersion} at ${run.engineId}, ${lateMs} ms late`;
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
  simulation: GatewaySimulation,
): RuleBreach[] {
  return [
    ...judgeRunCount(request, runs),
    ...judgeRejection(request, runs),
    ...judgeResponse(request, runs),
    ...judgeKey(request, runs, simulation),
    ...judgeResponseTime(request, simulation),
    ...judgeOverlap(request, runs, simulation),
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

/** A request rejected with 503 has not run. */
function judgeRejection(request: ObservedRequest, runs: readonly ObservedRun[]): RuleBreach[] {
  const isUnavailable = request.reply.own?.status === 503;
  if (!isUnavailable || runs.length === 0 || mayRepeat(request)) return [];
  return [{ rule: 'promise-kept', detail: `${request.id} was rejected with 503 but ran` }];
}

function judgeResponse(request: ObservedRequest, runs: readonly ObservedRun[]): RuleBreach[] {
  const { reply, id, kind } = request;
  if (reply.status !== 200) return [];
  if (!kind.startsWith('stream')) {
    if (reply.body === plainBodyOf(id)) return [];
    const wasShortened = runs.some((run) => run.wasShortened);
    // A part that its engine ended in order may end so for its caller too, but is never stated whole.
    const isWrong = reply.ending === 'whole' || (reply.ending === 'closed' && !wasShortened);
    return isWrong ? [{ rule: 'whole-answer', detail: `${id}: "${reply.body}"` }] : [];
  }
  const first = (request.continued?.lastEvent ?? 0) + 1;
  const whole = Array.from({ length: STREAM_EVENTS - first + 1 }, (_, index) =>
    streamEventOf(id, first + index),
  ).join('');
  const { events } = parseStream(reply.body);
  // An ordered close is all that callers see of the end of a stream without a length or chunks.
  const looksWhole = reply.ending === 'whole' || reply.ending === 'closed';
  const isExpected = looksWhole ? events === whole : whole.startsWith(events);
  return isExpected ? [] : [{ rule: 'stream-in-order', detail: `${id}: "${reply.body}"` }];
}

function judgeKey(
  request: ObservedRequest,
  runs: readonly ObservedRun[],
  simulation: GatewaySimulation,
): RuleBreach[] {
  return runs.flatMap((run) => {
    const removal = lastRemoval(request.key, run.startedMs, simulation);
    if (removal === undefined || request.sentMs <= removal + SIMULATION_BOUNDS.revokeMs) return [];
    const lateMs = Math.round(run.startedMs - removal);
    return [{ rule: 'key-removed' as const, detail: `${request.id} ran ${lateMs} ms after` }];
  });
}

/** Time of the key's last removal, unless it was added again before the run. */
function lastRemoval(key: string, atMs: number, simulation: GatewaySimulation): number | undefined {
  const changes = simulation.acknowledgements.filter(
    (ack) => (ack.kind === 'key-removed' || ack.kind === 'key-added') && ack.subject === key,
  );
  const last = changes.filter((change) => change.atMs <= atMs).at(-1);
  return last?.kind === 'key-removed' ? last.atMs : undefined;
}

function judgeResponseTime(request: ObservedRequest, simulation: GatewaySimulation): RuleBreach[] {
  const isLong = simulation.now > request.sentMs + request.budgetMs + RESPONSE_SLACK_MS;
  if (!isLong || request.reply.ending !== undefined) return [];
  return [{ rule: 'answered-in-time', detail: `${request.id} has no complete response` }];
}

/**
 * After a failover, the previous engine must stop running the request, unless the process of the
 * router was interrupted meanwhile and so could not cancel it.
 */
function judgeOverlap(
  request: ObservedRequest,
  runs: readonly ObservedRun[],
  { disturbances }: GatewaySimulation,
): RuleBreach[] {
  return runs.slice(1).flatMap((run, index) => {
    const before = runs[index] as ObservedRun;
    const endedMs = before.endedMs ?? Infinity;
    const limitMs = run.startedMs + OVERLAP_MS;
    if (endedMs <= limitMs) return [];
    if (disturbances.wasInterrupted(run.router, run.startedMs, limitMs)) return [];
    return [{ rule: 'one-run-at-a-time' as const, detail: `${request.id} at ${before.engineId}` }];
  });
}

function judgeDrains(simulation: GatewaySimulation): RuleBreach[] {
  const drains = simulation.acknowledgements.filter((ack) => ack.kind === 'engine-draining');
  return drains.flatMap((drain) => {
    const limitMs = drain.atMs + SIMULATION_BOUNDS.drainMs + DRAIN_SLACK_MS;
    const late = simulation.observations.runs.find(
      (run) =>
        run.engineId === drain.subject &&
        run.startedMs > limitMs &&
        !simulation.disturbances.isDisturbed(run.router, run.startedMs),
    );
    if (!late) return [];
    return [{ rule: 'engine-drained' as const, detail: `${late.requestId} at ${late.engineId}` }];
  });
}

/**
 * Each fencing token belongs to one holder, tokens never decrease, and a new holder waits for the
 * lease to expire. Commands are checked in order of sending, since a delayed one may reach an
 * incarnation that has not received a token yet.
 */
function judgeLoadCommands(simulation: GatewaySimulation): RuleBreach[] {
  const commands = [...simulation.observations.loadCommands].sort((a, b) => a.sentMs - b.sentMs);
  return commands.slice(1).flatMap((command, index) => {
    const before = commands[index] as (typeof commands)[number];
    if (before.holder === command.holder) return [];
    const gapMs = command.sentMs - before.sentMs;
    if (command.token > before.token && gapMs >= SIMULATION_BOUNDS.leaseMs) return [];
    const detail = `${before.holder} (${before.token}), ${command.holder} (${command.token}), ${gapMs} ms`;
    return [{ rule: 'one-holder' as const, detail }];
  });
}

/** A stream holds events of one build, also over several attempts of its caller. */
function judgeBuilds({ requests }: GatewaySimulation): RuleBreach[] {
  const byStream = new Map<string, Set<string>>();
  for (const { id, kind, continued, reply } of requests) {
    if (!kind.startsWith('stream') || reply.status !== 200) continue;
    const stream = continued?.firstAttempt ?? id;
    const builds = byStream.get(stream) ?? new Set();
    byStream.set(stream, builds);
    for (const build of parseStream(reply.body).builds) builds.add(build);
  }
  return [...byStream].flatMap(([stream, builds]) => {
    if (builds.size < 2) return [];
    return [{ rule: 'one-build', detail: `${stream}: ${[...builds].join(', ')}` }];
  });
}
