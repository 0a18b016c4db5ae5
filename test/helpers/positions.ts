/** Positions in the store, as most tests need them. */
import { StoreEra, StorePosition } from '../../src/runtime/store-position.js';

/** A position of a store that tells no eras, unless an era is given. */
export function positionAt(revision: number, era: number = StoreEra.None): StorePosition {
  return new StorePosition(era, revision);
}
