/** 64-bit hashing for prefix chains and rendezvous, by `xxhash-wasm`. */
import createXxhash from 'xxhash-wasm';

/** Non-cryptographic 64-bit hashes (XXH64). */
export interface Hasher {
  /** Hash of bytes under a seed. */
  hashBytes(bytes: Uint8Array, seed: bigint): bigint;
  /** Hash of a text's UTF-8 bytes under a seed. */
  hashText(text: string, seed: bigint): bigint;
}

let shared: Promise<Hasher> | undefined;

async function loadHasher(): Promise<Hasher> {
  const { h64, h64Raw } = await createXxhash();
  return { hashBytes: h64Raw, hashText: h64 };
}

/** Loads the hash function. It holds no state of a node, so one instance serves a process. */
export function createHasher(): Promise<Hasher> {
  shared ??= loadHasher();
  return shared;
}
