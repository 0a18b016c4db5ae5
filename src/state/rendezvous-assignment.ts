/**
 * Owners of keys by rendezvous, kept up to date: a candidate that comes costs one hash a key, one
 * that goes costs a full weighing of its own keys only.
 */
import type { Hasher } from '../runtime/hasher.js';

interface Owner {
  readonly candidate: string;
  readonly weight: bigint;
}

/** Owners of the keys asked for so far. */
export class RendezvousAssignment<Key> {
  private candidates: readonly string[] = [];
  private readonly owners = new Map<Key, Owner>();

  /** `seedOf` gives the hash of a key, under which candidates are weighed. */
  constructor(
    private readonly hasher: Hasher,
    private readonly seedOf: (key: Key) => bigint,
  ) {}

  /** Owner of a key; undefined without candidates. */
  ownerOf(key: Key): string | undefined {
    const present = this.owners.get(key);
    if (present) return present.candidate;
    const best = this.best(this.seedOf(key), this.candidates, undefined);
    if (best) this.owners.set(key, best);
    return best?.candidate;
  }

  /** Forgets a key that is no longer of interest. */
  forget(key: Key): void {
    this.owners.delete(key);
  }

  /** Takes over the candidates; answers the keys whose owner changed. */
  setCandidates(candidates: readonly string[]): Key[] {
    const before = new Set(this.candidates);
    const now = new Set(candidates);
    const added = candidates.filter((candidate) => !before.has(candidate));
    this.candidates = candidates;
    const moved: Key[] = [];
    for (const [key, owner] of this.owners) {
      const stays = now.has(owner.candidate);
      if (stays && added.length === 0) continue;
      const seed = this.seedOf(key);
      const best = stays ? this.best(seed, added, owner) : this.best(seed, candidates, undefined);
      if (best === owner) continue;
      moved.push(key);
      if (best) this.owners.set(key, best);
      else this.owners.delete(key);
    }
    return moved;
  }

  private best(
    seed: bigint,
    rivals: readonly string[],
    start: Owner | undefined,
  ): Owner | undefined {
    let best = start;
    for (const candidate of rivals) {
      const weight = this.hasher.hashText(candidate, seed);
      const wins =
        !best || weight > best.weight || (weight === best.weight && candidate < best.candidate);
      if (wins) best = { candidate, weight };
    }
    return best;
  }
}
