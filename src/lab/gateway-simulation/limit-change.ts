/** Limits of tenants, as an operator of the simulated deployment changes them. */
import type { TenantLimit } from '../../state/routing/quota/tenant-limit.js';

/** A change of a tenant's limit that the store has acknowledged; undefined: no limit. */
export interface LimitChange {
  readonly tenant: string;
  readonly limit: TenantLimit | undefined;
  readonly atMs: number;
}
