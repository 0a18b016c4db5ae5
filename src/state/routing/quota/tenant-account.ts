/**
 * The account that one router keeps for a tenant on behalf of all: it answers whether a request is within
 * the limit, and says when the limit is so near that all routers have to ask before they serve. Pure.
 *
 * Load pattern: one tenant sends several times its usual through all routers at once. While it stays far
 * below its limit nobody waits for the account; what was used is entered afterwards. Near the limit a
 * router asks first, so that what all of them use passes the limit by no more than what was on its way
 * when the account ran low.
 */
import { type QuotaTolerance, type TenantLimit, excessAllowed } from './tenant-limit.js';
import { TokenBucket } from './token-bucket.js';

/** A charge that a router asks for or enters. */
export interface ChargeRequest {
  /** Units; below 0 gives back. */
  readonly amount: number;
  /** Whether the request is served already, so that it counts in any case. */
  readonly isTaken: boolean;
}

/** What the account says. Times in milliseconds. */
export interface ChargeVerdict {
  readonly isGranted: boolean;
  /** When a request that was not granted may come again; Infinity where it is larger than the limit. */
  readonly retryAfterMs: number;
  /** How long routers have to ask before they serve this tenant; 0 while the limit is far. */
  readonly watchMs: number;
}

/** What the account knows of the group. */
export interface AccountSurroundings {
  readonly tolerance: QuotaTolerance;
  /** Share of the rate that is for routers that can reach this one, above 0 to 1. */
  readonly reachableShare: number;
  /** The part of the group's requests that the router of the account takes itself, above 0 to 1. */
  readonly ownShare: number;
  /**
   * Whether this router has run for a whole window. One that has restarted may have kept the account before,
   * and would give out the excess once more with each start.
   */
  readonly hasRunForWindow: boolean;
}

/**
 * Shares of the excess allowed in a window that the account gives out: at once on top of the burst, and over
 * the window on top of the rate. What operators tolerate is better used than refused to callers. The rest
 * is for two accounts that begin anew within a window, and for what is on its way when one runs low.
 */
const BURST_EXCESS_SHARE = 0.2;
const RATE_EXCESS_SHARE = 0.35;
/**
 * Level of an account that begins, or that nobody used for {@link IDLE_MS}, as a share of the excess
 * allowed: others may have kept the account meanwhile, and what they gave out is not known here.
 */
const BEGINNING_SHARE = 0.2;
const IDLE_MS = 1_000;
/**
 * A router that is cut off with the account grants the whole rate to its own callers until it notices. So
 * much of the excess over the window is kept for that, by the router's part of the requests. With it the
 * most used window fell by 0.02 of what is allowed in groups of 3 and 5 routers (simulated, nine seeds).
 */
const KEPT_OF_EXCESS = 2;
/** An account that no more of the routers can reach is the one that was cut off. */
const MINORITY_SHARE = 0.5;
/** Below this share of its size the account has to be asked first. */
const WATCH_BELOW_SHARE = 0.35;
/** Above it no longer. */
const RELAX_ABOVE_SHARE = 0.7;
/** How long a router asks first after it last heard that it has to. */
export const WATCH_MS = 4_000;
/** Share of the rate at which callers that were turned away are asked back; the rest is for new ones. */
const RETURNING_SHARE = 0.5;
/** A limit without a burst bears what accrues in this time, and one unit: nothing would pass it else. */
const LEAST_BURST_MS = 250;
/** Callers are asked back no later; what they find then is not foreseen. */
const LONGEST_RETURN_MS = 3_000;
const SHORTEST_RETURN_MS = 100;
const MILLISECONDS_PER_SECOND = 1_000;

/** One tenant's account. */
export class TenantAccount {
  private readonly bucket: TokenBucket;
  private usedMs = -Infinity;
  private isWatched = false;
  private lastReturnMs = 0;

  constructor(
    private limit: TenantLimit,
    private surroundings: AccountSurroundings,
    nowMs: number,
  ) {
    const { rate, size } = this.bounds();
    // The first charge lowers it to what an account may begin with.
    this.bucket = new TokenBucket(rate, size, size, nowMs);
  }

  /** Units that may be used now. */
  level(nowMs: number): number {
    return this.bucket.level(nowMs);
  }

