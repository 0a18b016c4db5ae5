/**
 * The chain of block hashes over a prompt.
 *
 * Each block's hash is seeded with the hash before it, the first with a hash over tenant, model,
 * weights and adapter. Two prompts share a hash only where everything before it is the same, so kept
 * cache of another tenant or of older weights cannot match by construction. The engine builds the
 * same chain from the cache salt (docs/INTERFACES.md, "Model engine").
 */
import type { Hasher } from '../runtime/hasher.js';

/** Bytes of prompt text in a block: 16 tokens of 4 bytes. */
export const BLOCK_BYTES = 64;

/** Bytes that count as a token where no tokenizer is asked. */
export const BYTES_PER_TOKEN = 4;

/** Tokens in a block. */
export const BLOCK_TOKENS = BLOCK_BYTES / BYTES_PER_TOKEN;

/** The directory keeps every 16th block of a chain, called a mark: 256 tokens. */
export const MARK_BLOCKS = 16;

/** Tokens covered by one mark. */
export const MARK_TOKENS = MARK_BLOCKS * BLOCK_TOKENS;

/** What a chain is bound to. */
export interface ChainScope {
  readonly tenant: string;
  readonly model: string;
  /** Digest of the weights in force. */
  readonly weightsDigest: string;
  /** Digest of the adapter; empty for none. */
  readonly adapterDigest: string;
}

const SCOPE_SEPARATOR = '\u0000';

/** Seed of the chain, sent to the engine as its cache salt (16 hexadecimal digits). */
export function chainSeed(hasher: Hasher, scope: ChainScope): bigint {
  const parts = [scope.tenant, scope.model, scope.weightsDigest, scope.adapterDigest];
  return hasher.hashText(parts.join(SCOPE_SEPARATOR), 0n);
}

const SALT_DIGITS = 16;
const HEXADECIMAL = 16;

/** The cache salt for a seed. */
export function formatCacheSalt(seed: bigint): string {
  return seed.toString(HEXADECIMAL).padStart(SALT_DIGITS, '0');
}

/** The seed of a cache salt. */
export function parseCacheSalt(salt: string): bigint {
  return BigInt(`0x${salt}`);
}

/** Hashes of all whole blocks of a prompt, in order; at most `limitBlocks`. */
export function hashBlocks(
  hasher: Hasher,
  seed: bigint,
  prompt: Uint8Array,
  limitBlocks = Number.POSITIVE_INFINITY,
): bigint[] {
  const count = Math.min(Math.floor(prompt.length / BLOCK_BYTES), limitBlocks);
  // A view of the plain type: slices of a Buffer cost several times as much.
  const bytes = new Uint8Array(prompt.buffer, prompt.byteOffset, prompt.byteLength);
  const hashes = new Array<bigint>(count);
  let previous = seed;
  for (let index = 0; index < count; index += 1) {
    const start = index * BLOCK_BYTES;
    previous = hasher.hashBytes(bytes.subarray(start, start + BLOCK_BYTES), previous);
    hashes[index] = previous;
  }
  return hashes;
}

/** The marks of a chain: every 16th block hash. */
export function selectMarks(blocks: readonly bigint[]): bigint[] {
  const marks: bigint[] = [];
  for (let index = MARK_BLOCKS - 1; index < blocks.length; index += MARK_BLOCKS) {
    marks.push(blocks[index] as bigint);
  }
  return marks;
}

/** The first mark of a prompt, which decides its home; undefined for a prompt under 256 tokens. */
export function prefixRoot(hasher: Hasher, seed: bigint, prompt: Uint8Array): bigint | undefined {
  return hashBlocks(hasher, seed, prompt, MARK_BLOCKS)[MARK_BLOCKS - 1];
}

/** Tokens reckoned for a prompt of that many bytes. */
export function tokensOfBytes(bytes: number): number {
  return Math.ceil(bytes / BYTES_PER_TOKEN);
}
