/** Judges a soak by what callers, engines and operator saw. Moments are of the wall clock. */
import type { CallRecord, DirectoryRecord } from './callers.js';
import type { Observations } from './deployment.js';
import type { ReportedRun } from './messages.js';
import { judgeLimits } from './limit-oracle.js';
import { judgeNotices } from './notice-oracle.js';
import { ODD_NAME } from './odd-entries.js';
import { BOUNDS, DisturbanceKind, type RouterProcess, SLACK_MS } from './router-process.js';
import { STREAM_EVENTS } from './stream-events.js';

/** The promises that are judged. */
export type SoakPromise =
  | 'whole-answer'
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
  | 'weights-in-force'
  | 'odd-entry-unused'
  | 'leaving-engine-unused'
  | 'backoff-kept'
  | 'limit-kept'
  | 'recovery';

/** A promise that was broken. */
export interface Breach {
  readonly promise: SoakPromise;
  readonly detail: string;
}

/** Everything that is known of a soak that has ended. */
export interface SoakRecord {
  readonly calls: readonly CallRecord[];
  readonly answers: readonly DirectoryRecord[];
  readonly observations: Observations;
  readonly routers: readonly RouterProcess[];
  /** Newest version of the weights, and those that the engines have after all faults had ended. */
  readonly weightsAtRest: {
    readonly named: number;
    readonly engines: readonly { readonly name: string; readonly version: number }[];
  };
  /** The last calls, sent after all faults had ended. */
  readonly callsAtRest: readonly CallRecord[];
}

/** A router is held to its bounds again this long after a disturbance. */
const CONTACT_MS = BOUNDS.contact_ms + SLACK_MS;
/** The directory may name a router that is down for this long. */
const DIRECTORY_BOUND_MS = 3_500;
/** A connection may end without an answer this soon after the request, if nothing was passed on. */
const LOSS_SLACK_MS = 400;
/** Share of the calls at rest that must be served. */
const SERVED_AT_REST = 0.95;
/** After so many crashes a request is known to crash engines. */
const CRASHES_TO_KNOW = 3;
/** Engines that it may reach from then on. */
const MAXIMUM_LATE_CRASHES = 3;
const PROMISE_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);
const MILLISECONDS_PER_SECOND = 1_000;

