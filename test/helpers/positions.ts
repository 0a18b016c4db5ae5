/** Store positions for tests. */
import { StoreEra, StorePosition } from '../../src/runtime/store-position.js';

/** A position in a store without eras, unless an era is given. */
export function positionAt(revision: number, era: number = StoreEra.None): StorePosition {
  return new StorePosition(era, revision);
}
