/** Rendezvous hashing: all nodes rank candidates in the same order without shared state. */
import type { Hasher } from '../runtime/hasher.js';

/** Ranks candidates by descending weight. Removing a candidate moves only its own keys. */
export function rankByRendezvous(
  hasher: Hasher,
  key: bigint,
  candidates: readonly string[],
): string[] {
  const weighted = candidates.map((candidate) => ({
    candidate,
    weight: hasher.hashText(candidate, key),
  }));
  weighted.sort((left, right) => {
    if (left.weight !== right.weight) return left.weight > right.weight ? -1 : 1;
    return left.candidate < right.candidate ? -1 : 1;
  });
  return weighted.map((entry) => entry.candidate);
}

/** Returns the first candidate of {@link rankByRendezvous}, without sorting. */
export function pickByRendezvous(
  hasher: Hasher,
  key: bigint,
  candidates: readonly string[],
): string | undefined {
  let best: string | undefined;
  let bestWeight = -1n;
  for (const candidate of candidates) {
    const weight = hasher.hashText(candidate, key);
    if (weight > bestWeight || (weight === bestWeight && best !== undefined && candidate < best)) {
      best = candidate;
      bestWeight = weight;
    }
  }
  return best;
}
