/** Checks that planned stops of routers lose no request that they have read. */
import { parseIncarnation } from '../src/state/routing/engine-incarnation.js';
import type { CallRecord } from './callers.js';
import { LOSS_SLACK_MS, groupBy, hadEngineFault, timeLimitMs } from './completion-oracle.js';
import type { ReportedRun, ReportedRunEnd } from './messages.js';
import type { SoakRecord, Violation } from './oracle.js';
import {
  BOUNDS,
  type Disturbance,
  DisturbanceKind,
  type FirstStop,
  type RouterProcess,
} from './router-process.js';

const GRACE_MS = BOUNDS.grace_s * 1_000;
/** Time after the grace period in which a connection that ends still counts. */
const AFTER_GRACE_MS = 1_000;
/** A request sent until this long after SIGTERM may be cut while its engine is at work at the end. */
const EXCUSED_UNTIL_MS = 3_000;
/** Start of the last sixth of the grace period. */
const LAST_SIXTH_MS = (GRACE_MS * 5) / 6;
/** Time until a caller learns that the process of its router was killed, on a busy machine. */
const KILL_NOTICE_MS = 1_000;
/** A router that is suspended for less is only short of processor time. */
const SHORTEST_DISRUPTION_MS = 450;

/** A call that ended without a complete response around the SIGTERM of its router. */
interface Ending {
  readonly call: CallRecord;
  readonly router: RouterProcess;
  readonly runs: readonly ReportedRun[];
  readonly stop: FirstStop;
  readonly bodySentMs: number;
  readonly endedMs: number;
}

/** A span of a fault. */
type Span = Pick<Disturbance, 'fromMs' | 'untilMs'>;

/**
 * Returns the calls that a router took and that ended without a complete response around its SIGTERM,
 * by the rule on losses beside planned work. All times are those of callers, engines and the soak: a
 * router that notices its signal late is no exception.
 */
export function judgePlannedStops(record: SoakRecord): Violation[] {
  return new PlannedStops(record).lost();
}

/**
 * Number of calls that routers killed at the end of their grace period had not read. They are no loss,
 * but their callers waited for nothing.
 */
export function countUnread(record: SoakRecord): number {
  return new PlannedStops(record).unreadCalls;
}

class PlannedStops {
  private readonly routers: Map<string, RouterProcess>;
  private readonly runs: Map<string, ReportedRun[]>;
  private readonly runEnds: Map<string, ReportedRunEnd>;

  constructor(private readonly record: SoakRecord) {
    const { observations, routers } = record;
    this.routers = new Map(routers.map((router) => [router.frontendAddress, router]));
    this.runs = groupBy(observations.runs, ({ requestId }) => requestId);
    this.runEnds = new Map(
      observations.runEnds.map((end) => [`${end.requestId} ${end.engineId}`, end]),
    );
  }

  get unreadCalls(): number {
    return this.record.calls.filter((call) => {
      const router = this.routers.get(call.router);
      return router && this.isUnread(call, router);
    }).length;
  }

  lost(): Violation[] {
    return this.record.calls.flatMap((call) => {
      const router = this.routers.get(call.router);
      const { failure, bodySentMs, endedMs } = call;
      if (!router || failure === undefined || failure === 'deadline') return [];
      // A request that was not sent completely was not read completely.
      if (bodySentMs === undefined || endedMs === undefined) return [];
      const stop = router.firstStops.find(
        ({ atMs }) => atMs <= endedMs && endedMs <= atMs + GRACE_MS + AFTER_GRACE_MS,
      );
      if (!stop || this.isUnread(call, router)) return [];
      const runs = this.runs.get(call.id) ?? [];
      const ending = { call, router, runs, stop, bodySentMs, endedMs };
      return this.isLost(ending) ? [{ promise: 'planned-stop', detail: describe(ending) }] : [];
    });
  }

  private isLost({ call, router, runs, stop, bodySentMs, endedMs }: Ending): boolean {
    if (runs.length === 0 && endedMs - bodySentMs <= LOSS_SLACK_MS) return false;
    if (this.isOutOfTime(call, endedMs) || this.isBrokenOff(call, runs, endedMs)) return false;
    if (this.isAtWorkInLastSixth(runs, bodySentMs, stop.atMs)) return false;
    return !this.isDisrupted(router, runs, call.sentMs, endedMs);
  }

