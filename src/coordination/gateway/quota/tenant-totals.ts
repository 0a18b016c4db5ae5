/** Units granted and denied to each tenant with a limit, exposed as metrics. */

/** Totals since the start, in the units of the tenant's limit: requests or tokens. */
export interface TenantTotal {
  grantedUnits: number;
  deniedUnits: number;
  deniedRequests: number;
}

/** Maximum number of tenants with metrics of their own; bounds the size of the metrics page. */
export const MAXIMUM_NAMED_TENANTS = 50;
/** Aggregates all further tenants. */
export const OTHER_TENANTS = 'other';

/** Totals by tenant; the first tenants observed get entries of their own. */
export class TenantTotals {
  private readonly totals = new Map<string, TenantTotal>();

  get all(): ReadonlyMap<string, Readonly<TenantTotal>> {
    return this.totals;
  }

  /** @param units negative for a refund */
  noteGranted(tenant: string, units: number): void {
    this.totalOf(tenant).grantedUnits += units;
  }

  noteDenied(tenant: string, units: number): void {
    const total = this.totalOf(tenant);
    total.deniedUnits += units;
    total.deniedRequests += 1;
  }

  private totalOf(tenant: string): TenantTotal {
    const existing = this.totals.get(tenant);
    if (existing) return existing;
    if (this.totals.size >= MAXIMUM_NAMED_TENANTS && tenant !== OTHER_TENANTS) {
      return this.totalOf(OTHER_TENANTS);
    }
    const total = { grantedUnits: 0, deniedUnits: 0, deniedRequests: 0 };
    this.totals.set(tenant, total);
    return total;
  }
}
