/**
 * The claims one replica holds: which router may dispatch a request that may not be repeated.
 *
 * A replica grants an identifier to one claimant only. After a restart its memory is empty; it then
 * abstains for identifiers that may have been claimed before it started, and so never grants a second
 * time what it granted before. Both times are wall clock times, since a message may be under way for
 * any time; the machines' clocks are assumed to agree within {@link CLOCK_TOLERANCE_MS}.
 */
import type { LRUCache } from 'lru-cache';
import { createBoundedCache } from './bounded-cache.js';

/** How long a claim is kept. An identifier must not be used again after that. */
export const CLAIM_RETENTION_MS = 10 * 60 * 1000;

/** How far apart two machines' wall clocks may be. */
export const CLOCK_TOLERANCE_MS = 2_000;

/** A proven first attempt counts as such for so long, clock tolerance included. */
const FRESH_MS = 3_000;

/** Claims kept at most; the oldest go first. */
const MAXIMUM_CLAIMS = 100_000;

/** The recorded answer of a request. */
export interface RecordedOutcome {
  readonly status: number;
  readonly body: Uint8Array;
}

/** A replica's answer to a claim. */
export type ClaimVerdict =
  | { readonly kind: 'granted' }
  | { readonly kind: 'held'; readonly holder: string }
  | { readonly kind: 'settled'; readonly outcome: RecordedOutcome }
  | { readonly kind: 'abstained' };

interface Claim {
  readonly holder: string;
  outcome?: RecordedOutcome;
}

/** What is known of an identifier's first use. */
export interface FirstUse {
  /** Wall clock time at which it may first have been used, in milliseconds. */
  readonly atMs: number;
  /** True where this very attempt is the first. */
  readonly proven: boolean;
}

/** What a claimant asks for. */
export interface ClaimRequest {
  readonly requestId: string;
  /** Unique for each claim, not only for each router: one router may get an identifier twice. */
  readonly claimant: string;
  readonly firstUse: FirstUse;
}

/** One replica's table. */
export class ClaimTable {
  private readonly claims: LRUCache<string, Claim>;

  constructor(
    /** Wall clock time of this replica's start. */
    private readonly startedAtMs: number,
    private readonly now: () => number,
  ) {
    this.claims = createBoundedCache(MAXIMUM_CLAIMS, { retentionMs: CLAIM_RETENTION_MS, now });
  }

  /** Grants, refuses or abstains. */
  claim(request: ClaimRequest): ClaimVerdict {
    const present = this.claims.get(request.requestId);
    if (present) return verdictOf(present);
    if (this.mayHaveForgotten(request)) return { kind: 'abstained' };
    this.claims.set(request.requestId, { holder: request.claimant });
    return { kind: 'granted' };
  }

  private mayHaveForgotten(request: ClaimRequest): boolean {
    const { atMs, proven } = request.firstUse;
    // A first attempt that was held up on its way may have been overtaken by a second one.
    const isFresh = this.now() - atMs <= FRESH_MS;
    if (proven && isFresh) return false;
    return atMs - CLOCK_TOLERANCE_MS <= this.startedAtMs;
  }

  /** Gives a claim back after its holder proved that the request was not run. */
  release(requestId: string, claimant: string): void {
    if (this.claims.peek(requestId)?.holder === claimant) this.claims.delete(requestId);
  }

  /** Keeps the answer, so that the same identifier is answered with it. */
  recordOutcome(requestId: string, outcome: RecordedOutcome, recorder: string): void {
    const holder = this.claims.peek(requestId)?.holder ?? recorder;
    this.claims.set(requestId, { holder, outcome });
  }
}

function verdictOf(claim: Claim): ClaimVerdict {
  if (claim.outcome) return { kind: 'settled', outcome: claim.outcome };
  return { kind: 'held', holder: claim.holder };
}
