/**
 * Where a subject's prompts belong: an order of holders for each subject that all routers compute alike
 * (rendezvous hashing), so that requests about one thing meet at one engine without any word between
 * the routers. Holders' hashes are kept, so that ranking hundreds costs microseconds.
 */
import type { Hasher } from '../../runtime/hasher.js';

/** Hashes kept; far more than holders at any time. */
const MAXIMUM_HASHES = 8_192;
/** Holders ranked for each fit one that is wanted; where too few of them are fit, all are looked at. */
const RANKED_FOR_EACH_FIT = 3;

/** Ranks holders for subjects. */
export class HomeRanking {
  private readonly hashes = new Map<string, number>();

  constructor(private readonly hasher: Hasher) {}

  /** The `count` first of `holders` for a subject, the first one first. */
  first<Holder>(
    subject: string,
    holders: readonly Holder[],
    idOf: (holder: Holder) => string,
    count: number,
  ): Holder[] {
    const subjectHash = this.hash(subject, 0n);
    const best: { readonly holder: Holder; readonly weight: number }[] = [];
    for (const holder of holders) {
      const weight = mix(subjectHash ^ this.hashOf(idOf(holder)));
      if (best.length === count && weight <= (best.at(-1)?.weight ?? 0)) continue;
      const place = best.findIndex((each) => each.weight < weight);
      best.splice(place < 0 ? best.length : place, 0, { holder, weight });
      if (best.length > count) best.pop();
    }
    return best.map((each) => each.holder);
  }

  /**
   * What {@link first} answers for the holders that are fit, without a look at each of them: the first ones of
   * all nearly always are.
   */
  firstFit<Holder>(
    subject: string,
    holders: readonly Holder[],
    idOf: (holder: Holder) => string,
    count: number,
    isFit: (holder: Holder) => boolean,
  ): Holder[] {
    const ranked = this.first(subject, holders, idOf, count * RANKED_FOR_EACH_FIT);
    const fit = ranked.filter(isFit);
    if (fit.length >= count || ranked.length === holders.length) return fit.slice(0, count);
    return this.first(subject, holders.filter(isFit), idOf, count);
  }

  private hashOf(id: string): number {
    let hash = this.hashes.get(id);
    if (hash === undefined) {
      if (this.hashes.size >= MAXIMUM_HASHES) this.hashes.clear();
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
function mix(value: number): number {
  let bits = value;
  bits = Math.imul(bits ^ (bits >>> 16), 0x85ebca6b);
  bits = Math.imul(bits ^ (bits >>> 13), 0xc2b2ae35);
  return (bits ^ (bits >>> 16)) >>> 0;
}
