/** Checks that the routers of a soak respected the notices in engine responses. */
import { parseIncarnation } from '../src/state/routing/engine-incarnation.js';
import { CallArrivals } from './call-arrivals.js';
import type { ReportedNotice } from './messages.js';
import type { Violation, SoakRecord } from './oracle.js';
import { BOUNDS, SLACK_MS } from './router-process.js';

/** Requests in transit when an engine requests a retry delay arrive within this time. */
const IN_TRANSIT_MS = 500;
/** Requests that a router may send to an engine during its retry delay. */
const MAXIMUM_DURING_BACKOFF = 2;

/** All violations of drain notices and retry delays. */
export function judgeNotices(record: SoakRecord): Violation[] {
  return new NoticeJudge(record).all();
}

class NoticeJudge {
  private readonly arrivals: CallArrivals;

  constructor(private readonly record: SoakRecord) {
    this.arrivals = new CallArrivals(record);
  }

  all(): Violation[] {
    return this.record.observations.notices.flatMap((notice) => [
      ...this.judgeLeaving(notice),
      ...this.judgeBackoff(notice),
    ]);
  }

  /** After a router has forwarded a drain notice, it must not send later requests to the engine. */
  private judgeLeaving({ requestId, engineId, isLeaving }: ReportedNotice): Violation[] {
    const noticedCall = this.arrivals.callOf(requestId);
    const noticedMs = noticedCall?.status === 200 ? noticedCall.endedMs : undefined;
    if (!isLeaving || !noticedCall || noticedMs === undefined) return [];
    const limitMs = noticedMs + BOUNDS.drain_ms + SLACK_MS;
    const late = this.arrivals
      .fromRouter(engineId, noticedCall.router)
      .find(
        ({ call, atMs }) =>
          call.sentMs > limitMs &&
          !this.arrivals.wasInterrupted(noticedCall.router, noticedMs, atMs),
      );
    if (!late) return [];
    const detail = `${late.call.id} at ${engineId}, ${late.atMs - noticedMs} ms after`;
    return [{ promise: 'leaving-engine-unused', detail }];
  }

  /** A router must send almost no requests to an engine during the retry delay it requested. */
  private judgeBackoff({ requestId, engineId, backoffMs, atMs }: ReportedNotice): Violation[] {
    const router = this.arrivals.callOf(requestId)?.router;
    if (backoffMs === 0 || router === undefined) return [];
    const untilMs = atMs + backoffMs;
    if (
      this.arrivals.wasInterrupted(router, atMs, untilMs) ||
      this.isLinkFaulty(engineId, atMs, untilMs)
    ) {
      return [];
    }
    const early = this.arrivals
      .fromRouter(engineId, router)
      .filter(
        (arrival) => arrival.atMs > atMs + IN_TRANSIT_MS + SLACK_MS && arrival.atMs < untilMs,
      );
    if (early.length <= MAXIMUM_DURING_BACKOFF) return [];
    const detail = `${early.length} requests at ${engineId} from ${router} in ${backoffMs} ms`;
    return [{ promise: 'backoff-kept', detail }];
  }

  /** Whether responses of an engine may have been lost in a span. */
  private isLinkFaulty(engineId: string, fromMs: number, toMs: number): boolean {
    const { name } = parseIncarnation(engineId);
    return this.record.observations.engineFaults.some(
      (each) => each.linkTo === name && each.fromMs <= toMs && fromMs <= each.untilMs,
    );
  }
}
