/** Judges whether the routers of a soak kept to what engines had told them of themselves. */
import { lifeOf } from '../src/state/routing/engine-incarnation.js';
import type { CallRecord } from './callers.js';
import type { ReportedNotice } from './messages.js';
import type { Breach, SoakRecord } from './oracle.js';
import { BOUNDS, DisturbanceKind, type RouterProcess, SLACK_MS } from './router-process.js';

/** Requests that were on their way when an engine asked for a pause arrive within this time. */
const ON_THE_WAY_MS = 500;
/** Requests that a router may send to an engine all the same while a pause lasts. */
const MAXIMUM_IN_PAUSE = 2;

/** All broken promises on what engines say of themselves. */
export function judgeNotices(record: SoakRecord): Breach[] {
  return new NoticeJudge(record).all();
}

/** A request as it reached an engine. */
interface Arrival {
  readonly call: CallRecord;
  readonly engineId: string;
  readonly atMs: number;
}

class NoticeJudge {
  private readonly callsById: Map<string, CallRecord>;
  private readonly routersByAddress: Map<string, RouterProcess>;
  private readonly arrivals: Arrival[];

  constructor(private readonly record: SoakRecord) {
    this.callsById = new Map(record.calls.map((call) => [call.id, call]));
    this.routersByAddress = new Map(
      record.routers.map((router) => [router.frontendAddress, router]),
    );
    this.arrivals = record.observations.arrivals.flatMap(({ requestId, engineId, atMs }) => {
      const call = this.callsById.get(requestId);
      return call ? [{ call, engineId, atMs }] : [];
    });
  }

  all(): Breach[] {
    return this.record.observations.notices.flatMap((notice) => [
      ...this.judgeLeaving(notice),
      ...this.judgeBackoff(notice),
    ]);
  }

  /** What callers send a while after a router has passed the engine's word on does not reach the engine. */
  private judgeLeaving({ requestId, engineId, isLeaving }: ReportedNotice): Breach[] {
    const passedOn = this.callsById.get(requestId);
    const passedOnMs = passedOn?.status === 200 ? passedOn.endedMs : undefined;
    if (!isLeaving || !passedOn || passedOnMs === undefined) return [];
    const limitMs = passedOnMs + BOUNDS.drain_ms + SLACK_MS;
    const late = this.arrivalsOf(engineId, passedOn.router).find(
      ({ call, atMs }) =>
        call.sentMs > limitMs && !this.wasInterrupted(passedOn.router, passedOnMs, atMs),
    );
    if (!late) return [];
    const detail = `${late.call.id} at ${engineId}, ${late.atMs - passedOnMs} ms after`;
    return [{ promise: 'leaving-engine-unused', detail }];
  }

  /** An engine that asked a router for a pause gets hardly a request of it until the pause is over. */
  private judgeBackoff({ requestId, engineId, backoffMs, atMs }: ReportedNotice): Breach[] {
    const router = this.callsById.get(requestId)?.router;
    if (backoffMs === 0 || router === undefined) return [];
    const untilMs = atMs + backoffMs;
    if (this.wasInterrupted(router, atMs, untilMs) || this.isWayFaulty(engineId, atMs, untilMs)) {
      return [];
    }
    const early = this.arrivalsOf(engineId, router).filter(
      (arrival) => arrival.atMs > atMs + ON_THE_WAY_MS + SLACK_MS && arrival.atMs < untilMs,
    );
    if (early.length <= MAXIMUM_IN_PAUSE) return [];
    const detail = `${early.length} requests at ${engineId} from ${router} in ${backoffMs} ms`;
    return [{ promise: 'backoff-kept', detail }];
  }

  private arrivalsOf(engineId: string, router: string): Arrival[] {
    return this.arrivals.filter(
      (arrival) => arrival.engineId === engineId && arrival.call.router === router,
    );
  }

  /** Whether the router's process did not run, or started again, between two moments. */
  private wasInterrupted(address: string, fromMs: number, toMs: number): boolean {
    const router = this.routersByAddress.get(address);
    if (!router) return true;
    const isUnplanned = router.disturbances.some(
      ({ kind, fromMs: beganMs, untilMs }) =>
        kind !== DisturbanceKind.StoreWay && beganMs <= toMs && fromMs <= (untilMs ?? Infinity),
    );
    const graceMs = BOUNDS.grace_s * 1_000;
    return isUnplanned || router.stops.some((atMs) => atMs <= toMs && fromMs <= atMs + graceMs);
  }

  /** Whether answers of an engine may have been lost on the way between two moments. */
  private isWayFaulty(engineId: string, fromMs: number, toMs: number): boolean {
    const { name } = lifeOf(engineId);
    return this.record.observations.engineTroubles.some(
      (each) => each.wayTo === name && each.fromMs <= toMs && fromMs <= each.untilMs,
    );
  }
}
