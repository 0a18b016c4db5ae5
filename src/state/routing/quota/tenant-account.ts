/**
 * The token account that the quota owner keeps for a tenant on behalf of all routers. It decides
 * whether a request is within the limit, and whether routers must query the owner before they serve
 * the tenant. Pure.
 *
 * Far below the limit routers serve at once and report the use afterwards. Near the limit they
 * query first, so that the use exceeds the limit at most by the requests in flight when the account
 * ran low.
 */
import { type QuotaTolerance, type TenantLimit, excessAllowed } from './tenant-limit.js';
import { TokenBucket } from './token-bucket.js';

/** A charge that a router requests or reports. */
export interface ChargeRequest {
  /** Units; negative for a refund. */
  readonly amount: number;
  /** Whether the request was already served, so that it is charged unconditionally. */
  readonly isTaken: boolean;
  /** Whether it was granted without this account, which did not respond at that time. */
  readonly isLate: boolean;
}

/** The decision of the account. Times in milliseconds. */
export interface ChargeVerdict {
  readonly isGranted: boolean;
  /** Retry delay of a rejected request; Infinity if it is larger than the limit. */
  readonly retryAfterMs: number;
  /** How long routers must query before they serve this tenant; 0 far below the limit. */
  readonly watchMs: number;
}

/** Tolerance of the account and state of the group. */
export interface AccountContext {
  readonly tolerance: QuotaTolerance;
  /** Share of the rate for the routers that can reach this one, above 0 and up to 1. */
  readonly reachableShare: number;
  /** Share of the group's requests that arrive at the quota owner, above 0 and up to 1. */
  readonly ownShare: number;
  /**
   * Whether this router has run for a full window. A restarted router may have owned the account
   * before, and would grant the excess again after each restart.
   */
  readonly hasRunForWindow: boolean;
  /** Whether another router is the quota owner, which grants from an account of its own. */
  readonly isSubstitute: boolean;
}

/**
 * Shares of the excess allowed in a window that the account grants: at once in addition to the
 * burst, and over the window in addition to the rate. The rest covers two accounts that are created
 * within a window, and requests in flight when an account runs low.
 */
const BURST_EXCESS_SHARE = 0.2;
const RATE_EXCESS_SHARE = 0.1;
/**
 * Level of an account that is new or was unused for {@link IDLE_MS}, as a share of the allowed
 * excess. Another router may have owned the account meanwhile, and its grants are unknown here.
 */
const INITIAL_LEVEL_SHARE = 0.2;
const IDLE_MS = 1_000;
/** Late charges are reported within this time once the account responds again. */
const ASSUMED_USAGE_LIFETIME_MS = 1_000;
/**
 * A partitioned quota owner grants the full rate to its own callers until it detects the partition.
 * This multiple of its share of the requests is withheld from the excess to compensate; it lowers
 * the use of the limit by 2% in simulated groups of 3 and 5 routers.
 */
const WITHHELD_EXCESS_FACTOR = 2;
/** An account that at most this share of the routers can reach counts as partitioned. */
const MINORITY_SHARE = 0.5;
/** Below this share of its size routers must query the account first. */
const WATCH_BELOW_SHARE = 0.35;
/** Above this share of its size routers need not query first any longer. */
const UNWATCH_ABOVE_SHARE = 0.7;
/** How long a router queries first after it was last instructed to. */
export const WATCH_MS = 4_000;
/** Share of the rate at which retries are scheduled; the rest is for new requests. */
const RETRY_SHARE = 0.5;
/** Minimum burst, as the time in which it accrues; a limit without any would reject everything. */
const MINIMUM_BURST_MS = 250;
const MAXIMUM_RETRY_DELAY_MS = 3_000;
const MINIMUM_RETRY_DELAY_MS = 100;
const MILLISECONDS_PER_SECOND = 1_000;

/** Usage that the account assumed of other accounts and that late charges may then report. */
interface AssumedUsage {
  readonly units: number;
  readonly atMs: number;
}

/** Token account of one tenant. */
export class TenantAccount {
  private readonly bucket: TokenBucket;
  private granted = 0;
  private lastUseMs = -Infinity;
  private assumed: AssumedUsage = { units: 0, atMs: -Infinity };
  private isWatched = false;
  private lastRetryMs = 0;

  constructor(
    private limit: TenantLimit,
    private context: AccountContext,
    nowMs: number,
  ) {
    const { rate, size } = this.bounds();
    // The first charge lowers the level to that of a new account.
    this.bucket = new TokenBucket(rate, size, size, nowMs);
  }

  /** Available units. */
  level(nowMs: number): number {
    return this.bucket.level(nowMs);
  }

  /** Units granted since the account was created, less refunds. */
  get grantedUnits(): number {
    return this.granted;
  }

  /** Lowers the level to at most `level`. */
  lowerTo(level: number, nowMs: number): void {
    this.bucket.lowerTo(level, nowMs);
  }

  /** Applies a changed limit or group. */
  reconfigure(limit: TenantLimit, context: AccountContext, nowMs: number): void {
    const before = this.context;
    const isSame =
      limit === this.limit &&
      context.reachableShare === before.reachableShare &&
      context.ownShare === before.ownShare;
    const isShareReduced = context.reachableShare < before.reachableShare;
    this.context = context;
    if (isSame) return;
    this.limit = limit;
    const { rate, size } = this.bounds();
    this.bucket.resize(rate, size, nowMs);
    if (isShareReduced && context.reachableShare <= MINORITY_SHARE) this.reset(nowMs);
  }

