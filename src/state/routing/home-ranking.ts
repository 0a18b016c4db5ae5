/**
 * Ranks holders for each affinity key by rendezvous hashing. All routers compute the same ranking
 * without communication, so requests with the same affinity key reach the same engine. Hashes of
 * holders are cached to keep the ranking of hundreds of holders cheap.
 */
import type { Hasher } from '../../runtime/hasher.js';

/** Maximum cached hashes; far above the number of concurrent holders. */
const MAXIMUM_CACHED_HASHES = 8_192;
/** Holders ranked per requested eligible one; if too few are eligible, all holders are checked. */
const CANDIDATES_PER_ELIGIBLE = 3;

/** Ranks holders by affinity key. */
export class HomeRanking {
  private readonly hashes = new Map<string, number>();

  constructor(private readonly hasher: Hasher) {}

  /** The `count` highest-ranked holders for an affinity key, in order of rank. */
  first<Holder>(
    affinityKey: string,
    holders: readonly Holder[],
    idOf: (holder: Holder) => string,
    count: number,
  ): Holder[] {
    const affinityHash = this.hash(affinityKey, 0n);
    const best: { readonly holder: Holder; readonly weight: number }[] = [];
    for (const holder of holders) {
      const weight = mixBits(affinityHash ^ this.hashOf(idOf(holder)));
      if (best.length === count && weight <= (best.at(-1)?.weight ?? 0)) continue;
      const position = best.findIndex((each) => each.weight < weight);
      best.splice(position < 0 ? best.length : position, 0, { holder, weight });
      if (best.length > count) best.pop();
    }
    return best.map((each) => each.holder);
  }

  /**
   * Equals {@link first} over the eligible holders, but checks only the highest-ranked ones where
   * that is enough.
   */
  firstEligible<Holder>(
    affinityKey: string,
    holders: readonly Holder[],
    idOf: (holder: Holder) => string,
    count: number,
    isEligible: (holder: Holder) => boolean,
  ): Holder[] {
    const ranked = this.first(affinityKey, holders, idOf, count * CANDIDATES_PER_ELIGIBLE);
    const found = ranked.filter(isEligible);
    if (found.length >= count || ranked.length === holders.length) return found.slice(0, count);
    return this.first(affinityKey, holders.filter(isEligible), idOf, count);
  }

  private hashOf(id: string): number {
    let hash = this.hashes.get(id);
    if (hash === undefined) {
      if (this.hashes.size >= MAXIMUM_CACHED_HASHES) this.hashes.clear();
      hash = this.hash(id, 1n);
      this.hashes.set(id, hash);
    }
    return hash;
  }

  private hash(text: string, seed: bigint): number {
    return Number(BigInt.asUintN(32, this.hasher.hashText(text, seed)));
  }
}

/** Spreads a 32-bit value over all bits (the finalizer of MurmurHash3). */
function mixBits(value: number): number {
  let bits = value;
  bits = Math.imul(bits ^ (bits >>> 16), 0x85ebca6b);
  bits = Math.imul(bits ^ (bits >>> 13), 0xc2b2ae35);
  return (bits ^ (bits >>> 16)) >>> 0;
}
