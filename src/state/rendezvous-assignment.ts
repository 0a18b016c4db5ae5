/**
 * Incremental rendezvous hashing: adding a candidate costs one hash per key; removing one
 * re-evaluates only its own keys.
 */
import type { Hasher } from '../runtime/hasher.js';

interface Owner {
  readonly candidate: string;
  readonly weight: bigint;
}

/** Owners of all keys that were queried. */
export class RendezvousAssignment<Key> {
  private candidates: readonly string[] = [];
  private readonly owners = new Map<Key, Owner>();

  /** @param seedOf returns the hash of a key, which seeds the weights of the candidates */
  constructor(
    private readonly hasher: Hasher,
    private readonly seedOf: (key: Key) => bigint,
  ) {}

  /** Owner of a key; undefined if there are no candidates. */
  ownerOf(key: Key): string | undefined {
    const present = this.owners.get(key);
    if (present) return present.candidate;
    const best = this.selectOwner(this.seedOf(key), this.candidates, undefined);
    if (best) this.owners.set(key, best);
    return best?.candidate;
  }

  /** Removes a key. */
  forget(key: Key): void {
    this.owners.delete(key);
  }

  /** Replaces the candidates; returns the keys whose owner changed. */
  setCandidates(candidates: readonly string[]): Key[] {
    const previous = new Set(this.candidates);
    const remaining = new Set(candidates);
    const added = candidates.filter((candidate) => !previous.has(candidate));
    this.candidates = candidates;
    const moved: Key[] = [];
    for (const [key, owner] of this.owners) {
      const stays = remaining.has(owner.candidate);
      if (stays && added.length === 0) continue;
      const seed = this.seedOf(key);
      const best = stays
        ? this.selectOwner(seed, added, owner)
        : this.selectOwner(seed, candidates, undefined);
      if (best === owner) continue;
      moved.push(key);
      if (best) this.owners.set(key, best);
      else this.owners.delete(key);
    }
    return moved;
  }

  private selectOwner(
    seed: bigint,
    candidates: readonly string[],
    current: Owner | undefined,
  ): Owner | undefined {
    let best = current;
    for (const candidate of candidates) {
      const weight = this.hasher.hashText(candidate, seed);
      const wins =
        !best || weight > best.weight || (weight === best.weight && candidate < best.candidate);
      if (wins) best = { candidate, weight };
    }
    return best;
  }
}
