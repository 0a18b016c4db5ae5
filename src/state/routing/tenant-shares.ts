/** Order of tenants when a service has less room than its callers ask for. Pure. */

/** Ranks tenants by how much of their fair share they use. */
export interface TenantRanking {
  /**
   * Use of a tenant as a multiple of its fair share of the service's capacity; at most 1 while it is
   * within its share, and 0 if nothing is known. Requests of a tenant with a lower value go first.
   */
  useOfShare(service: string, tenant: string | undefined, nowMs: number): number;
}

/** Ranks all tenants equally. */
export const EQUAL_TENANTS: TenantRanking = { useOfShare: () => 0 };
