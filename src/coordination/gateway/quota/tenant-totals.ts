/** What a router granted and denied to each tenant with a limit, for its metrics page. */

/** Totals since the start. Units are those of the tenant's limit: requests or tokens. */
export interface TenantTotal {
  grantedUnits: number;
  deniedUnits: number;
  deniedRequests: number;
}

/** Tenants that are shown by name; a page that grows with the configuration would overload its readers. */
export const MAXIMUM_NAMED_TENANTS = 50;
/** Stands for all tenants that came after these. */
export const OTHER_TENANTS = 'other';

/** Totals by tenant; as many names as are allowed, the first that were seen. */
export class TenantTotals {
  private readonly totals = new Map<string, TenantTotal>();

  get all(): ReadonlyMap<string, Readonly<TenantTotal>> {
    return this.totals;
  }

  /** @param units below 0 where they are given back */
  noteGranted(tenant: string, units: number): void {
    this.totalOf(tenant).grantedUnits += units;
  }

  noteDenied(tenant: string, units: number): void {
    const total = this.totalOf(tenant);
    total.deniedUnits += units;
    total.deniedRequests += 1;
  }

  private totalOf(tenant: string): TenantTotal {
    const present = this.totals.get(tenant);
    if (present) return present;
    if (this.totals.size >= MAXIMUM_NAMED_TENANTS && tenant !== OTHER_TENANTS) {
      return this.totalOf(OTHER_TENANTS);
    }
    const total = { grantedUnits: 0, deniedUnits: 0, deniedRequests: 0 };
    this.totals.set(tenant, total);
    return total;
  }
}
