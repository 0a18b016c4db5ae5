/** Changes of tenant limits by the operator of the simulated deployment. */
import type { TenantLimit } from '../../state/routing/quota/tenant-limit.js';

/** A change of a tenant's limit that the store acknowledged; undefined removes the limit. */
export interface LimitChange {
  readonly tenant: string;
  readonly limit: TenantLimit | undefined;
  readonly atMs: number;
}
