/** What an operator allows a tenant over all routers together, and what a request is charged. Pure. */

/** What a limit counts. */
export enum QuotaUnit {
  Requests = 'requests',
  Tokens = 'tokens',
}

/** The limit of one tenant: a rate, and what may be used at once on top of it. */
export interface TenantLimit {
  readonly unit: QuotaUnit;
  /** Units a second, above 0. */
  readonly ratePerSecond: number;
  /** Units. */
  readonly burst: number;
  /** Tokens charged to a request that does not declare its tokens. */
  readonly undeclaredTokens: number;
}

/** How far all routers together may pass a limit within any one window. */
export interface QuotaTolerance {
  readonly windowMs: number;
  /** Share of what the limit allows in a window. */
  readonly overageShare: number;
  /** Units on top. */
  readonly slack: number;
}

const MILLISECONDS_PER_SECOND = 1_000;

/**
 * Units that a request is charged.
 *
 * @param declaredTokens prompt tokens and the most that may be generated; undefined where not declared
 */
export function chargeOf(limit: TenantLimit, declaredTokens: number | undefined): number {
  if (limit.unit === QuotaUnit.Requests) return 1;
  return declaredTokens ?? limit.undeclaredTokens;
}

/** Units by which all routers together may pass the limit within one window. */
export function excessAllowed(limit: TenantLimit, tolerance: QuotaTolerance): number {
  const { windowMs, overageShare, slack } = tolerance;
  const allowed = (limit.ratePerSecond * windowMs) / MILLISECONDS_PER_SECOND + limit.burst;
  return allowed * overageShare + slack;
}
