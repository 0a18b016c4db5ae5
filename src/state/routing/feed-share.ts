/**
 * Selects the cache event feeds that a router subscribes to, within the limits of both sides. Pure.
 */

/** A feed of cache events. */
export interface CacheFeed {
  /** Engine incarnation or store address that publishes the feed. */
  readonly holder: string;
  /** HOST:PORT. */
  readonly address: string;
  /** Maximum concurrent event calls at the holder, from all routers together. */
  readonly maximumCalls: number;
}

/** Maximum feeds per router. */
const MAXIMUM_FEEDS = 48;
/** Event calls left free at each holder for routers whose rank is still changing. */
const RESERVED_CALLS = 2;
/**
 * Minimum share of all holders that a router must cover. Below it, the events change too few
 * placements to be worth their cost, and routers rely on the home ranking alone.
 */
const MINIMUM_COVERAGE = 0.5;

/**
 * Returns the feeds assigned to the router with this rank. The holders form a ring in order of
 * name, and each router takes a consecutive range that starts at the position of its rank. The
 * range is as long as the limits of holders and routers allow: all feeds in a small deployment,
 * none in a large one.
 */
export function assignedFeeds(
  feeds: readonly CacheFeed[],
  rank: number,
  routers: number,
): CacheFeed[] {
  if (feeds.length === 0) return [];
  const ring = [...feeds].sort((left, right) => (left.holder < right.holder ? -1 : 1));
  const calls = Math.min(...ring.map((feed) => feed.maximumCalls)) - RESERVED_CALLS;
  const affordable = Math.floor((Math.max(0, calls) * ring.length) / Math.max(1, routers));
  const length = Math.min(ring.length, MAXIMUM_FEEDS, affordable);
  if (length < ring.length * MINIMUM_COVERAGE) return [];
  const start = Math.floor((rank * ring.length) / Math.max(1, routers));
  return Array.from({ length }, (_, index) => ring[(start + index) % ring.length] as CacheFeed);
}
