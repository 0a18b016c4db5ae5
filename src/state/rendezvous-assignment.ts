/**
 * Assigns keys to candidates by rendezvous and keeps the assignment up to date: a change of one
 * candidate costs one hash a key at most, not one a key and candidate.
 */
import type { Hasher } from '../runtime/hasher.js';

interface Owner {
  candidate: string;
  weight: bigint;
}

/** Owners of a set of keys. */
export class RendezvousAssignment {
  private candidates = new Set<string>();
  private readonly owners = new Map<string, Owner>();

  constructor(private readonly hasher: Hasher) {}

  /** Owner of a key; undefined for an unknown key or without candidates. */
  ownerOf(key: string): string | undefined {
    return this.owners.get(key)?.candidate;
  }

  /** Assigns exactly these keys among exactly these candidates. */
  update(keys: readonly string[], candidates: readonly string[]): void {
    const next = new Set(candidates);
    const added = candidates.filter((candidate) => !this.candidates.has(candidate));
    const wanted = new Set(keys);
    for (const key of [...this.owners.keys()]) if (!wanted.has(key)) this.owners.delete(key);
    for (const key of wanted) {
      const owner = this.owners.get(key);
      // Without its owner, a key is weighed against all; with it, only against the newcomers.
      const rivals = owner && next.has(owner.candidate) ? added : candidates;
      const start = rivals === added ? owner : undefined;
      const best = this.best(key, rivals, start);
      if (best) this.owners.set(key, best);
      else this.owners.delete(key);
    }
    this.candidates = next;
  }

  private best(
    key: string,
    rivals: readonly string[],
    start: Owner | undefined,
  ): Owner | undefined {
    let best = start;
    if (rivals.length === 0) return best;
    const seed = this.hasher.hashText(key, 0n);
    for (const candidate of rivals) {
      const weight = this.hasher.hashText(candidate, seed);
      const wins =
        !best || weight > best.weight || (weight === best.weight && candidate < best.candidate);
      if (wins) best = { candidate, weight };
    }
    return best;
  }
}
