/**
 * Claims of one replica: which router may dispatch a request that must not run twice.
 *
 * A replica grants an identifier to one claimant only. Claims are not persisted: after a restart
 * the replica abstains from identifiers that may have been claimed before it started, so that it
 * never grants an identifier twice. Times are wall-clock times, since messages can be delayed
 * arbitrarily; the clocks of the machines must agree within {@link CLOCK_TOLERANCE_MS}.
 */
import type { LRUCache } from 'lru-cache';
import { createBoundedCache } from './bounded-cache.js';

/** Lifetime of a claim. Its identifier must not be used again afterwards. */
export const CLAIM_RETENTION_MS = 10 * 60 * 1000;

/** Maximum difference between the wall clocks of two machines. */
export const CLOCK_TOLERANCE_MS = 2_000;

/** Maximum age of a proven first use, including the clock tolerance. */
const FIRST_USE_VALIDITY_MS = 3_000;

/** Maximum number of claims; the least recently used ones are evicted first. */
const MAXIMUM_CLAIMS = 100_000;

/** The recorded response to a request. */
export interface RecordedOutcome {
  readonly status: number;
  readonly body: Uint8Array;
}

/** Result of a claim at one replica. */
export type ClaimVerdict =
  | { readonly kind: 'granted' }
  | { readonly kind: 'held'; readonly holder: string }
  | { readonly kind: 'settled'; readonly outcome: RecordedOutcome }
  | { readonly kind: 'abstained' };

interface Claim {
  readonly holder: string;
  outcome?: RecordedOutcome;
}

/** First use of an identifier. */
export interface FirstUse {
  /** Earliest wall-clock time at which it may have been used, in milliseconds. */
  readonly atMs: number;
  /** Whether this attempt is known to be the first. */
  readonly proven: boolean;
}

/** A claim of an identifier. */
export interface ClaimRequest {
  readonly requestId: string;
  /** Unique for each claim, since one router may receive the same identifier twice. */
  readonly claimant: string;
  readonly firstUse: FirstUse;
}

/** Claims of one replica. */
export class ClaimTable {
  private readonly claims: LRUCache<string, Claim>;

  constructor(
    /** Wall-clock time at which this replica started. */
    private readonly startedAtMs: number,
    private readonly now: () => number,
  ) {
    this.claims = createBoundedCache(MAXIMUM_CLAIMS, { retentionMs: CLAIM_RETENTION_MS, now });
  }

  /** Grants or refuses the claim, or abstains. */
  claim(request: ClaimRequest): ClaimVerdict {
    const present = this.claims.get(request.requestId);
    if (present) return verdictOf(present);
    if (this.mayHaveLostClaim(request)) return { kind: 'abstained' };
    this.claims.set(request.requestId, { holder: request.claimant });
    return { kind: 'granted' };
  }

  private mayHaveLostClaim(request: ClaimRequest): boolean {
    const { atMs, proven } = request.firstUse;
    // A first attempt that was delayed in transit may arrive after a second one.
    const isRecent = this.now() - atMs <= FIRST_USE_VALIDITY_MS;
    if (proven && isRecent) return false;
    return atMs - CLOCK_TOLERANCE_MS <= this.startedAtMs;
  }

  /** Releases a claim after its holder proved that the request did not run. */
  release(requestId: string, claimant: string): void {
    if (this.claims.peek(requestId)?.holder === claimant) this.claims.delete(requestId);
  }

  /** Records the response, which is returned to later requests with the same identifier. */
  recordOutcome(requestId: string, outcome: RecordedOutcome, recorder: string): void {
    const holder = this.claims.peek(requestId)?.holder ?? recorder;
    this.claims.set(requestId, { holder, outcome });
  }
}

function verdictOf(claim: Claim): ClaimVerdict {
  if (claim.outcome) return { kind: 'settled', outcome: claim.outcome };
  return { kind: 'held', holder: claim.holder };
}