  /**
   * Resets an account that is partitioned from most routers. It filled at the full rate until the
   * partition was detected, while the other routers use another account; so it restarts with its
   * own share.
   */
  private reset(nowMs: number): void {
    const { tolerance, reachableShare } = this.context;
    const initialLevel = INITIAL_LEVEL_SHARE * excessAllowed(this.limit, tolerance);
    this.bucket.lowerTo(initialLevel * reachableShare, nowMs);
  }

  /** Decides on a charge, and records it if it is granted or already taken. */
  charge({ amount, isTaken, isLate }: ChargeRequest, nowMs: number): ChargeVerdict {
    this.noteUse(amount, nowMs);
    const isGranted = isTaken || amount <= this.bucket.level(nowMs);
    if (isGranted) {
      this.bucket.take(isLate ? this.unassumed(amount, nowMs) : amount, nowMs);
      this.granted += amount;
    }
    this.updateWatch(nowMs);
    return {
      isGranted,
      retryAfterMs: isGranted ? 0 : this.reserveRetry(amount, nowMs),
      watchMs: this.isWatched ? WATCH_MS : 0,
    };
  }

  private noteUse(amount: number, nowMs: number): void {
    const isIdle = nowMs - this.lastUseMs > IDLE_MS;
    this.lastUseMs = nowMs;
    if (isIdle) this.lowerUnusedLevel(amount, nowMs);
    // The owner's account may be full, so that of a substitute never holds more than a new one.
    if (this.context.isSubstitute) this.bucket.lowerTo(this.newAccountLevel(amount, true), nowMs);
  }

  /** Lowers an account that was unused, since others may have been used in its place. */
  private lowerUnusedLevel(amount: number, nowMs: number): void {
    const { hasRunForWindow } = this.context;
    const levelBefore = this.bucket.level(nowMs);
    this.bucket.lowerTo(this.newAccountLevel(amount, hasRunForWindow), nowMs);
    this.assumed = { units: levelBefore - this.bucket.level(nowMs), atMs: nowMs };
  }

  /** The part of a late charge that was not assumed when the unused account was lowered. */
  private unassumed(amount: number, nowMs: number): number {
    const { units, atMs } = this.assumed;
    if (amount <= 0 || nowMs - atMs > ASSUMED_USAGE_LIFETIME_MS) return amount;
    const covered = Math.min(amount, units);
    this.assumed = { units: units - covered, atMs };
    return amount - covered;
  }

  /**
   * Highest level of a new account whose first charge is `amount`.
   *
   * @param holdsExcess whether it may grant a part of the excess
   */
  private newAccountLevel(amount: number, holdsExcess: boolean): number {
    const { tolerance } = this.context;
    const excessLevel = INITIAL_LEVEL_SHARE * excessAllowed(this.limit, tolerance);
    // With a small allowed excess, a tenant with few requests must still be served.
    if (excessLevel < amount) return Math.min(amount, this.limit.burst);
    return holdsExcess ? excessLevel : 0;
  }

  private updateWatch(nowMs: number): void {
    const share = this.bucket.level(nowMs) / this.bucket.size;
    if (share < WATCH_BELOW_SHARE) this.isWatched = true;
    else if (share > UNWATCH_ABOVE_SHARE) this.isWatched = false;
  }

  /** Staggers the retries of callers, so that they do not all find the account empty again. */
  private reserveRetry(amount: number, nowMs: number): number {
    const waitMs = this.bucket.millisecondsUntil(amount, nowMs);
    if (waitMs === Infinity) return Infinity;
    const { ratePerSecond } = this.limit;
    const intervalMs = (amount / (ratePerSecond * RETRY_SHARE)) * MILLISECONDS_PER_SECOND;
    const earliestMs = Math.max(nowMs + waitMs, this.lastRetryMs + intervalMs);
    const atMs = Math.min(earliestMs, nowMs + MAXIMUM_RETRY_DELAY_MS);
    this.lastRetryMs = atMs;
    return Math.max(MINIMUM_RETRY_DELAY_MS, atMs - nowMs);
  }

  private bounds(): { readonly rate: number; readonly size: number } {
    const { tolerance } = this.context;
    const { ratePerSecond, burst } = this.limit;
    const excess = excessAllowed(this.limit, tolerance);
    const minimumBurst = Math.max(1, (ratePerSecond * MINIMUM_BURST_MS) / MILLISECONDS_PER_SECOND);
    return {
      rate: this.rate(excess),
      size: Math.max(burst, minimumBurst) + BURST_EXCESS_SHARE * excess,
    };
  }

  /**
   * Excludes the shares of the routers that can't reach the account, which may use up the excess.
   */
  private rate(excess: number): number {
    const { tolerance, reachableShare, ownShare } = this.context;
    const { ratePerSecond } = this.limit;
    if (reachableShare < 1) return ratePerSecond * reachableShare;
    const excessShare = Math.max(0, 1 - WITHHELD_EXCESS_FACTOR * ownShare);
    const granted =
      (excessShare * RATE_EXCESS_SHARE * excess * MILLISECONDS_PER_SECOND) / tolerance.windowMs;
    return ratePerSecond + granted;
  }
}
