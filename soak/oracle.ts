/** Checks the promises of a soak against the records of callers and engines, in wall-clock time. */
import type { CallRecord, DirectoryResponse } from './callers.js';
import type { Observations } from './deployment.js';
import { CRASHING_PART_PREFIX, type ReportedRun } from './messages.js';
import { judgeBrittleEngines } from './brittle-engine-oracle.js';
import { judgeDenials } from './denial-oracle.js';
import { judgeIsolation } from './isolation-oracle.js';
import { judgeCompletion } from './completion-oracle.js';
import { judgeEngineCuts } from './engine-cut-oracle.js';
import { judgeLimits } from './limit-oracle.js';
import { judgeNotices } from './notice-oracle.js';
import { judgePlannedStops } from './planned-stop-oracle.js';
import { MALFORMED_NAME_PREFIX } from './malformed-entries.js';
import { BOUNDS, DisturbanceKind, type RouterProcess, SLACK_MS } from './router-process.js';
import { buildsOf } from './stream-events.js';
import { judgeTenantQuotas } from './tenant-quota-oracle.js';

/** The promises that are checked. */
export type SoakPromise =
  | 'whole-answer'
  | 'one-build'
  | 'at-most-once'
  | 'not-run'
  | 'planned-stop'
  | 'engine-drained'
  | 'key-removed'
  | 'directory'
  | 'retry-budget'
  | 'one-holder'
  | 'no-crash'
  | 'crashes-bounded'
  | 'sound-denied'
  | 'isolated-memory'
  | 'weights-in-force'
  | 'odd-entry-unused'
  | 'leaving-engine-unused'
  | 'backoff-kept'
  | 'limit-kept'
  | 'served-while-cut'
  | 'brittle-engines-spared'
  | 'tenant-limit'
  | 'response-completed'
  | 'recovery';

/** A broken promise. */
export interface Violation {
  readonly promise: SoakPromise;
  readonly detail: string;
}

/** Complete record of a soak. */
export interface SoakRecord {
  readonly calls: readonly CallRecord[];
  readonly directoryResponses: readonly DirectoryResponse[];
  readonly observations: Observations;
  readonly routers: readonly RouterProcess[];
  /** Whether a tenant has a limit. */
  readonly hasTenantQuotas: boolean;
  /** Whether engines are silent for a while. */
  readonly hasSilentEngines: boolean;
  /** Newest version of the weights and the versions of the engines after the last fault. */
  readonly finalWeights: {
    readonly published: number;
    readonly engines: readonly { readonly name: string; readonly version: number }[];
  };
  /** Calls sent after the last fault. */
  readonly finalCalls: readonly CallRecord[];
}

/** A router must meet its bounds again this long after a disturbance. */
const RECOVERY_MS = BOUNDS.contact_ms + SLACK_MS;
/** How long the directory may list a router that is down. */
const DIRECTORY_BOUND_MS = 3_500;
/** Minimum share of the final calls that must succeed. */
const FINAL_SERVED_SHARE = 0.95;
/** Number of crashes after which a request is quarantined. */
const QUARANTINE_CRASHES = 3;
/** Number of crashes after which a prompt part is quarantined. */
const PART_QUARANTINE_CRASHES = 5;
/** Maximum number of runs of a quarantined request. */
const MAXIMUM_QUARANTINED_RUNS = 3;
const NOT_EXECUTED_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);
const MILLISECONDS_PER_SECOND = 1_000;

/** All violations in a soak. */
export function judgeSoak(record: SoakRecord): Violation[] {
  return new Judge(record).all();
}

class Judge {
  private readonly runsById = new Map<string, ReportedRun[]>();
  private readonly callsById: Map<string, CallRecord>;
  private readonly routersByAddress: Map<string, RouterProcess>;

