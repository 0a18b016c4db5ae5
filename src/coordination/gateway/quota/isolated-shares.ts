/** This router's own shares of tenant limits, which it spends while no quota owner is reachable. */
import type { Clock } from '../../../runtime/clock.js';
import { IsolatedShare } from '../../../state/routing/quota/isolated-share.js';
import type { TenantLimit } from '../../../state/routing/quota/tenant-limit.js';
import type { QuotaGroup } from './quota-group.js';

/** Own shares by tenant, created on first use. */
export class IsolatedShares {
  private readonly shares = new Map<string, IsolatedShare>();

  constructor(
    private readonly group: Pick<QuotaGroup, 'ownShare'>,
    private readonly clock: Clock,
  ) {}

  /** The share of a tenant under its present limit. */
  of(tenantName: string, limit: TenantLimit): IsolatedShare {
    const now = this.clock.now();
    const { ownShare } = this.group;
    let share = this.shares.get(tenantName);
    if (!share) {
      share = new IsolatedShare(limit, ownShare, now);
      this.shares.set(tenantName, share);
    }
    share.reconfigure(limit, ownShare, now);
    return share;
  }

  /** Lowers the share of a tenant, if it has one, to this router's part of its account's level. */
  lowerToPartOf(tenantName: string, accountLevel: number): void {
    this.shares.get(tenantName)?.lowerTo(accountLevel * this.group.ownShare, this.clock.now());
  }
}
