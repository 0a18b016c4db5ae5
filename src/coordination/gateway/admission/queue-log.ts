/** Log lines of the request queues: one for each decision on a request, with its inputs. */
import type { Logger } from '../../../runtime/logger.js';
import type { RejectionReason } from '../../../state/routing/rejection.js';

/** State of a queue when a decision was made. Times in milliseconds. */
export interface QueueDecision {
  readonly request: string;
  readonly service: string;
  /** Requests that are served before this one, as far as known. */
  readonly position: number;
  /** Expected wait from now. */
  readonly expectedMs: number;
  /** Time until the request can't meet its objective any more; negative afterwards. */
  readonly slackMs: number;
  /** Time since the last completion that the rate is computed from; Infinity if there was none. */
  readonly rateAgeMs: number;
  /** Time that the request has waited. */
  readonly waitedMs: number;
}

/** Logs that a request waits. */
export function logQueued(decision: QueueDecision, cause: RejectionReason, logger: Logger): void {
  logger.info('request_queued', { ...fieldsOf(decision), cause });
}

/** Logs that a request leaves the queue for a send. */
export function logDequeued(decision: QueueDecision, isLate: boolean, logger: Logger): void {
  logger.info('request_dequeued', { ...fieldsOf(decision), reason: isLate ? 'late' : 'capacity' });
}

/** Logs that the queue rejects a request, which may not have entered it. */
export function logQueueRejection(
  decision: QueueDecision,
  reason: RejectionReason,
  logger: Logger,
): void {
  logger.info('request_queue_rejected', { ...fieldsOf(decision), reason });
}

function fieldsOf(decision: QueueDecision): Record<string, string | number | undefined> {
  const { request, service, position, expectedMs, slackMs, rateAgeMs, waitedMs } = decision;
  return {
    request,
    service,
    position,
    expected_ms: Math.round(expectedMs),
    slack_ms: Math.round(slackMs),
    rate_age_ms: Number.isFinite(rateAgeMs) ? Math.round(rateAgeMs) : undefined,
    waited_ms: Math.round(waitedMs),
  };
}
