/** A short key of a member for datagrams that name many: FNV-1a of its identifier, 32 bits. */

const OFFSET_BASIS = 0x811c9dc5;
const PRIME = 0x01000193;

/** Unsigned 32-bit key; two of some hundred identifiers share one with a chance of 1 in 100,000. */
export function memberKey(nodeId: string): number {
  let hash = OFFSET_BASIS;
  for (const byte of Buffer.from(nodeId, 'utf8')) {
    hash = Math.imul(hash ^ byte, PRIME);
  }
  return hash >>> 0;
}
