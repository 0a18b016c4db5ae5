/** Judges whether the routers of a soak kept to what engines had told them of themselves. */
import { parseIncarnation } from '../src/state/routing/engine-incarnation.js';
import { CallArrivals } from './call-arrivals.js';
import type { ReportedNotice } from './messages.js';
import type { Breach, SoakRecord } from './oracle.js';
import { BOUNDS, SLACK_MS } from './router-process.js';

/** Requests that were on their way when an engine asked for a pause arrive within this time. */
const ON_THE_WAY_MS = 500;
/** Requests that a router may send to an engine all the same while a pause lasts. */
const MAXIMUM_IN_PAUSE = 2;

/** All broken promises on what engines say of themselves. */
export function judgeNotices(record: SoakRecord): Breach[] {
  return new NoticeJudge(record).all();
}

class NoticeJudge {
  private readonly arrivals: CallArrivals;

  constructor(private readonly record: SoakRecord) {
    this.arrivals = new CallArrivals(record);
  }

  all(): Breach[] {
    return this.record.observations.notices.flatMap((notice) => [
      ...this.judgeLeaving(notice),
      ...this.judgeBackoff(notice),
    ]);
  }

  /** What callers send a while after a router has passed the engine's word on does not reach the engine. */
  private judgeLeaving({ requestId, engineId, isLeaving }: ReportedNotice): Breach[] {
    const passedOn = this.arrivals.callOf(requestId);
    const passedOnMs = passedOn?.status === 200 ? passedOn.endedMs : undefined;
    if (!isLeaving || !passedOn || passedOnMs === undefined) return [];
    const limitMs = passedOnMs + BOUNDS.drain_ms + SLACK_MS;
    const late = this.arrivals
      .ofRouter(engineId, passedOn.router)
      .find(
        ({ call, atMs }) =>
          call.sentMs > limitMs && !this.arrivals.wasInterrupted(passedOn.router, passedOnMs, atMs),
      );
    if (!late) return [];
    const detail = `${late.call.id} at ${engineId}, ${late.atMs - passedOnMs} ms after`;
    return [{ promise: 'leaving-engine-unused', detail }];
  }

  /** An engine that asked a router for a pause gets hardly a request of it until the pause is over. */
  private judgeBackoff({ requestId, engineId, backoffMs, atMs }: ReportedNotice): Breach[] {
    const router = this.arrivals.callOf(requestId)?.router;
    if (backoffMs === 0 || router === undefined) return [];
    const untilMs = atMs + backoffMs;
    if (
      this.arrivals.wasInterrupted(router, atMs, untilMs) ||
      this.isWayFaulty(engineId, atMs, untilMs)
    ) {
      return [];
    }
    const early = this.arrivals
      .ofRouter(engineId, router)
      .filter(
        (arrival) => arrival.atMs > atMs + ON_THE_WAY_MS + SLACK_MS && arrival.atMs < untilMs,
      );
    if (early.length <= MAXIMUM_IN_PAUSE) return [];
    const detail = `${early.length} requests at ${engineId} from ${router} in ${backoffMs} ms`;
    return [{ promise: 'backoff-kept', detail }];
  }

  /** Whether answers of an engine may have been lost on the way between two moments. */
  private isWayFaulty(engineId: string, fromMs: number, toMs: number): boolean {
    const { name } = parseIncarnation(engineId);
    return this.record.observations.engineTroubles.some(
      (each) => each.wayTo === name && each.fromMs <= toMs && fromMs <= each.untilMs,
    );
  }
}
