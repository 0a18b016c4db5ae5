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

/** Number of other candidates that come before one in {@link rankByRendezvous}, without sorting. */
export function countRankedBefore(
  hasher: Hasher,
  key: bigint,
  candidates: readonly string[],
  one: string,
): number {
  const weight = hasher.hashText(one, key);
  return candidates.filter((candidate) => {
    if (candidate === one) return false;
    const other = hasher.hashText(candidate, key);
    return other > weight || (other === weight && candidate < one);
  }).length;
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
