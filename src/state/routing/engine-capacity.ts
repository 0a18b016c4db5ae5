/** Whether an engine has room for another request. Pure. */
import type { EngineProfile } from './configuration.js';
import type { GenerationShape } from './generation.js';
import type { EngineLoad } from './load-table.js';

/**
 * Share of the KV cache up to which an engine has room. The rest covers requests of other routers
 * that the load reports do not show yet.
 */
export const USABLE_CACHE_SHARE = 0.92;
/**
 * Longest acceptable queue of an engine without a KV cache, in requests per slot. Such engines
 * reject requests beyond four per slot; the rest covers requests that load reports of 100 to 200 ms
 * do not show yet.
 */
const MAXIMUM_QUEUED_PER_SLOT = 2;
/** Used until the service time is known: one request waits for each slot. */
const INITIAL_QUEUED_PER_SLOT = 1;
/**
 * Share of the time left after the service itself that a request may spend in the queue of an
 * engine. The rest covers load that the reports do not show yet.
 */
const QUEUE_SHARE = 0.5;

/** Whether an engine has a free slot and enough KV cache for a generation. */
export function hasGenerationCapacity(
  load: EngineLoad,
  profile: EngineProfile,
  generation: GenerationShape,
): boolean {
  // An idle engine has room even for a request that its cache can't hold: waiting does not help.
  if (load.requests === 0) return true;
  if (load.requests >= profile.slots) return false;
  const neededTokens = load.heldTokens + generation.promptTokens + generation.maximumOutputTokens;
  return neededTokens <= profile.cacheCapacityTokens * USABLE_CACHE_SHARE;
}

/**
 * Greatest number of requests at an engine without a KV cache, including those in its queue, so
 * that another one still meets its objective.
 *
 * @param serviceMs time that the engine takes for one request; undefined if unknown
 */
export function plainRequestLimit(
  slots: number,
  serviceMs: number | undefined,
  objectiveMs: number,
): number {
  const places = Math.max(1, slots);
  return places + Math.floor(places * queuedPerSlot(serviceMs, objectiveMs));
}

function queuedPerSlot(serviceMs: number | undefined, objectiveMs: number): number {
  if (serviceMs === undefined) return INITIAL_QUEUED_PER_SLOT;
  const queueMs = Math.max(0, objectiveMs - serviceMs) * QUEUE_SHARE;
  return Math.min(MAXIMUM_QUEUED_PER_SLOT, queueMs / Math.max(1, serviceMs));
}
