/** Rendezvous hashing: every node orders candidates for a key alike, without a table. */
import type { Hasher } from '../runtime/hasher.js';

/** Candidates by descending weight for the key. A candidate leaving moves only its own keys. */
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

/** The first of {@link rankByRendezvous}, in one pass. */
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
