/**
 * How one router answers requests that it does not serve, and whether a generation can be served in time
 * at all: the one place where rejections are decided.
 */
import type { Clock } from '../../runtime/clock.js';
import type { RandomSource } from '../../runtime/random.js';
import { FinishEstimate, type FinishSample } from '../../state/routing/finish-estimate.js';
import type { GenerationShape } from '../../state/routing/generation.js';
import type { Placement } from '../../state/routing/placement.js';
import { JITTER_SHARE, RejectionAdvice, RejectionReason } from '../../state/routing/rejection.js';
import { SendRate } from '../../state/routing/send-rate.js';
import type { StoreOutages } from '../../state/routing/store-outages.js';
import type { GatewayStatistics } from './gateway-statistics.js';
import type { OwnAnswer } from './reply.js';

/** What the rejections of one router are decided from. */
export interface RejectionParts {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly outages: StoreOutages;
  readonly statistics: GatewayStatistics;
  /** Whether other routers respond. */
  hasPeers(): boolean;
}

/** A request that is turned away, as far as that is known. */
export interface Rejected {
  readonly reason: RejectionReason;
  /** Empty where the request was not matched to one. */
  readonly service: string;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** By how much the estimate passes what it may be, in milliseconds. */
  readonly excessMs?: number | undefined;
  /** Time until the first engine that paused or limits requests takes one of this router, in milliseconds. */
  readonly engineWaitMs?: number | undefined;
}

/** What is known of a rejection besides its reason; the priority where the request was granted nothing. */
export interface RejectionDetails extends Partial<Omit<Rejected, 'reason' | 'service'>> {
  /** What failed, where the request may have run. */
  readonly detail?: string;
}

/** Verdict on a generation's time. */
export type Admission =
  | { readonly kind: 'admitted' }
  /** Expected too late, sent all the same to see whether the estimate holds. */
  | { readonly kind: 'sample' }
  | { readonly kind: 'too-late'; readonly excessMs: number };

/**
 * Share of a caller's time by which its generation must be expected to end. The estimate is as old as the
 * answers take that it was learnt from, and what is sent on top makes all of them later. Of 0.8, 0.65, 0.5,
 * 0.35 and 0.25 this answered the most callers on overloaded days of two deployments.
 */
const LATEST_SHARE_OF_TIME = 0.5;
/** One in so many generations that are expected too late is sent, so that the estimate stays honest. */
const TOO_LATE_PER_SAMPLE = 16;
const STATUS_NOT_RUN = 503;
const STATUS_BEYOND_LIMIT = 429;

/** Rejections of one router. */
export class Rejections {
  private readonly advice: RejectionAdvice;
  private readonly estimate = new FinishEstimate();
  private readonly finishes = new SendRate();

  constructor(private readonly parts: RejectionParts) {
    this.advice = new RejectionAdvice(parts.random);
  }

  /** Whether a generation that is placed may still end before its deadline. */
  admit(generation: GenerationShape, placement: Placement, remainingMs: number): Admission {
    const { statistics, random, clock } = this.parts;
    const { model, maximumOutputTokens } = generation;
    const now = clock.now();
    const { expectedMs } = placement;
    const finishMs = this.estimate.finishMs(model, expectedMs, maximumOutputTokens, now);
    const limitMs = remainingMs * LATEST_SHARE_OF_TIME;
    if (finishMs === undefined || finishMs <= limitMs) return { kind: 'admitted' };
    if (random.next() * TOO_LATE_PER_SAMPLE < 1) {
      statistics.tooLateSamples += 1;
      return { kind: 'sample' };
    }
    statistics.tooLateRejections += 1;
    return { kind: 'too-late', excessMs: finishMs - limitMs };
  }

  /** The answer to a request of which nothing ran. */
  answer({ reason, service, priority, excessMs = 0, engineWaitMs = 0 }: Rejected): OwnAnswer {
    const { clock, outages } = this.parts;
    const now = clock.now();
    const facts = {
      reason,
      priority,
      excessMs,
      engineWaitMs,
      finishesPerSecond: this.finishes.perSecond(service, now),
      storeOutMs: outages.outForMs(now),
      hasPeers: this.parts.hasPeers(),
    };
    const retryAfterMs = this.advice.retryAfterMs(service, facts, now);
    return { status: STATUS_NOT_RUN, reason, retryAfterMs };
  }

  /** The answer to a request beyond its tenant's limit; callers do not return together. */
  beyondLimit(retryAfterMs: number): OwnAnswer {
    const jitterMs = retryAfterMs * JITTER_SHARE * this.parts.random.next();
    return { status: STATUS_BEYOND_LIMIT, reason: 'quota', retryAfterMs: retryAfterMs + jitterMs };
  }

  /** A service has ended a request. */
  noteFinish(service: string): void {
    this.finishes.note(service, 1, this.parts.clock.now());
  }

  /** Two pieces of a stream came with this pause between them, in milliseconds. */
  notePause(model: string, pauseMs: number): void {
    this.estimate.notePause(model, pauseMs);
  }

  /** The answer to a generation has come to its end. */
  noteEnd(model: string, sample: FinishSample): void {
    this.estimate.noteEnd(model, sample, this.parts.clock.now());
  }
}
