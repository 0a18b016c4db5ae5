/** 64-bit hashing for prefix chains and rendezvous, by `xxhash-wasm`. */
import createXxhash from 'xxhash-wasm';

/** Non-cryptographic 64-bit hashes (XXH64). */
export interface Hasher {
  /** Hash of bytes with a seed. */
  hashBytes(bytes: Uint8Array, seed: bigint): bigint;
  /** Hash of the UTF-8 bytes of a text with a seed. */
  hashText(text: string, seed: bigint): bigint;
}

let shared: Promise<Hasher> | undefined;

async function loadHasher(): Promise<Hasher> {
  const { h64, h64Raw } = await createXxhash();
  return { hashBytes: h64Raw, hashText: h64 };
}

/** Loads the hash function. It is stateless, so the process shares one instance. */
export function createHasher(): Promise<Hasher> {
  shared ??= loadHasher();
  return shared;
}
