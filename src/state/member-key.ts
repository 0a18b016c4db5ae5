/** Short keys for members in datagrams that list many: the 32-bit FNV-1a hash of the identifier. */

const OFFSET_BASIS = 0x811c9dc5;
const PRIME = 0x01000193;

/** Returns an unsigned 32-bit key. Collisions are unlikely for groups of some hundred members. */
export function memberKey(nodeId: string): number {
  let hash = OFFSET_BASIS;
  for (const byte of Buffer.from(nodeId, 'utf8')) {
    hash = Math.imul(hash ^ byte, PRIME);
  }
  return hash >>> 0;
}