  constructor(private readonly record: SoakRecord) {
    for (const run of record.observations.runs) {
      const runs = this.runsById.get(run.requestId);
      if (runs) runs.push(run);
      else this.runsById.set(run.requestId, [run]);
    }
    this.callsById = new Map(record.calls.map((call) => [call.id, call]));
    this.routersByAddress = new Map(
      record.routers.flatMap((router) => [
        [router.frontendAddress, router],
        [`${router.options.ip}:${router.options.ports.directory}`, router],
      ]),
    );
  }

  all(): Violation[] {
    const { calls, directoryResponses, routers } = this.record;
    return [
      ...calls.flatMap((call) => this.judgeCall(call)),
      ...this.record.observations.runs.flatMap((run) => this.judgeRun(run)),
      ...directoryResponses.flatMap((response) => this.judgeDirectoryResponse(response)),
      ...this.judgeRetryBudget(),
      ...this.judgeLeaseHolders(),
      ...this.judgeCrashes(),
      ...judgeDenials(calls),
      ...judgeIsolation(this.record, ({ requestId, startedMs }) =>
        this.isExempt(requestId, startedMs),
      ),
      ...routers.flatMap(({ crashes }) => crashes).map((detail) => violation('no-crash', detail)),
      ...this.judgeWeights(),
      ...this.judgeMisdirectedRequests(),
      ...judgePlannedStops(this.record),
      ...judgeNotices(this.record),
      ...judgeLimits(this.record),
      ...judgeEngineCuts(this.record, (...args) => this.isDisturbed(...args)),
      ...judgeBrittleEngines(this.record),
      ...(this.record.hasTenantQuotas ? judgeTenantQuotas(this.record) : []),
      ...(this.record.hasSilentEngines ? judgeCompletion(this.record) : []),
      ...judgeBuilds(this.record.calls),
      ...this.judgeRecovery(),
    ];
  }

  private judgeCall(call: CallRecord): Violation[] {
    const runs = this.runsById.get(call.id) ?? [];
    const isRepeatable = call.kind === 'plain-safe' || call.kind === 'stream-resumable';
    const violations: Violation[] = [];
    if (!isRepeatable && runs.length > 1) {
      violations.push(
        violation('at-most-once', `${call.id} (${call.kind}) ran ${runs.length} times`),
      );
    }
    if (!isRepeatable && runs.length > 0 && NOT_EXECUTED_STATUSES.has(call.status ?? 0)) {
      violations.push(violation('not-run', `${call.id} got ${call.status} and ran`));
    }
    if (call.status === 200 && !isBodyCorrect(call)) {
      violations.push(violation('whole-answer', `${call.id} (${call.kind}): "${call.body}"`));
    }
    return violations;
  }

  private judgeRun(run: ReportedRun): Violation[] {
    const call = this.callsById.get(run.requestId);
    const router = call && this.routersByAddress.get(call.router);
    if (!call || !router) return [violation('whole-answer', `${run.requestId} was never sent`)];
    const violations: Violation[] = [];
    const drainedMs = this.record.observations.drains.get(run.engineId) ?? Infinity;
    const lateMs = run.startedMs - drainedMs - BOUNDS.drain_ms;
    if (lateMs > SLACK_MS && !this.isDisturbed(router, run.startedMs, run.startedMs)) {
      violations.push(
        violation('engine-drained', `${call.id} at ${run.engineId}, ${lateMs} ms late`),
      );
    }
    for (const { key, atMs, untilMs } of this.record.observations.keyRemovals) {
      const isRevoked = key === call.key.key && call.sentMs > atMs + BOUNDS.revoke_ms + SLACK_MS;
      if (!isRevoked || run.startedMs > (untilMs ?? Infinity)) continue;
      violations.push(
        violation('key-removed', `${call.id} ran ${run.startedMs - atMs} ms after the removal`),
      );
    }
    return violations;
  }

  private judgeDirectoryResponse({
    router: address,
    addresses,
    atMs,
  }: DirectoryResponse): Violation[] {
    const router = this.routersByAddress.get(address);
    if (!router || this.isDisturbed(router, atMs, atMs)) return [];
    return addresses.flatMap((listed) => {
      const downMs = this.downForMs(listed, atMs);
      if (downMs <= DIRECTORY_BOUND_MS + SLACK_MS) return [];
      return [violation('directory', `${address} lists ${listed}, down for ${downMs} ms`)];
    });
  }

