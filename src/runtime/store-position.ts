/**
 * A position in the history of the platform's store. The store may come back from an older copy of itself: then its
 * revisions go back and are given out again, and its era rises. So only era and revision together order its answers;
 * they have their own type, so that a bare revision can't be compared.
 */

/** Eras that are no number of the store's own. */
export const StoreEra = {
  /** Of what a router reports whose build has no eras: before every other, so that it replaces nothing. */
  Unknown: -1,
  /** The store has none: it never goes back. */
  None: 0,
} as const;

/** Where the store stood, or where an object changed last. */
export class StorePosition {
  /** Before every position that an answer shows. */
  static readonly start = new StorePosition(StoreEra.Unknown, 0);

  /**
   * @param era rises by one each time that the store comes back from an older copy of itself
   * @param revision counts the changes of all objects within an era
   */
  constructor(
    readonly era: number,
    readonly revision: number,
  ) {}

  isBefore(other: StorePosition): boolean {
    return this.era === other.era ? this.revision < other.revision : this.era < other.era;
  }

  isSame(other: StorePosition): boolean {
    return this.era === other.era && this.revision === other.revision;
  }

  /** The later one of two. */
  latest(other: StorePosition): StorePosition {
    return this.isBefore(other) ? other : this;
  }

  toString(): string {
    return `${this.era}:${this.revision}`;
  }
}
