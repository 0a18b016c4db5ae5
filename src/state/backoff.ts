/** Retry delays: exponential backoff with full jitter. */
import type { RandomSource } from '../runtime/random.js';

const FIRST_CEILING_MS = 20;
const MAXIMUM_CEILING_MS = 1_000;

/** Returns a random delay below a ceiling that doubles with each retry; the first has index 0. */
export function backoffDelayMs(random: RandomSource, retryIndex: number): number {
  const ceilingMs = Math.min(MAXIMUM_CEILING_MS, FIRST_CEILING_MS * 2 ** retryIndex);
  return random.next() * ceilingMs;
}
