/** Converts store positions to and from message fields: a revision and an optional era. */
import { StoreEra, StorePosition } from '../../runtime/store-position.js';

/** Returns the optional `era` field; omitted if the era is unknown. */
export function encodeEra(era: number = StoreEra.Unknown): { era?: bigint } {
  return era === StoreEra.Unknown ? {} : { era: BigInt(era) };
}

/** @param era undefined if the sender's version does not support eras */
export function decodePosition(revision: bigint, era: bigint | undefined): StorePosition {
  return new StorePosition(era === undefined ? StoreEra.Unknown : Number(era), Number(revision));
}
