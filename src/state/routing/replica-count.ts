/**
 * Number of engines that should keep a prompt prefix. Pure.
 *
 * The load addressed: one affinity key takes 39% of the traffic for some seconds. Its home engines
 * would prefill the requests' own tokens far slower than they arrive.
 */

/** Demand for one prefix. */
export interface PrefixDemand {
  /** Requests of the group per second. */
  readonly requestsPerSecond: number;
  /** Time that an engine takes to prefill what the requests do not share, in milliseconds. */
  readonly prefillMs: number;
}

/**
 * Share of an engine's prefill time that one prefix may take. The rest is for other prefixes and
 * keeps the wait short: at half of the time, a request waits about as long as its own prefill.
 */
const MAXIMUM_PREFILL_SHARE = 0.5;
const MILLISECONDS_PER_SECOND = 1_000;

/** Returns at least `minimum` and, from there on, a number proportional to the demand. */
export function replicaCount(demand: PrefixDemand, minimum: number, maximum: number): number {
  const { requestsPerSecond, prefillMs } = demand;
  const busyEngines = (requestsPerSecond * prefillMs) / MILLISECONDS_PER_SECOND;
  const needed = Math.ceil(busyEngines / MAXIMUM_PREFILL_SHARE);
  if (!Number.isFinite(needed)) return minimum;
  return Math.max(minimum, Math.min(maximum, needed));
}
