/** Positions in the store as messages between routers carry them: a revision, and an era that older builds leave out. */
import { StoreEra, StorePosition } from '../../runtime/store-position.js';

/** The optional field of the era, left out where it is not known. */
export function encodeEra(era: number = StoreEra.Unknown): { era?: bigint } {
  return era === StoreEra.Unknown ? {} : { era: BigInt(era) };
}

/** @param era undefined where the sender's build sends none */
export function decodePosition(revision: bigint, era: bigint | undefined): StorePosition {
  return new StorePosition(era === undefined ? StoreEra.Unknown : Number(era), Number(revision));
}
