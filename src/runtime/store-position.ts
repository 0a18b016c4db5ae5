/**
 * A position in the history of the platform's store. When the store is restored from an older copy,
 * its revisions go back and are reused, and its era is incremented. So its responses are ordered by
 * era and revision together, in a type of their own, so that bare revisions can't be compared.
 */

/** Eras that are not sent by the store. */
export const StoreEra = {
  /**
   * Reported by a router whose build has no eras. Before all others, so that it replaces nothing.
   */
  Unknown: -1,
  /** The store has no eras and is never restored. */
  None: 0,
} as const;

/** The position of the store, or of the last change of an object. */
export class StorePosition {
  /** Before every position in a response. */
  static readonly start = new StorePosition(StoreEra.Unknown, 0);

  /**
   * @param era incremented each time the store is restored from an older copy
   * @param revision counts the changes of all objects within an era
   */
  constructor(
    readonly era: number,
    readonly revision: number,
  ) {}

  isBefore(other: StorePosition): boolean {
    return this.era === other.era ? this.revision < other.revision : this.era < other.era;
  }

  equals(other: StorePosition): boolean {
    return this.era === other.era && this.revision === other.revision;
  }

  /** The later of the two positions. */
  later(other: StorePosition): StorePosition {
    return this.isBefore(other) ? other : this;
  }

  toString(): string {
    return `${this.era}:${this.revision}`;
  }
}
