/** Decides whether one request is sent again after a failed send. */
import type { ExchangeFailure } from '../../protocol/inference/port.js';
import type { Placement, PlacementFailure } from '../../state/routing/placement.js';
import { RejectionReason } from '../../state/routing/rejection.js';
import type { CallRecord } from './call-record.js';
import { rejectionReasonOf } from './failed-send.js';
import { placeCall } from './call-placement.js';
import type { Send } from './send.js';

/** Failed connections allowed for one request before it is rejected. */
const MAXIMUM_CONNECT_FAILURES = 3;

/**
 * Share of the retry budget up to which the rest of streams is asked for that may be whole: streams that
 * are known to be broken off need what is left.
 */
const CONFIRMATION_SHARE = 0.6;

/** What follows a failed send. */
export type RetryDecision =
  | { readonly kind: 'retry' }
  | { readonly kind: 'reject'; readonly reason: RejectionReason; readonly detail?: string }
  /** The caller has received a part of the response, which can't be continued. */
  | { readonly kind: 'abort'; readonly detail: string };

const RETRY: RetryDecision = { kind: 'retry' };

/** Decides the retries of one request. */
export class CallRetries {
  constructor(private readonly call: CallRecord) {}

  /** Decides after a failed send; a retry is spent from the budget. */
  decide(failure: ExchangeFailure): RetryDecision {
    // An engine that runs may be asked again if there is no other.
    if (failure.kind === 'unconfirmed' && this.hasNoEngine)
      this.call.excluded.delete(failure.engine);
    return this.call.hasBegun ? this.decideResumption(failure) : this.decideRetry(failure);
  }

  /** Whether another engine is available and the retry budget allows a retry. */
  canFailOver(send: Send): boolean {
    const { service, context, now } = this.call;
    if (!service) return false;
    const budget = context.retryBudgets.of(service.name);
    if (!budget.canSpend(now, context.group.size)) return false;
    return typeof this.placeWithout(send.engineId) !== 'string';
  }

  /** Spends a retry for a request whose engine is silent; returns false if none may be made. */
  tryFailOver(send: Send, failure: ExchangeFailure): boolean {
    return this.canFailOver(send) && this.isRetried(failure);
  }

  /** Places the request at another engine than those tried and the given one. */
  private placeWithout(engineId?: string): Placement | PlacementFailure {
    const { grant, service, context, request, excluded, requiredBuild } = this.call;
    if (!grant || !service) return RejectionReason.NoEngine;
    const allExcluded = engineId === undefined ? excluded : new Set([...excluded, engineId]);
    return placeCall({ request, grant, service, excluded: allExcluded, requiredBuild }, context);
  }

  /** Decides before any part of a response was sent to the caller. */
  private decideRetry(failure: ExchangeFailure): RetryDecision {
    const { call } = this;
    if (failure.kind === 'not-sent' && call.connectFailures > MAXIMUM_CONNECT_FAILURES) {
      return { kind: 'reject', reason: RejectionReason.EnginesUnreachable };
    }
    const isSafe = call.mayRepeat || !call.mayHaveRun;
    if (isSafe && this.isRetried(failure)) return RETRY;
    return { kind: 'reject', reason: rejectionReasonOf(failure), detail: failure.reason };
  }

  /** Decides whether another engine continues a stream. */
  private decideResumption(failure: ExchangeFailure): RetryDecision {
    if (!this.call.response.isContinuable) return { kind: 'abort', detail: failure.reason };
    if (this.hasNoEngine) return { kind: 'abort', detail: RejectionReason.NoEngine };
    if (!this.isRetried(failure)) return { kind: 'abort', detail: failure.reason };
    return RETRY;
  }

  /** Whether the attempts of the route and the retry budget allow that the rest is asked for. */
  get mayConfirm(): boolean {
    const { service, canSendAgain, hasEndedEarly, context, now } = this.call;
    if (!service || !canSendAgain) return false;
    if (hasEndedEarly) return true;
    const budget = context.retryBudgets.of(service.name);
    return budget.canSpend(now, context.group.size, CONFIRMATION_SHARE);
  }

  private get hasNoEngine(): boolean {
    return this.placeWithout() === RejectionReason.NoEngine;
  }

  private isRetried(failure: ExchangeFailure): boolean {
    const { canSendAgain, crashes } = this.call;
    if (failure.kind === 'unconfirmed' && !this.mayConfirm) return false;
    return canSendAgain && !crashes.isSuspectedCause(failure) && this.spendBudget(failure);
  }

  /** Spends from the retry budget; a send that did not reach its engine is free. */
  private spendBudget(failure: ExchangeFailure): boolean {
    const { service, context, now } = this.call;
    if (failure.kind === 'not-sent' || !service) return true;
    return context.retryBudgets.of(service.name).trySpend(now, context.group.size);
  }
}
