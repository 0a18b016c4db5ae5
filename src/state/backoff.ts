/** Pauses between attempts: exponential with full jitter. */
import type { RandomSource } from '../runtime/random.js';

const FIRST_CEILING_MS = 20;
const LARGEST_CEILING_MS = 1_000;

/** A random pause below a ceiling that doubles with each attempt (0 for the first retry). */
export function backoffDelayMs(random: RandomSource, retryIndex: number): number {
  const ceilingMs = Math.min(LARGEST_CEILING_MS, FIRST_CEILING_MS * 2 ** retryIndex);
  return random.next() * ceilingMs;
}
