/**
 * Recognizes callers that return after a rejection by the queue. Each attempt of a caller has its
 * own identifier, so the content is compared. A caller that returns to another router is treated as
 * new; its retry time still has a reserved slot in the schedule of the router that rejected it.
 */
import type { Clock } from '../../../runtime/clock.js';
import { createBoundedCache } from '../../../state/bounded-cache.js';
import { fingerprintOf } from '../../../state/routing/request-fingerprint.js';
import type { InboundRequest } from '../reply.js';

/** Longest retry delay with jitter. */
const RETURN_MS = 4_000;
const MAXIMUM_CALLERS = 4_096;
const REJECTED = {};

/** Callers that this router has recently asked to return. */
export class ReturningCallers {
  private readonly rejected;

  constructor(clock: Clock) {
    this.rejected = createBoundedCache<string, object>(MAXIMUM_CALLERS, {
      retentionMs: RETURN_MS,
      now: () => clock.now(),
    });
  }

  /** Records that a request was rejected. */
  note(request: InboundRequest, tenant: string | undefined): void {
    this.rejected.set(fingerprintOf({ ...request, tenant }), REJECTED);
  }

  /** Whether the request was rejected recently; computes its fingerprint only if any was. */
  isReturning(request: InboundRequest, tenant: string | undefined): boolean {
    return this.rejected.size > 0 && this.rejected.has(fingerprintOf({ ...request, tenant }));
  }
}
