/**
 * Which prompts are saved to a cache store that does not report what it keeps. An engine saves a whole
 * prompt, the request's own part with it, whether or not the store has it. Where prompts come so fast
 * that a store keeps each for a few seconds only, what it keeps is worth as much as its share of parts
 * that others use: then only prompts are saved that are shared for the most part. Pure.
 */
import type { CacheStore } from './configuration.js';
import type { GenerationShape } from './generation.js';
import { sharedTokensOf } from './prompt-sources.js';

/**
 * A store that would keep a prompt for less than this is sent only some. Subjects of a busy site come
 * again within some 10 s, which is also how long the users' pages price a part that is read again.
 */
const SHORTEST_KEEPING_S = 10;
/** Share of a prompt that others may use, from which it is saved to such a store. */
const MOSTLY_SHARED = 0.8;
/** From which it is saved to one that keeps prompts long enough: less would mostly push out what is shared. */
const HALF_SHARED = 0.5;

/** How the stores stand to what is sent to them. */
export enum StorePressure {
  /** They keep what they are sent long enough for it to be used again. */
  Low = 'low',
  /** They would drop it before. */
  High = 'high',
}

/**
 * What is saved again and again is kept once, so a store fills with the parts that no other request shares.
 *
 * @param ownTokensPerSecond tokens of such parts in the prompts that the whole group sends to engines
 */
export function storePressure(
  ownTokensPerSecond: number,
  stores: readonly CacheStore[],
): StorePressure {
  const capacityTokens = stores.reduce((sum, store) => sum + store.capacityTokens, 0);
  const isShort = ownTokensPerSecond * SHORTEST_KEEPING_S > capacityTokens;
  return isShort ? StorePressure.High : StorePressure.Low;
}

/** Whether a prompt that has shared parts is worth its place in a store that does not report. */
export function isWorthSaving(generation: GenerationShape, pressure: StorePressure): boolean {
  const leastShare = pressure === StorePressure.Low ? HALF_SHARED : MOSTLY_SHARED;
  return sharedTokensOf(generation) >= generation.promptTokens * leastShare;
}
