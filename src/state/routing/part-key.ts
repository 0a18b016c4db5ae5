/**
 * Numeric keys of prompt parts: the 32-bit FNV-1a hash of salt and part identifier. Routers exchange
 * locations by these keys, so that no prompt text or part identifier leaves a router. The salt is
 * part of the hash, so parts of other weights or isolated tenants have other keys. Two parts with
 * the same key cost one wrong estimate at most: engines look parts up by salt and identifier.
 */

const OFFSET_BASIS = 0x811c9dc5;
const PRIME = 0x01000193;
const SEPARATOR = 0x0a;

/** Hash of a salt, from which the keys of its parts are computed. */
export function saltHashOf(salt: string): number {
  return Math.imul(continueHash(OFFSET_BASIS, salt) ^ SEPARATOR, PRIME);
}

/** Key of a part. It is a signed integer, which V8 stores and compares without allocation. */
export function partKeyOf(saltHash: number, partId: string): number {
  return continueHash(saltHash, partId) | 0;
}

function continueHash(start: number, text: string): number {
  let hash = start;
  for (let index = 0; index < text.length; index += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(index), PRIME);
  }
  return hash;
}
