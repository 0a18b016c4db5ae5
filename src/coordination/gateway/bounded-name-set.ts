/** A size-limited set of names that were already reported. */

/** Bounds the memory that a client can occupy by sending ever new names. */
const MAXIMUM_NAMES = 64;

/** Remembers up to {@link MAXIMUM_NAMES} distinct names. */
export class BoundedNameSet {
  private readonly names = new Set<string>();

  /** Adds a name; returns true if it was new and the set was not full. */
  addName(name: string): boolean {
    if (this.names.has(name) || this.names.size >= MAXIMUM_NAMES) return false;
    this.names.add(name);
    return true;
  }
}
