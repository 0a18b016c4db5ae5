/** Token accounts that this router owns on behalf of all routers. */
import type { Clock } from '../../../runtime/clock.js';
import type { ConfigurationState } from '../../../state/routing/configuration-state.js';
import {
  type ChargeRequest,
  type ChargeVerdict,
  TenantAccount,
  WATCH_MS,
} from '../../../state/routing/quota/tenant-account.js';
import type { QuotaTolerance } from '../../../state/routing/quota/tenant-limit.js';
import type { QuotaGroup } from './quota-group.js';

/** A verdict with the account level that it is based on. */
export interface AccountedVerdict extends ChargeVerdict {
  /** Remaining units; negative if more was used than allowed. */
  readonly level: number;
  /** Datagram address of the router whose account it is. */
  readonly account: string;
  /** Whether the configuration of that router has no limit of the tenant, so that it has no account. */
  readonly isLimitUnknown: boolean;
}

/** An account that is near its limit. */
export interface AccountNearLimit {
  readonly tenant: string;
  /** How long routers must query before they serve this tenant, in milliseconds. */
  readonly watchMs: number;
  /** Remaining units; negative if more was used than allowed. */
  readonly level: number;
  /** Units granted since the account was created. */
  readonly grantedUnits: number;
  /** Whether another router is the quota owner. */
  readonly isSubstitute: boolean;
}

/**
 * Interval for repeating the announcement that a tenant is near its limit. It is short enough that
 * one lost datagram does not let the previous announcement expire.
 */
const ANNOUNCEMENT_INTERVAL_MS = WATCH_MS / 2.5;

/**
 * Share of the rate granted while this router substitutes for the quota owner. The owner may only
 * be partitioned and still grant the rate to the callers that it can reach. The share keeps both
 * within the limit in simulated partitions, and serves a tenant at its usual rate in full.
 */
const SUBSTITUTE_SHARE = 0.7;

const UNLIMITED = {
  isGranted: true,
  retryAfterMs: 0,
  watchMs: 0,
  level: 0,
  isLimitUnknown: true,
};

/** Accounts by tenant, created on first use. */
export class QuotaAccounts {
  private readonly accounts = new Map<string, TenantAccount>();
  /** Time of the last announcement that a tenant is near its limit. */
  private readonly announcedAtMs = new Map<string, number>();
  private readonly startedAtMs: number;

  /**
   * @param onNearLimit called when a tenant comes near its limit, and periodically while it stays
   * there
   */
  constructor(
    private readonly configuration: ConfigurationState,
    private readonly group: QuotaGroup,
    private readonly tolerance: QuotaTolerance,
    private readonly clock: Clock,
    private readonly onNearLimit: (account: AccountNearLimit) => void,
  ) {
    this.startedAtMs = clock.now();
  }

  /**
   * Decides on a charge; a tenant without a limit is always granted.
   *
   * @param isSubstitute whether another router is the quota owner and does not respond
   */
  charge(tenantName: string, request: ChargeRequest, isSubstitute: boolean): AccountedVerdict {
    const { ownAddress } = this.group;
    const account = this.accountOf(tenantName, isSubstitute);
    if (!account) return { ...UNLIMITED, account: ownAddress };
    const now = this.clock.now();
    const { isGranted, retryAfterMs, watchMs } = account.charge(request, now);
    const level = account.level(now);
    const { grantedUnits } = account;
    this.announceNearLimit({ tenant: tenantName, watchMs, level, grantedUnits, isSubstitute });
    const verdict = { isGranted, retryAfterMs, watchMs, level };
    return { ...verdict, account: ownAddress, isLimitUnknown: false };
  }

  /** Lowers the account of a tenant, if there is one, to at most `level`. */
  lowerTo(tenantName: string, level: number): void {
    this.accounts.get(tenantName)?.lowerTo(level, this.clock.now());
  }

  private accountOf(tenantName: string, isSubstitute: boolean): TenantAccount | undefined {
    const limit = this.configuration.current?.findTenantByName(tenantName)?.limit;
    if (!limit) {
      this.accounts.delete(tenantName);
      return undefined;
    }
    const now = this.clock.now();
    const { tolerance, group } = this;
    const hasRunForWindow = now - this.startedAtMs >= tolerance.windowMs;
    const reachableShare = isSubstitute
      ? Math.min(SUBSTITUTE_SHARE, group.reachableShare)
      : group.reachableShare;
    const { ownShare } = group;
    const conditions = { tolerance, reachableShare, ownShare, hasRunForWindow, isSubstitute };
    const existing = this.accounts.get(tenantName);
    if (existing) {
      existing.reconfigure(limit, conditions, now);
      return existing;
    }
    const account = new TenantAccount(limit, conditions, now);
    this.accounts.set(tenantName, account);
    return account;
  }

  private announceNearLimit(account: AccountNearLimit): void {
    const { tenant, watchMs } = account;
    if (watchMs === 0) {
      this.announcedAtMs.delete(tenant);
      return;
    }
    const now = this.clock.now();
    if (now - (this.announcedAtMs.get(tenant) ?? -Infinity) < ANNOUNCEMENT_INTERVAL_MS) return;
    this.announcedAtMs.set(tenant, now);
    this.onNearLimit(account);
  }
}
