/**
 * Decides how one router responds to requests that it does not serve, and whether a generation can
 * meet its deadline.
 */
import type { Clock } from '../../runtime/clock.js';
import type { RandomSource } from '../../runtime/random.js';
import {
  FinishEstimate,
  type FinishEstimateInputs,
  type FinishSample,
} from '../../state/routing/finish-estimate.js';
import {
  DEFAULT_ENGINE_SPEEDS,
  type EngineSpeedView,
  slownessOf,
} from '../../state/routing/engine-speeds.js';
import type { GenerationShape } from '../../state/routing/generation.js';
import type { Placement } from '../../state/routing/placement.js';
import { JITTER_SHARE, RetryDelays, RejectionReason } from '../../state/routing/rejection.js';
import { SendRate } from '../../state/routing/send-rate.js';
import type { StoreOutages } from '../../state/routing/store-outages.js';
import type { GatewayStatistics } from './gateway-statistics.js';
import type { RouterResponse } from './reply.js';

/** Dependencies of {@link Rejections}. */
export interface RejectionParts {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly outages: StoreOutages;
  readonly statistics: GatewayStatistics;
  /** Learned speeds of engines; the default if left out. */
  readonly speeds?: EngineSpeedView;
  /** Whether other routers respond. */
  hasPeers(): boolean;
}

/** Inputs of the response to a rejected request. */
export interface RejectedRequest {
  readonly reason: RejectionReason;
  /** Empty if no service was selected. */
  readonly service: string;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Time by which the estimated duration or wait exceeds the limit, in milliseconds. */
  readonly excessMs?: number | undefined;
  /**
   * Time until the first engine with a backoff or a limit accepts a request of this router, in
   * milliseconds.
   */
  readonly engineWaitMs?: number | undefined;
  /** Completions per second that the queue of the service observes; undefined if it has none. */
  readonly servedPerSecond?: number | undefined;
}

/** Details of a rejection besides its reason; `priority` is set if the request was not granted. */
export interface RejectionDetails extends Partial<Omit<RejectedRequest, 'reason' | 'service'>> {
  /** Describes the failure if the request may have run. */
  readonly detail?: string;
}

/** Whether a generation is expected to meet its deadline. */
export type Admission =
  | { readonly kind: 'admitted' }
  /** Expected to miss its deadline, but sent to check the estimate. */
  | { readonly kind: 'sample' }
  | TooLateVerdict;

/** A generation is expected to miss its deadline. */
export interface TooLateVerdict {
  readonly kind: 'too-late';
  readonly excessMs: number;
  /** Expected time from send to the last token. */
  readonly finishMs: number;
  readonly inputs: FinishEstimateInputs | undefined;
}

/**
 * Share of the remaining time within which a generation must be expected to end. The margin covers
 * the delay of the estimate: it is learned from completed responses, and requests admitted since
 * then slow all of them down.
 */
export const MAXIMUM_SHARE_OF_REMAINING_TIME = 0.5;
/**
 * One in this many generations that are expected to miss their deadline is sent to check the
 * estimate.
 */
const TOO_LATE_PER_SAMPLE = 16;
const STATUS_NOT_RUN = 503;
const STATUS_OVER_QUOTA = 429;

/** Decides the rejections of one router. */
export class Rejections {
  private readonly retryDelays: RetryDelays;
  private readonly estimate = new FinishEstimate();
  private readonly finishRate = new SendRate();

  constructor(private readonly parts: RejectionParts) {
    this.retryDelays = new RetryDelays(parts.random);
  }

  /** Whether a placed generation is expected to meet its deadline. */
  admit(generation: GenerationShape, placement: Placement, remainingMs: number): Admission {
    const { statistics, random, clock } = this.parts;
    const finishMs = this.finishMs(generation, placement);
    const limitMs = remainingMs * MAXIMUM_SHARE_OF_REMAINING_TIME;
    if (finishMs === undefined || finishMs <= limitMs) return { kind: 'admitted' };
    if (random.next() * TOO_LATE_PER_SAMPLE < 1) {
      statistics.tooLateSamples += 1;
      return { kind: 'sample' };
    }
    statistics.tooLateRejections += 1;
    const inputs = this.estimate.inputsOf(generation.model, clock.now());
    return { kind: 'too-late', excessMs: finishMs - limitMs, finishMs, inputs };
  }

  /**
   * Expected time from the send of a placed generation to the end of its response, in milliseconds;
   * without recent responses, from the speed of the engine.
   */
  durationMs(generation: GenerationShape, placement: Placement): number {
    const { maximumOutputTokens, expectedOutputTokens = maximumOutputTokens } = generation;
    const { tokenMs } = this.speeds.at(placement.engine.record.id);
    const unlearnedMs = placement.expectedMs + expectedOutputTokens * tokenMs;
    return this.finishMs(generation, placement) ?? unlearnedMs;
  }

  /** The learned estimate of {@link durationMs}; undefined without recent responses. */
  private finishMs(
    { model, maximumOutputTokens }: GenerationShape,
    { expectedMs, engine }: Placement,
  ): number | undefined {
    const slowness = slownessOf(this.speeds.at(engine.record.id));
    const now = this.parts.clock.now();
    return this.estimate.finishMs(model, expectedMs, maximumOutputTokens, now, slowness);
  }

  private get speeds(): EngineSpeedView {
    return this.parts.speeds ?? DEFAULT_ENGINE_SPEEDS;
  }

  /** Returns the response to a rejected request that did not run. */
  responseTo({
    reason,
    service,
    priority,
    excessMs = 0,
    engineWaitMs = 0,
    servedPerSecond,
  }: RejectedRequest): RouterResponse {
    const { clock, outages } = this.parts;
    const now = clock.now();
    const facts = {
      reason,
      priority,
      excessMs,
      engineWaitMs,
      finishesPerSecond: servedPerSecond ?? this.finishRate.perSecond(service, now),
      storeOutMs: outages.currentOutageMs(now),
      hasPeers: this.parts.hasPeers(),
    };
    const retryAfterMs = this.retryDelays.retryAfterMs(service, facts, now);
    return { status: STATUS_NOT_RUN, reason, retryAfterMs };
  }

  /**
   * Returns the response to a request that exceeds its tenant's limit. The jitter spreads the
   * retries.
   */
  overQuota(retryAfterMs: number): RouterResponse {
    const jitterMs = retryAfterMs * JITTER_SHARE * this.parts.random.next();
    return { status: STATUS_OVER_QUOTA, reason: 'quota', retryAfterMs: retryAfterMs + jitterMs };
  }

  /** Records that a service finished a request. */
  noteFinish(service: string): void {
    this.finishRate.record(service, 1, this.parts.clock.now());
  }

  /** Records the pause between two chunks of a stream, in milliseconds. */
  notePause(model: string, pauseMs: number, slowness = 1): void {
    this.estimate.notePause(model, pauseMs, slowness);
  }

  /** Records the completed response to a generation. */
  noteEnd(model: string, sample: FinishSample): void {
    this.estimate.noteEnd(model, sample, this.parts.clock.now());
  }
}
