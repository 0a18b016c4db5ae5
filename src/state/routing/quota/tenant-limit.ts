/** The limit of a tenant over all routers together, and the charge of a request. Pure. */

/** The unit that a limit counts. */
export enum QuotaUnit {
  Requests = 'requests',
  Tokens = 'tokens',
}

/** The limit of one tenant: a rate and a burst. */
export interface TenantLimit {
  readonly unit: QuotaUnit;
  /** Units per second, above 0. */
  readonly ratePerSecond: number;
  /** Units that may be used at once in addition to the rate. */
  readonly burst: number;
  /** Tokens charged for a request that does not declare its number of tokens. */
  readonly undeclaredTokens: number;
}

/** How far all routers together may exceed a limit within any window. */
export interface QuotaTolerance {
  readonly windowMs: number;
  /** Tolerated excess as a share of what the limit allows in a window. */
  readonly overageShare: number;
  /** Additional tolerated excess, in units. */
  readonly slack: number;
}

const MILLISECONDS_PER_SECOND = 1_000;

/**
 * Returns the charge of a request, in units.
 *
 * @param declaredTokens prompt tokens plus maximum output tokens; undefined if not declared
 */
export function chargeOf(limit: TenantLimit, declaredTokens: number | undefined): number {
  if (limit.unit === QuotaUnit.Requests) return 1;
  return declaredTokens ?? limit.undeclaredTokens;
}

/** Units by which all routers together may exceed the limit within one window. */
export function excessAllowed(limit: TenantLimit, tolerance: QuotaTolerance): number {
  const { windowMs, overageShare, slack } = tolerance;
  const allowed = (limit.ratePerSecond * windowMs) / MILLISECONDS_PER_SECOND + limit.burst;
  return allowed * overageShare + slack;
}