  private downForMs(address: string, atMs: number): number {
    const disturbances = this.routersByAddress.get(address)?.disturbances ?? [];
    const down = disturbances.find(
      ({ kind, fromMs, untilMs }) =>
        kind === DisturbanceKind.Down && fromMs <= atMs && atMs <= (untilMs ?? Infinity),
    );
    return down ? atMs - down.fromMs : 0;
  }

  /** Checks the retries of each service, over all routers, in each window. */
  private judgeRetryBudget(): Violation[] {
    const windowMs = BOUNDS.retry_window_s * MILLISECONDS_PER_SECOND;
    const services = new Set(this.record.observations.arrivals.map(({ service }) => service));
    return [...services].flatMap((service) => {
      const arrivals = this.record.observations.arrivals.filter(
        (arrival) => arrival.service === service,
      );
      const seenIds = new Set<string>();
      const retries: number[] = [];
      const firstAttempts: number[] = [];
      for (const { requestId, atMs } of arrivals) {
        (seenIds.has(requestId) ? retries : firstAttempts).push(atMs);
        seenIds.add(requestId);
      }
      const exceededFromMs = retries.find((fromMs) => {
        const isInWindow = (atMs: number): boolean => atMs >= fromMs && atMs < fromMs + windowMs;
        const allowed =
          BOUNDS.retry_budget_ratio * firstAttempts.filter(isInWindow).length + BOUNDS.retry_slack;
        return retries.filter(isInWindow).length > allowed;
      });
      return exceededFromMs === undefined
        ? []
        : [violation('retry-budget', `${service} from ${exceededFromMs}`)];
    });
  }

  private judgeLeaseHolders(): Violation[] {
    const holders = new Map<number, string>();
    return this.record.observations.loadCommands.flatMap(({ holder, token, engineId }) => {
      const firstHolder = holders.get(token) ?? holder;
      holders.set(token, firstHolder);
      if (firstHolder === holder) return [];
      return [
        violation('one-holder', `token ${token} of ${firstHolder} and ${holder} at ${engineId}`),
      ];
    });
  }

  /** What crashed several engines may run at most three more times after a delay. */
  private judgeCrashes(): Violation[] {
    const { crashes, runs } = this.record.observations;
    const subjectOf = (requestId: string): string => {
      const call = this.callsById.get(requestId);
      if (!call) return requestId;
      const { kind, key, sentBody, sharedPart } = call;
      return sharedPart ?? [kind, key.tenant, sentBody].join(' ');
    };
    return [...new Set(crashes.map(({ requestId }) => subjectOf(requestId)))].flatMap((name) => {
      const reports = crashes.filter(({ requestId }) => subjectOf(requestId) === name);
      const isPart = name.startsWith(CRASHING_PART_PREFIX);
      const threshold = isPart ? PART_QUARANTINE_CRASHES : QUARANTINE_CRASHES;
      const quarantinedMs = reports.map(({ atMs }) => atMs).sort((a, b) => a - b)[threshold - 1];
      const enforcedMs = (quarantinedMs ?? Infinity) + RECOVERY_MS;
      const late = runs.filter(
        ({ requestId, startedMs }) =>
          startedMs > enforcedMs &&
          subjectOf(requestId) === name &&
          !this.isExempt(requestId, startedMs),
      );
      if (late.length <= MAXIMUM_QUARANTINED_RUNS) return [];
      return [
        violation(
          'crashes-bounded',
          `${name}: ${late.length} runs in quarantine, ${reports.length} crashes`,
        ),
      ];
    });
  }

  private isExempt(requestId: string, atMs: number): boolean {
    const call = this.callsById.get(requestId);
    const router = call && this.routersByAddress.get(call.router);
    return router === undefined || this.isDisturbed(router, atMs, atMs);
  }