/** All broken promises. */
export function judgeSoak(record: SoakRecord): Breach[] {
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
        [`${router.place.ip}:${router.place.ports.directory}`, router],
      ]),
    );
  }

  all(): Breach[] {
    const { calls, answers, routers } = this.record;
    return [
      ...calls.flatMap((call) => this.judgeCall(call)),
      ...this.record.observations.runs.flatMap((run) => this.judgeRun(run)),
      ...answers.flatMap((answer) => this.judgeAnswer(answer)),
      ...this.judgeBudget(),
      ...this.judgeHolders(),
      ...this.judgeCrashes(),
      ...routers.flatMap(({ crashes }) => crashes).map((detail) => breach('no-crash', detail)),
      ...this.judgeWeights(),
      ...this.judgeStrays(),
      ...judgeNotices(this.record),
      ...judgeLimits(this.record),
      ...this.judgeRest(),
    ];
  }

  private judgeCall(call: CallRecord): Breach[] {
    const runs = this.runsById.get(call.id) ?? [];
    const isRepeatable = call.kind === 'plain-safe' || call.kind === 'stream-resumable';
    const breaches: Breach[] = [];
    if (!isRepeatable && runs.length > 1) {
      breaches.push(breach('at-most-once', `${call.id} (${call.kind}) ran ${runs.length} times`));
    }
    if (!isRepeatable && runs.length > 0 && PROMISE_STATUSES.has(call.status ?? 0)) {
      breaches.push(breach('not-run', `${call.id} got ${call.status} and ran`));
    }
    if (call.status === 200 && !isBodyRight(call)) {
      breaches.push(breach('whole-answer', `${call.id} (${call.kind}): "${call.body}"`));
    }
    if (this.isCutByStop(call, runs)) {
      breaches.push(breach('planned-stop', `${call.id} at ${call.router}: ${call.failure}`));
    }
    return breaches;
  }

  /** Whether a planned stop, and nothing else that is known, ended the call without an answer. */
  private isCutByStop(call: CallRecord, runs: readonly ReportedRun[]): boolean {
    const router = this.routersByAddress.get(call.router);
    const { failure, endedMs, sentMs } = call;
    if (!router || failure === undefined || failure === 'deadline' || endedMs === undefined) {
      return false;
    }
    const graceMs = BOUNDS.grace_s * MILLISECONDS_PER_SECOND;
    const isNearStop = router.stops.some((atMs) => atMs <= endedMs && endedMs <= atMs + graceMs);
    const wasTaken = runs.length > 0 || endedMs - sentMs > LOSS_SLACK_MS;
    if (!isNearStop || !wasTaken) return false;
    return !this.isDisturbed(router, sentMs, endedMs) && !this.hasEngineTrouble(sentMs, endedMs);
  }

  private judgeRun(run: ReportedRun): Breach[] {
    const call = this.callsById.get(run.requestId);
    const router = call && this.routersByAddress.get(call.router);
    if (!call || !router) return [breach('whole-answer', `${run.requestId} was never sent`)];
    const breaches: Breach[] = [];
    const drainedMs = this.record.observations.drains.get(run.engineId) ?? Infinity;
    const lateMs = run.startedMs - drainedMs - BOUNDS.drain_ms;
    if (lateMs > SLACK_MS && !this.isDisturbed(router, run.startedMs, run.startedMs)) {
      breaches.push(breach('engine-drained', `${call.id} at ${run.engineId}, ${lateMs} ms late`));
    }
    for (const { key, atMs, untilMs } of this.record.observations.keyRemovals) {
      const isGone = key === call.key.key && call.sentMs > atMs + BOUNDS.revoke_ms + SLACK_MS;
      if (!isGone || run.startedMs > (untilMs ?? Infinity)) continue;
      breaches.push(breach('key-removed', `${call.id} ran ${run.startedMs - atMs} ms after`));
    }
    return breaches;
  }

  private judgeAnswer({ router: address, addresses, atMs }: DirectoryRecord): Breach[] {
    const router = this.routersByAddress.get(address);
    if (!router || this.isDisturbed(router, atMs, atMs)) return [];
    return addresses.flatMap((named) => {
      const offMs = this.offForMs(named, atMs);
      if (offMs <= DIRECTORY_BOUND_MS + SLACK_MS) return [];
      return [breach('directory', `${address} names ${named}, down for ${offMs} ms`)];
    });
  }

  private offForMs(address: string, atMs: number): number {
    const disturbances = this.routersByAddress.get(address)?.disturbances ?? [];
    const down = disturbances.find(
      ({ kind, fromMs, untilMs }) =>
        kind === DisturbanceKind.Down && fromMs <= atMs && atMs <= (untilMs ?? Infinity),
    );
    return down ? atMs - down.fromMs : 0;
  }

  /** Repeats of a service in any window, over all routers. */
  private judgeBudget(): Breach[] {
    const windowMs = BOUNDS.retry_window_s * MILLISECONDS_PER_SECOND;
    const services = new Set(this.record.observations.arrivals.map(({ service }) => service));
    return [...services].flatMap((service) => {
      const arrivals = this.record.observations.arrivals.filter(
        (arrival) => arrival.service === service,
      );
      const seen = new Set<string>();
      const repeats: number[] = [];
      const firsts: number[] = [];
      for (const { requestId, atMs } of arrivals) {
        (seen.has(requestId) ? repeats : firsts).push(atMs);
        seen.add(requestId);
      }
      const worst = repeats.find((fromMs) => {
        const within = (atMs: number): boolean => atMs >= fromMs && atMs < fromMs + windowMs;
        const allowed =
          BOUNDS.retry_budget_ratio * firsts.filter(within).length + BOUNDS.retry_slack;
        return repeats.filter(within).length > allowed;
      });
      return worst === undefined ? [] : [breach('retry-budget', `${service} from ${worst}`)];
    });
  }

  private judgeHolders(): Breach[] {
    const holders = new Map<number, string>();
    return this.record.observations.orders.flatMap(({ holder, token, engineId }) => {
      const known = holders.get(token) ?? holder;
      holders.set(token, known);
      if (known === holder) return [];
      return [breach('one-holder', `token ${token} of ${known} and ${holder} at ${engineId}`)];
    });
  }

  /** A request under which three engines have ended reaches at most three more, a while later. */
  private judgeCrashes(): Breach[] {
    const { crashes, runs } = this.record.observations;
    const nameOf = (requestId: string): string => {
      const call = this.callsById.get(requestId);
      return call ? [call.kind, call.key.tenant, call.sentBody].join(' ') : requestId;
    };
    return [...new Set(crashes.map(({ requestId }) => nameOf(requestId)))].flatMap((name) => {
      const ends = crashes.filter(({ requestId }) => nameOf(requestId) === name);
      const thirdMs = ends.map(({ atMs }) => atMs).sort((a, b) => a - b)[CRASHES_TO_KNOW - 1];
      const knownMs = (thirdMs ?? Infinity) + CONTACT_MS;
      const late = runs.filter(
        ({ requestId, startedMs }) =>
          startedMs > knownMs &&
          nameOf(requestId) === name &&
          !this.isExcused(requestId, startedMs),
      );
      if (late.length <= MAXIMUM_LATE_CRASHES) return [];
      return [breach('crashes-bounded', `${name}: ${late.length} runs later, ${ends.length} ends`)];
    });
  }

  private isExcused(requestId: string, atMs: number): boolean {
    const call = this.callsById.get(requestId);
    const router = call && this.routersByAddress.get(call.router);
    return router === undefined || this.isDisturbed(router, atMs, atMs);
  }

  /** Once everything has come to rest, each engine's present life has the newest weights. */
  private judgeWeights(): Breach[] {
    const { named, engines } = this.record.weightsAtRest;
    return engines
      .filter(({ version }) => version < named)
      .map(({ name, version }) => breach('weights-in-force', `${name} has ${version} of ${named}`));
  }

  /** An entry of another writer names no engine to use. */
  private judgeStrays(): Breach[] {
    return this.record.observations.strays
      .filter(({ named }) => named.startsWith(ODD_NAME))
      .map(({ requestId, named }) => breach('odd-entry-unused', `${requestId} sent to ${named}`));
  }

  private judgeRest(): Breach[] {
    const { callsAtRest } = this.record;
    const served = callsAtRest.filter(({ status, isWhole }) => status === 200 && isWhole).length;
    if (served >= callsAtRest.length * SERVED_AT_REST) return [];
    const ends = callsAtRest.map(({ status, failure }) => failure ?? status).slice(0, 10);
    return [breach('recovery', `${served} of ${callsAtRest.length} served: ${ends.join(', ')}`)];
  }

  /** Whether the router need not keep its bounds at some moment of a span. */
  private isDisturbed(router: RouterProcess, fromMs: number, toMs: number): boolean {
    const overlaps = (beganMs: number, endedMs: number | undefined): boolean =>
      beganMs <= toMs && fromMs <= (endedMs ?? Infinity) + CONTACT_MS;
    const ownTrouble = router.disturbances.some((each) => overlaps(each.fromMs, each.untilMs));
    const storeTrouble = this.record.observations.storeTroubles.some((each) =>
      overlaps(each.fromMs, each.untilMs),
    );
    // A planned stop is followed by a start, which takes up its beliefs anew.
    const isRestarting = router.stops.some((atMs) => {
      const graceMs = BOUNDS.grace_s * MILLISECONDS_PER_SECOND;
      return fromMs > atMs + graceMs && overlaps(atMs + graceMs, atMs + graceMs + CONTACT_MS);
    });
    return ownTrouble || storeTrouble || isRestarting;
  }

  private hasEngineTrouble(fromMs: number, toMs: number): boolean {
    return this.record.observations.engineTroubles.some(
      (each) => each.fromMs <= toMs && fromMs <= each.untilMs + CONTACT_MS,
    );
  }
}

function breach(promise: SoakPromise, detail: string): Breach {
  return { promise, detail };
}

/** A whole answer is all of the engine's; one that was cut is a beginning of it. */
function isBodyRight({ id, kind, sentBody, body, isWhole }: CallRecord): boolean {
  const whole = kind.startsWith('stream')
    ? Array.from({ length: STREAM_EVENTS }, (_, index) => eventOf(id, index + 1)).join('')
    : `${id}:${sentBody}`;
  return isWhole ? body === whole : whole.startsWith(body);
}

function eventOf(id: string, number: number): string {
  return `id: ${number}\ndata: ${id} ${number}\n\n`;
}
