/** Which cache feeds a router follows itself, so that no holder and no router has too many. Pure. */

/** A holder whose events may be followed. */
export interface HeldFeed {
  /** Identity of the holder. */
  readonly holder: string;
  /** HOST:PORT. */
  readonly address: string;
  /** Calls for events that it holds at once, from all routers. */
  readonly maximumCalls: number;
}

/** Feeds one router follows at most. */
const MAXIMUM_FEEDS = 48;
/** Calls at each holder that are left to routers whose rank is not settled. */
const CALLS_KEPT_FREE = 2;
/**
 * With less than this share of the holders, what is heard changes few choices and costs more than it
 * saves: then the routers go by the home that they agree on for each subject, and hear of no holder.
 */
const LEAST_USEFUL_SHARE = 0.5;

/**
 * The holders in the order of their names form a ring; each router follows a stretch of it that begins
 * at its rank's place. The stretches are as long as the calls of the holders and the bound of a router
 * allow, so in a small deployment every router follows all, and in a large one none follows any.
 */
export function ownShareOfFeeds(
  feeds: readonly HeldFeed[],
  rank: number,
  routers: number,
): HeldFeed[] {
  if (feeds.length === 0) return [];
  const ring = [...feeds].sort((left, right) => (left.holder < right.holder ? -1 : 1));
  const calls = Math.min(...ring.map((feed) => feed.maximumCalls)) - CALLS_KEPT_FREE;
  const allowed = Math.floor((Math.max(0, calls) * ring.length) / Math.max(1, routers));
  const length = Math.min(ring.length, MAXIMUM_FEEDS, allowed);
  if (length < ring.length * LEAST_USEFUL_SHARE) return [];
  const start = Math.floor((rank * ring.length) / Math.max(1, routers));
  return Array.from({ length }, (_, index) => ring[(start + index) % ring.length] as HeldFeed);
}
