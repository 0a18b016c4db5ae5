/**
 * When a rejected caller may come back, by reason and by what the router knows at that moment. A rejection
 * with a time to come back is a promise that nothing ran. Pure.
 */
import type { RandomSource } from '../../runtime/random.js';
import { ReturnSchedule } from './return-schedule.js';

/** Why a request was not served and may come again; the label in logs and metrics. */
export enum RejectionReason {
  /** No configuration has been read yet. */
  NoConfiguration = 'no-configuration',
  /** The proof that the configuration is current has run out. */
  ConfigurationUnproven = 'configuration-unproven',
  /** The route names no service that the configuration holds. */
  NoService = 'no-service',
  /** Every engine of the service drains, loads, failed this request or has weights that are too old. */
  NoEngine = 'no-engine',
  /** Every engine that could serve it asked this router for a pause. */
  EnginesBackingOff = 'engines-backing-off',
  /** Every engine that could serve it takes a limited number of requests a second, and none more of this router now. */
  EnginesLimited = 'engines-limited',
  /** This router's share of each engine's connections is in use. */
  AllBusy = 'all-busy',
  /** The engines that were asked had no place. */
  EnginesFull = 'engines-full',
  /** No connection could be opened to the engines that were tried. */
  EnginesUnreachable = 'engines-unreachable',
  /** By what answers show now, the last token would come after the caller's deadline. */
  TooLate = 'too-late',
  /** Too little of the caller's time is left for any send. */
  NoTimeLeft = 'no-time-left',
  Stopping = 'stopping',
}

/** What is known of a rejection. Times in milliseconds. */
export interface RejectionFacts {
  readonly reason: RejectionReason;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Requests a second that the service has ended for this router lately. */
  readonly finishesPerSecond: number;
  /** By how much the estimate passes what it may be; 0 where there is none. */
  readonly excessMs: number;
  /** Time until the first engine that paused or limits requests takes one of this router; 0 where none does. */
  readonly engineWaitMs: number;
  /** For how long the store has been out of reach; 0 while it is not. */
  readonly storeOutMs: number;
  /** Whether other routers respond: one of them may do what this one can't. */
  readonly hasPeers: boolean;
}

/** Shortest time to come back: a caller that comes at once meets the same state. */
const SHORTEST_MS = 100;
/** Longest time to come back; beyond it nothing is foreseen. */
const LONGEST_MS = 3_000;
/** Where another router may help, a caller is sent on soon. */
const ANOTHER_ROUTER_MS = 150;
/** A list, a load or a connection that is missing takes about this long. */
const SHORT_WORK_MS = 300;
/** Where nothing has ended lately, callers come back at this rate. */
const LEAST_RETURNS_PER_SECOND = 4;
/** Share of what is served that callers who come back may take; the rest is for new requests. */
const RETURNING_SHARE = 0.5;
/** Times are drawn from the time foreseen to this much more. */
export const JITTER_SHARE = 0.3;

/** Decides when callers may come back. */
export class RejectionAdvice {
  private readonly schedules = new Map<string, ReturnSchedule>();

  constructor(private readonly random: RandomSource) {}

  /** @param service whose places the caller waits for; callers of one do not wait for those of another */
  retryAfterMs(service: string, facts: RejectionFacts, nowMs: number): number {
    const earliestMs = nowMs + EARLIEST_RETURN_MS[facts.reason](facts);
    const atMs = waitsForPlaces(facts.reason)
      ? this.bookReturn(service, facts, earliestMs, nowMs)
      : earliestMs;
    const foreseenMs = Math.min(LONGEST_MS, Math.max(SHORTEST_MS, atMs - nowMs));
    return Math.round(foreseenMs * (1 + JITTER_SHARE * this.random.next()));
  }

  private bookReturn(
    service: string,
    facts: RejectionFacts,
    earliestMs: number,
    nowMs: number,
  ): number {
    const horizonMs = nowMs + LONGEST_MS;
    const rate = returnsPerSecond(facts);
    return this.scheduleOf(service).book(facts.priority, earliestMs, rate, horizonMs);
  }

  private scheduleOf(service: string): ReturnSchedule {
    let schedule = this.schedules.get(service);
    if (!schedule) {
      schedule = new ReturnSchedule();
      this.schedules.set(service, schedule);
    }
    return schedule;
  }
}

/** Soonest time after which it may go better, in milliseconds. */
const EARLIEST_RETURN_MS: Record<RejectionReason, (facts: RejectionFacts) => number> = {
  [RejectionReason.Stopping]: () => SHORTEST_MS,
  [RejectionReason.NoConfiguration]: ({ hasPeers }) =>
    hasPeers ? ANOTHER_ROUTER_MS : SHORT_WORK_MS,
  // Routers share their proofs, so the others lack it too; an outage lasts about as long again.
  [RejectionReason.ConfigurationUnproven]: ({ hasPeers, storeOutMs }) =>
    hasPeers ? Math.max(SHORT_WORK_MS, storeOutMs / 2) : ANOTHER_ROUTER_MS,
  [RejectionReason.TooLate]: ({ excessMs }) => excessMs,
  [RejectionReason.NoService]: () => SHORT_WORK_MS,
  [RejectionReason.NoEngine]: () => SHORT_WORK_MS,
  [RejectionReason.EnginesBackingOff]: ({ engineWaitMs }) => engineWaitMs,
  [RejectionReason.EnginesLimited]: ({ engineWaitMs }) => engineWaitMs,
  [RejectionReason.EnginesUnreachable]: () => SHORT_WORK_MS,
  [RejectionReason.AllBusy]: () => SHORTEST_MS,
  [RejectionReason.EnginesFull]: () => SHORTEST_MS,
  [RejectionReason.NoTimeLeft]: () => SHORTEST_MS,
};

/** Whether places at engines are what is missing. */
function waitsForPlaces(reason: RejectionReason): boolean {
  return (
    reason === RejectionReason.AllBusy ||
    reason === RejectionReason.EnginesBackingOff ||
    reason === RejectionReason.EnginesLimited ||
    reason === RejectionReason.EnginesFull ||
    reason === RejectionReason.TooLate
  );
}

function returnsPerSecond({ finishesPerSecond }: RejectionFacts): number {
  return Math.max(LEAST_RETURNS_PER_SECOND, RETURNING_SHARE * finishesPerSecond);
}
