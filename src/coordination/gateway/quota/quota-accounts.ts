/** The accounts that this router keeps for tenants on behalf of all routers. */
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

/** A verdict with the level that led to it. */
export interface AccountedVerdict extends ChargeVerdict {
  /** Units left; below 0 where more was used than allowed. */
  readonly level: number;
}

/**
 * A router that serves a tenant seldom hears nothing from the account between two requests, so it is told
 * again before what it was told runs out, with time for one lost notice.
 */
const ANNOUNCE_AGAIN_MS = WATCH_MS / 2.5;

/**
 * Share of the rate that an account grants while it is kept in place of another router's: that one may only
 * be cut off, and go on granting the rate to the callers that it can reach. With a cut at the begin of a
 * burst of 4.6 times the usual, the most used window of groups of 3 routers fell from 1.02 to 0.98 of what
 * is allowed (simulated, three seeds). A tenant at its usual rate is served by this share in full.
 */
const SUBSTITUTE_SHARE = 0.7;

const UNLIMITED: AccountedVerdict = { isGranted: true, retryAfterMs: 0, watchMs: 0, level: 0 };

/** Accounts by tenant, opened when first asked for. */
export class QuotaAccounts {
  private readonly accounts = new Map<string, TenantAccount>();
  /** When the others were last told that a tenant is near its limit. */
  private readonly announcedMs = new Map<string, number>();
  private readonly startedMs: number;

  /** @param onWatched called when a tenant comes near its limit, and again while it stays there */
  constructor(
    private readonly configuration: ConfigurationState,
    private readonly group: QuotaGroup,
    private readonly tolerance: QuotaTolerance,
    private readonly clock: Clock,
    private readonly onWatched: (tenant: string, watchMs: number) => void,
  ) {
    this.startedMs = clock.now();
  }

  /**
   * Answers a charge; a tenant without a limit is granted all.
   *
   * @param isSubstitute whether another router would keep the account, and does not answer
   */
  charge(tenantName: string, request: ChargeRequest, isSubstitute: boolean): AccountedVerdict {
    const account = this.accountOf(tenantName, isSubstitute);
    if (!account) return UNLIMITED;
    const now = this.clock.now();
    const verdict = account.charge(request, now);
    this.noteWatch(tenantName, verdict.watchMs);
    return { ...verdict, level: account.level(now) };
  }

  private accountOf(tenantName: string, isSubstitute: boolean): TenantAccount | undefined {
    const limit = this.configuration.current?.findTenantNamed(tenantName)?.limit;
    if (!limit) {
      this.accounts.delete(tenantName);
      return undefined;
    }
    const now = this.clock.now();
    const { tolerance, group } = this;
    const hasRunForWindow = now - this.startedMs >= tolerance.windowMs;
    const reachableShare = isSubstitute
      ? Math.min(SUBSTITUTE_SHARE, group.reachableShare)
      : group.reachableShare;
    const { ownShare } = group;
    const surroundings = { tolerance, reachableShare, ownShare, hasRunForWindow };
    const present = this.accounts.get(tenantName);
    if (present) {
      present.adapt(limit, surroundings, now);
      return present;
    }
    const account = new TenantAccount(limit, surroundings, now);
    this.accounts.set(tenantName, account);
    return account;
  }

  private noteWatch(tenantName: string, watchMs: number): void {
    if (watchMs === 0) {
      this.announcedMs.delete(tenantName);
      return;
    }
    const now = this.clock.now();
    if (now - (this.announcedMs.get(tenantName) ?? -Infinity) < ANNOUNCE_AGAIN_MS) return;
    this.announcedMs.set(tenantName, now);
    this.onWatched(tenantName, watchMs);
  }
}