  /**
   * Whether the process of a router was killed before it had read the request. The operating system
   * resets the connections of a process that ends while bytes in them are unread, and closes others.
   */
  private isUnread(
    { id, status, failure, endedMs = 0 }: CallRecord,
    router: RouterProcess,
  ): boolean {
    if (status !== undefined || this.runs.has(id) || failure !== 'read ECONNRESET') return false;
    return router.killsAfterGrace.some(
      (killedMs) => killedMs <= endedMs && endedMs <= killedMs + KILL_NOTICE_MS,
    );
  }

  private isOutOfTime(call: CallRecord, endedMs: number): boolean {
    const limitMs = Math.min(call.budgetMs, timeLimitMs(this.record, call, endedMs));
    return endedMs - call.sentMs >= limitMs;
  }

  /** Whether an engine that ran the request broke off, ended, or could not be reached. */
  private isBrokenOff(call: CallRecord, runs: readonly ReportedRun[], endedMs: number): boolean {
    return runs.some(({ engineId }) => {
      const end = this.runEnds.get(`${call.id} ${engineId}`);
      // An engine that has ended may report no end.
      if (!end || end.isBrokenOff) return true;
      return hadEngineFault(this.record, engineId, call.sentMs, endedMs);
    });
  }

  /**
   * The exception of the rule: "The engine was still at work in the last sixth of `grace_s` on a request
   * sent no later than 3 s after the SIGTERM."
   */
  private isAtWorkInLastSixth(
    runs: readonly ReportedRun[],
    bodySentMs: number,
    stopMs: number,
  ): boolean {
    if (bodySentMs > stopMs + EXCUSED_UNTIL_MS) return false;
    return runs.some(({ requestId, engineId, startedMs }) => {
      const { endedMs = Infinity } = this.runEnds.get(`${requestId} ${engineId}`) ?? {};
      return startedMs <= stopMs + GRACE_MS && endedMs >= stopMs + LAST_SIXTH_MS;
    });
  }

  /** Whether there was an unplanned disruption from `contact_ms` before the request until its end. */
  private isDisrupted(
    router: RouterProcess,
    runs: readonly ReportedRun[],
    sentMs: number,
    endedMs: number,
  ): boolean {
    const { storeFaults, engineFaults } = this.record.observations;
    const overlaps = ({ fromMs, untilMs = Infinity }: Span): boolean =>
      fromMs <= endedMs && sentMs - BOUNDS.contact_ms <= untilMs;
    if (runs.some(({ engineId }) => this.hasCrashedBefore(engineId, sentMs))) return true;
    // Those of engines concern a request that has run only if it ran there, see `isBrokenOff`.
    const engines = runs.length === 0 ? engineFaults : [];
    const own = router.disturbances.filter((each) => !isShortSuspension(each));
    return [...own, ...router.engineCuts, ...storeFaults, ...engines].some(overlaps);
  }

  /**
   * Whether an earlier process of an engine ended within `contact_ms` before a request was sent, without
   * having drained, so that its router may not know yet of the process that runs the request.
   */
  private hasCrashedBefore(engineId: string, sentMs: number): boolean {
    const { engineExits, drains } = this.record.observations;
    const name = nameOf(engineId);
    const exits = engineExits.filter((exit) => exit.name === name);
    return exits.some(({ atMs }) => {
      const isRecent = sentMs - BOUNDS.contact_ms <= atMs && atMs <= sentMs;
      const hasDrained = [...drains].some(
        ([drainedId, drainedMs]) => nameOf(drainedId) === name && drainedMs <= atMs,
      );
      return isRecent && !hasDrained;
    });
  }
}

function isShortSuspension({ kind, fromMs, untilMs }: Disturbance): boolean {
  if (kind !== DisturbanceKind.Frozen || untilMs === undefined) return false;
  return untilMs - fromMs <= SHORTEST_DISRUPTION_MS;
}

/** The name of an engine, without the start time of its process. */
function nameOf(engineId: string): string {
  return parseIncarnation(engineId).name;
}

function describe({ call, router, runs, stop, bodySentMs, endedMs }: Ending): string {
  const { atMs: stopMs, program } = stop;
  const { id, kind, status, failure, sentMs } = call;
  const engines = runs.map(
    ({ engineId, startedMs }) => `${engineId} ${startedMs - stopMs} ms after SIGTERM`,
  );
  return (
    `${id} (${kind}) at ${router.options.name} (${program}): status ${status}, ${failure}; after SIGTERM: sent ` +
    `${sentMs - stopMs} ms, whole ${bodySentMs - stopMs} ms, ended ${endedMs - stopMs} ms; at ` +
    `${engines.join(', ') || 'no engine'}`
  );
}
