/** Logs and counts tenants that pass their fair share of a service while its capacity is short. */
import type { Logger } from '../../runtime/logger.js';
import type { TenantRanking, TenantShares } from '../../state/routing/tenant-shares.js';
import type { GatewayStatistics } from './gateway-statistics.js';

/** Minimum time between two lines on the same tenant and service. */
const LINE_PERIOD_MS = 10_000;
/** Tenants and services remembered; the one that passed its share first is dropped first. */
const MAXIMUM_REMEMBERED = 1_024;
const HUNDREDTHS = 100;

interface RememberedTenant {
  /** Time of the last request that was ranked over the share; -Infinity once within it again. */
  readonly overMs: number;
  readonly loggedMs: number;
}

/** Ranks tenants by their shares and logs those that pass them. */
export class LoggedTenantRanking implements TenantRanking {
  private readonly remembered = new Map<string, RememberedTenant>();

  constructor(
    private readonly shares: TenantShares,
    private readonly statistics: GatewayStatistics,
    private readonly logger: Logger,
  ) {}

  useOfShare(service: string, tenant: string | undefined, nowMs: number): number {
    const useOfShare = this.shares.useOfShare(service, tenant, nowMs);
    if (tenant === undefined) return useOfShare;
    const key = `${service}\n${tenant}`;
    const known = this.remembered.get(key);
    if (useOfShare <= 1) {
      if (known) this.remembered.set(key, { ...known, overMs: -Infinity });
    } else if (known && nowMs - known.overMs < LINE_PERIOD_MS) {
      this.remembered.set(key, { ...known, overMs: nowMs });
    } else this.notePassed(key, service, tenant, useOfShare, nowMs);
    return useOfShare;
  }

  private notePassed(
    key: string,
    service: string,
    tenant: string,
    useOfShare: number,
    nowMs: number,
  ): void {
    this.statistics.tenantsOverShare += 1;
    const loggedMs = this.remembered.get(key)?.loggedMs ?? -Infinity;
    const isDue = nowMs - loggedMs >= LINE_PERIOD_MS;
    this.remembered.delete(key);
    this.remembered.set(key, { overMs: nowMs, loggedMs: isDue ? nowMs : loggedMs });
    this.dropFirst();
    if (!isDue) return;
    const use = this.shares.knownUseOf(service, tenant, nowMs);
    this.logger.info('tenant_over_share', {
      tenant,
      service,
      use_of_share: Math.round(useOfShare * HUNDREDTHS) / HUNDREDTHS,
      used_tokens_per_s: Math.round(use?.tokensPerSecond ?? 0),
      demanded_tokens_per_s: Math.round(use?.demandedTokensPerSecond ?? 0),
    });
  }

  private dropFirst(): void {
    if (this.remembered.size <= MAXIMUM_REMEMBERED) return;
    const [first] = this.remembered.keys();
    if (first !== undefined) this.remembered.delete(first);
  }
}
