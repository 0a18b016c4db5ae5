/** Names that were seen, so that each is told once. */

/** Whoever makes up ever new names fills no more than this. */
const MAXIMUM_NAMES = 64;

/** The names. */
export class BoundedNameSet {
  private readonly names = new Set<string>();

  /** Notes a name; true where it is new and there was room for it. */
  note(name: string): boolean {
    if (this.names.has(name) || this.names.size >= MAXIMUM_NAMES) return false;
    this.names.add(name);
    return true;
  }
}
