/**
 * Computes the retry delay of a rejected request from the reason and the observed load. A rejection
 * with a retry delay guarantees that no part of the request ran. Pure.
 */
import type { RandomSource } from '../../runtime/random.js';
import { RetrySchedule } from './retry-schedule.js';

/** Why a request was rejected and may be retried; a label in logs and metrics. */
export enum RejectionReason {
  /** The router has not read a configuration yet. */
  NoConfiguration = 'no-configuration',
  /** The proof that the configuration is current has expired. */
  ConfigurationUnproven = 'configuration-unproven',
  /** The route refers to no service of the configuration. */
  NoService = 'no-service',
  /** Every engine drains, loads weights, failed this request or has outdated weights. */
  NoEngine = 'no-engine',
  /** Every eligible engine requested that this router back off. */
  EnginesBackingOff = 'engines-backing-off',
  /** Every eligible engine has a rate limit, and this router has no slot left at any of them. */
  EnginesLimited = 'engines-limited',
  /** This router's share of the connections of each engine is in use. */
  AllBusy = 'all-busy',
  /** The engines that were tried have no free slot. */
  EnginesFull = 'engines-full',
  /** Connecting to the engines that were tried failed. */
  EnginesUnreachable = 'engines-unreachable',
  /** The response is estimated to end after the caller's deadline. */
  TooLate = 'too-late',
  /** The expected wait in this router's queue is too long for the request's objective. */
  QueueTooLong = 'queue-too-long',
  /** The queue of this router has no place left for the request. */
  QueueFull = 'queue-full',
  /** The body does not fit into the bytes that this router may hold. */
  MemoryFull = 'memory-full',
  /** Too little time is left before the caller's deadline to send the request. */
  NoTimeLeft = 'no-time-left',
  Stopping = 'stopping',
  /** The request may crash engines, and a trial that shows whether it does has not ended. */
  AwaitsTrial = 'awaits-trial',
  /** The stream that the caller takes up may have begun at another build of the engines. */
  UnknownStreamOrigin = 'unknown-stream-origin',
}

/** The observations that a retry delay is computed from. Times in milliseconds. */
export interface RejectionContext {
  readonly reason: RejectionReason;
  /** 0 is the highest. */
  readonly priority: number;
  /** Recent rate of requests of this router that the service completed. */
  readonly finishesPerSecond: number;
  /**
   * By how much the estimated end exceeds the deadline, or the expected wait the slack; 0 without an
   * estimate.
   */
  readonly excessMs: number;
  /** Time until the first backing-off or rate-limited engine accepts a request; 0 if none does. */
  readonly engineWaitMs: number;
  /** How long the store has been unavailable; 0 while it is available. */
  readonly storeOutMs: number;
  /** Whether other routers respond and may be able to serve the request. */
  readonly hasPeers: boolean;
}

/** An immediate retry would find the same state. */
export const MINIMUM_DELAY_MS = 100;
const MAXIMUM_DELAY_MS = 3_000;
/** Retry delay if another router may be able to serve the request. */
const FAILOVER_DELAY_MS = 150;
/** Typical time until a missing list, load or connection is available. */
const TRANSIENT_DELAY_MS = 300;
/** Retry rate for a service that has completed no requests recently. */
const MINIMUM_RETRIES_PER_SECOND = 4;
/** Share of the completion rate that retries may use; the rest is for new requests. */
const RETRY_SHARE = 0.5;
/** Delays are extended by a random share of up to this much. */
export const JITTER_SHARE = 0.3;

/** Computes retry delays. */
export class RetryDelays {
  private readonly schedules = new Map<string, RetrySchedule>();

  constructor(private readonly random: RandomSource) {}