  /** After the last fault each engine must have the newest weights. */
  private judgeWeights(): Violation[] {
    const { published, engines } = this.record.finalWeights;
    return engines
      .filter(({ version }) => version < published)
      .map(({ name, version }) =>
        violation('weights-in-force', `${name} has version ${version} instead of ${published}`),
      );
  }

  /** No request may be sent to an engine that only a malformed entry names. */
  private judgeMisdirectedRequests(): Violation[] {
    return this.record.observations.misdirectedRequests
      .filter(({ named }) => named.startsWith(MALFORMED_NAME_PREFIX))
      .map(({ requestId, named }) =>
        violation('odd-entry-unused', `${requestId} sent to ${named}`),
      );
  }

  private judgeRecovery(): Violation[] {
    const { finalCalls } = this.record;
    const served = finalCalls.filter(
      ({ status, isComplete }) => status === 200 && isComplete,
    ).length;
    if (served >= finalCalls.length * FINAL_SERVED_SHARE) return [];
    const endings = finalCalls.map(({ status, failure }) => failure ?? status).slice(0, 10);
    return [
      violation('recovery', `${served} of ${finalCalls.length} served: ${endings.join(', ')}`),
    ];
  }

  /** Whether the router is exempt from its bounds at any time in a span. */
  private isDisturbed(router: RouterProcess, fromMs: number, toMs: number): boolean {
    const overlaps = (spanStartMs: number, spanEndMs: number | undefined): boolean =>
      spanStartMs <= toMs && fromMs <= (spanEndMs ?? Infinity) + RECOVERY_MS;
    const hasOwnDisturbance = router.disturbances.some((each) =>
      overlaps(each.fromMs, each.untilMs),
    );
    const hasStoreFault = this.record.observations.storeFaults.some((each) =>
      overlaps(each.fromMs, each.untilMs),
    );
    // After a planned stop the router restarts and rebuilds its state.
    const isRestarting = router.stops.some((atMs) => {
      const graceMs = BOUNDS.grace_s * MILLISECONDS_PER_SECOND;
      return fromMs > atMs + graceMs && overlaps(atMs + graceMs, atMs + graceMs + RECOVERY_MS);
    });
    return hasOwnDisturbance || hasStoreFault || isRestarting;
  }
}

function violation(promise: SoakPromise, detail: string): Violation {
  return { promise, detail };
}

/**
 * A response that is stated to be complete must equal the engine's, and so must a stream whose
 * connection closed in order; any other must be a prefix of it.
 */
function isBodyCorrect(call: CallRecord): boolean {
  const { id, kind, sentBody, isComplete, isFramed } = call;
  const isStream = kind.startsWith('stream');
  const body = isStream ? call.body.replaceAll(/^event: .*\n/gm, '') : call.body;
  const first = (call.continued?.lastEvent ?? 0) + 1;
  const expectedBody = isStream
    ? Array.from({ length: call.shape.events - first + 1 }, (_, index) =>
        eventOf(id, first + index),
      ).join('')
    : `${id}:${sentBody}`;
  if (isComplete && (isFramed || isStream)) return body === expectedBody;
  return expectedBody.startsWith(body);
}

function eventOf(id: string, number: number): string {
  return `id: ${number}\ndata: ${id} ${number}\n\n`;
}

/** A stream holds events of one build, also over several attempts of its caller. */
function judgeBuilds(calls: readonly CallRecord[]): Violation[] {
  const byStream = new Map<string, Set<string>>();
  for (const { id, continued, body } of calls) {
    const stream = continued?.firstAttempt ?? id;
    const builds = byStream.get(stream) ?? new Set();
    byStream.set(stream, builds);
    for (const build of buildsOf(body)) builds.add(build);
  }
  return [...byStream].flatMap(([stream, builds]) => {
    if (builds.size < 2) return [];
    return [violation('one-build', `${stream}: ${[...builds].join(', ')}`)];
  });
}
