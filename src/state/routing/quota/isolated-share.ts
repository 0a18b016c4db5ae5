/**
 * Limits the use of a tenant at one router while the quota owner is unreachable: the router grants
 * only its own share of the rate, so that partitioned routers together stay near the limit. Pure.
 *
 * A request larger than the share is granted and overdraws the share, since the share of one router
 * in a large group would never cover a long prompt.
 */
import type { TenantLimit } from './tenant-limit.js';
import { TokenBucket } from './token-bucket.js';

/** The bucket holds what accrues in this time, which allows small bursts. */
const BURST_MS = 1_000;
/**
 * Part of its share that a router grants. The rest compensates for the quota owner, which grants
 * the full rate until it detects that routers are missing. With a third of 24 simulated routers
 * partitioned from it, the limit is kept with this share and exceeded by 2% without it.
 */
const GRANTED_SHARE = 0.6;
const MILLISECONDS_PER_SECOND = 1_000;

/** One tenant's share at one router. */
export class IsolatedShare {
  private readonly bucket: TokenBucket;

  /** @param share this router's part of the requests of the group, above 0 and up to 1 */
  constructor(
    private limit: TenantLimit,
    private share: number,
    nowMs: number,
  ) {
    this.bucket = new TokenBucket(this.rate, this.size, 0, nowMs);
  }

  /** Applies a changed limit or share. */
  reconfigure(limit: TenantLimit, share: number, nowMs: number): void {
    if (limit === this.limit && share === this.share) return;
    this.limit = limit;
    this.share = share;
    this.bucket.resize(this.rate, this.size, nowMs);
  }

  /** Charges the amount unless the share is overdrawn; returns whether it did. */
  tryCharge(amount: number, nowMs: number): boolean {
    if (this.bucket.level(nowMs) < 0) return false;
    this.bucket.take(amount, nowMs);
    return true;
  }

  /** Charges the amount unconditionally; a negative amount is a refund. */
  charge(amount: number, nowMs: number): void {
    this.bucket.take(amount, nowMs);
  }

  /** Lowers the level to at most `level`. */
  lowerTo(level: number, nowMs: number): void {
    this.bucket.lowerTo(level, nowMs);
  }

  /** Time until the share is no longer overdrawn, in milliseconds. */
  retryAfterMs(nowMs: number): number {
    return this.bucket.millisecondsUntil(0, nowMs);
  }

  private get rate(): number {
    return this.limit.ratePerSecond * this.share * GRANTED_SHARE;
  }

  private get size(): number {
    return (this.rate * BURST_MS) / MILLISECONDS_PER_SECOND;
  }
}