  /** Takes a changed limit or a changed group. */
  adapt(limit: TenantLimit, surroundings: AccountSurroundings, nowMs: number): void {
    const before = this.surroundings;
    const isSame =
      limit === this.limit &&
      surroundings.reachableShare === before.reachableShare &&
      surroundings.ownShare === before.ownShare;
    const isFewer = surroundings.reachableShare < before.reachableShare;
    this.surroundings = surroundings;
    if (isSame) return;
    this.limit = limit;
    const { rate, size } = this.bounds();
    this.bucket.resize(rate, size, nowMs);
    if (isFewer && surroundings.reachableShare <= MINORITY_SHARE) this.beginAnew(nowMs);
  }

  /**
   * The account is cut off from most routers. Until that was noticed it filled at the whole rate, and only
   * few used it; the others have opened another one, so that this one begins anew with its part.
   */
  private beginAnew(nowMs: number): void {
    const { tolerance, reachableShare } = this.surroundings;
    const beginning = BEGINNING_SHARE * excessAllowed(this.limit, tolerance);
    this.bucket.lowerTo(beginning * reachableShare, nowMs);
  }

  /** Answers a router, and enters the charge where it is granted or taken. */
  charge({ amount, isTaken }: ChargeRequest, nowMs: number): ChargeVerdict {
    this.noteUse(amount, nowMs);
    const isGranted = isTaken || amount <= this.bucket.level(nowMs);
    if (isGranted) this.bucket.take(amount, nowMs);
    this.updateWatch(nowMs);
    return {
      isGranted,
      retryAfterMs: isGranted ? 0 : this.bookReturn(amount, nowMs),
      watchMs: this.isWatched ? WATCH_MS : 0,
    };
  }

  private noteUse(amount: number, nowMs: number): void {
    if (nowMs - this.usedMs > IDLE_MS) {
      this.bucket.lowerTo(this.beginningFor(amount), nowMs);
    }
    this.usedMs = nowMs;
  }

  /** Level with which the account begins, where its first charge is `amount`. */
  private beginningFor(amount: number): number {
    const { tolerance, hasRunForWindow } = this.surroundings;
    const beginning = BEGINNING_SHARE * excessAllowed(this.limit, tolerance);
    // Where little excess is allowed, a tenant that sends seldom must still be served.
    if (beginning < amount) return Math.min(amount, this.limit.burst);
    return hasRunForWindow ? beginning : 0;
  }

  private updateWatch(nowMs: number): void {
    const share = this.bucket.level(nowMs) / this.bucket.size;
    if (share < WATCH_BELOW_SHARE) this.isWatched = true;
    else if (share > RELAX_ABOVE_SHARE) this.isWatched = false;
  }

  /** Callers come back one after the other, so that they do not meet the same empty account together. */
  private bookReturn(amount: number, nowMs: number): number {
    const waitMs = this.bucket.millisecondsUntil(amount, nowMs);
    if (waitMs === Infinity) return Infinity;
    const { ratePerSecond } = this.limit;
    const turnMs = (amount / (ratePerSecond * RETURNING_SHARE)) * MILLISECONDS_PER_SECOND;
    const earliestMs = Math.max(nowMs + waitMs, this.lastReturnMs + turnMs);
    const atMs = Math.min(earliestMs, nowMs + LONGEST_RETURN_MS);
    this.lastReturnMs = atMs;
    return Math.max(SHORTEST_RETURN_MS, atMs - nowMs);
  }

  private bounds(): { readonly rate: number; readonly size: number } {
    const { tolerance } = this.surroundings;
    const { ratePerSecond, burst } = this.limit;
    const excess = excessAllowed(this.limit, tolerance);
    const leastBurst = Math.max(1, (ratePerSecond * LEAST_BURST_MS) / MILLISECONDS_PER_SECOND);
    return {
      rate: this.rate(excess),
      size: Math.max(burst, leastBurst) + BURST_EXCESS_SHARE * excess,
    };
  }

  /** Routers that can't reach the account spend their own share of the rate, and may use the excess up. */
  private rate(excess: number): number {
    const { tolerance, reachableShare, ownShare } = this.surroundings;
    const { ratePerSecond } = this.limit;
    if (reachableShare < 1) return ratePerSecond * reachableShare;
    const kept = Math.max(0, 1 - KEPT_OF_EXCESS * ownShare);
    const given =
      (kept * RATE_EXCESS_SHARE * excess * MILLISECONDS_PER_SECOND) / tolerance.windowMs;
    return ratePerSecond + given;
  }
}