  /** @param service whose capacity the caller waits for; each service has a schedule of its own */
  retryAfterMs(service: string, context: RejectionContext, nowMs: number): number {
    const earliestMs = nowMs + EARLIEST_RETRY_MS[context.reason](context);
    const atMs = needsCapacity(context.reason)
      ? this.reserveRetry(service, context, earliestMs, nowMs)
      : earliestMs;
    const delayMs = Math.min(MAXIMUM_DELAY_MS, Math.max(MINIMUM_DELAY_MS, atMs - nowMs));
    return Math.round(delayMs * (1 + JITTER_SHARE * this.random.next()));
  }

  private reserveRetry(
    service: string,
    context: RejectionContext,
    earliestMs: number,
    nowMs: number,
  ): number {
    const horizonMs = nowMs + MAXIMUM_DELAY_MS;
    const rate = retriesPerSecond(context);
    return this.scheduleOf(service).reserve(context.priority, earliestMs, rate, horizonMs);
  }

  private scheduleOf(service: string): RetrySchedule {
    let schedule = this.schedules.get(service);
    if (!schedule) {
      schedule = new RetrySchedule();
      this.schedules.set(service, schedule);
    }
    return schedule;
  }
}

/** Earliest time after which a retry may succeed, in milliseconds. */
const EARLIEST_RETRY_MS: Record<RejectionReason, (context: RejectionContext) => number> = {
  [RejectionReason.Stopping]: () => MINIMUM_DELAY_MS,
  [RejectionReason.NoConfiguration]: ({ hasPeers }) =>
    hasPeers ? FAILOVER_DELAY_MS : TRANSIENT_DELAY_MS,
  // Routers share their proofs, so the others lack one too. An outage is assumed to last half as
  // long again as it has so far.
  [RejectionReason.ConfigurationUnproven]: ({ hasPeers, storeOutMs }) =>
    hasPeers ? Math.max(TRANSIENT_DELAY_MS, storeOutMs / 2) : FAILOVER_DELAY_MS,
  [RejectionReason.TooLate]: ({ excessMs }) => excessMs,
  [RejectionReason.QueueTooLong]: ({ excessMs }) => excessMs,
  [RejectionReason.QueueFull]: () => MINIMUM_DELAY_MS,
  // Another router has a budget of its own; here, engines have to take bodies first.
  [RejectionReason.MemoryFull]: ({ hasPeers }) =>
    hasPeers ? FAILOVER_DELAY_MS : TRANSIENT_DELAY_MS,
  [RejectionReason.NoService]: () => TRANSIENT_DELAY_MS,
  [RejectionReason.NoEngine]: () => TRANSIENT_DELAY_MS,
  [RejectionReason.EnginesBackingOff]: ({ engineWaitMs }) => engineWaitMs,
  [RejectionReason.EnginesLimited]: ({ engineWaitMs }) => engineWaitMs,
  [RejectionReason.EnginesUnreachable]: () => TRANSIENT_DELAY_MS,
  [RejectionReason.AllBusy]: () => MINIMUM_DELAY_MS,
  [RejectionReason.EnginesFull]: () => MINIMUM_DELAY_MS,
  [RejectionReason.NoTimeLeft]: () => MINIMUM_DELAY_MS,
  [RejectionReason.AwaitsTrial]: () => TRANSIENT_DELAY_MS,
  [RejectionReason.UnknownStreamOrigin]: () => MINIMUM_DELAY_MS,
};

/** Whether a retry depends on free capacity of engines. */
function needsCapacity(reason: RejectionReason): boolean {
  return (
    reason === RejectionReason.AllBusy ||
    reason === RejectionReason.EnginesBackingOff ||
    reason === RejectionReason.EnginesLimited ||
    reason === RejectionReason.EnginesFull ||
    reason === RejectionReason.QueueTooLong ||
    reason === RejectionReason.QueueFull ||
    reason === RejectionReason.TooLate
  );
}

function retriesPerSecond({ finishesPerSecond }: RejectionContext): number {
  return Math.max(MINIMUM_RETRIES_PER_SECOND, RETRY_SHARE * finishesPerSecond);
}
