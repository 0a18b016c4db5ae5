/** Exchanges what tenants use between the routers of a group. */
import type { TenantShares } from '../../state/routing/tenant-shares.js';
import type { ObservationPart, TenantUseEntry } from './observation-exchange.js';

/** Sends and receives tenants' uses. A lost datagram is covered by the next one. */
export class TenantUseExchange implements ObservationPart<TenantUseEntry> {
  constructor(private readonly shares: TenantShares) {}

  takeOwn(limit: number, nowMs: number): readonly TenantUseEntry[] {
    return this.shares.ownUses(nowMs).slice(0, limit);
  }

  receive(
    sender: string,
    entries: readonly TenantUseEntry[],
    isSummary: boolean,
    nowMs: number,
  ): void {
    if (isSummary) this.shares.receiveSummary(entries, nowMs);
    else this.shares.receiveReport(sender, entries, nowMs);
  }

  /** Reports are kept by {@link receive}. */
  collect(): void {
    return;
  }

  takeSummary(limit: number, nowMs: number): readonly TenantUseEntry[] {
    return this.shares.groupUses(nowMs).slice(0, limit);
  }
}
