/**
 * The chain of block hashes over a prompt.
 *
 * The hash of a block is seeded with that of the preceding block; the first one with a hash of
 * tenant, model, weights and adapter. Two prompts share a hash only if everything before it is
 * equal, so that a cached prefix never matches another tenant or other weights. The engine builds
 * the same chain from the cache salt (docs/INTERFACES.md, "Model engine").
 */
import type { Hasher } from '../runtime/hasher.js';

/** Bytes of prompt text in a block. */
export const BLOCK_BYTES = 64;

/** Estimated bytes per token, used instead of a tokenizer. */
export const BYTES_PER_TOKEN = 4;

/** Estimated tokens in a block. */
export const BLOCK_TOKENS = BLOCK_BYTES / BYTES_PER_TOKEN;

/** Interval, in blocks, of the marks: the block hashes of a chain that the directory stores. */
export const MARK_BLOCKS = 16;

/** Tokens covered by one mark. */
export const MARK_TOKENS = MARK_BLOCKS * BLOCK_TOKENS;

/** What the hashes of a chain depend on besides the prompt. */
export interface ChainScope {
  readonly tenant: string;
  readonly model: string;
  /** Digest of the current weights. */
  readonly weightsDigest: string;
  /** Digest of the adapter; empty if there is none. */
  readonly adapterDigest: string;
}

const SCOPE_SEPARATOR = '\u0000';

/** Returns the seed of a chain; the engine receives it as the cache salt. */
export function chainSeed(hasher: Hasher, scope: ChainScope): bigint {
  const parts = [scope.tenant, scope.model, scope.weightsDigest, scope.adapterDigest];
  return hasher.hashText(parts.join(SCOPE_SEPARATOR), 0n);
}

const SALT_DIGITS = 16;
const HEXADECIMAL = 16;

/** Formats a seed as a cache salt of 16 hexadecimal digits. */
export function formatCacheSalt(seed: bigint): string {
  return seed.toString(HEXADECIMAL).padStart(SALT_DIGITS, '0');
}

/** Parses the seed from a cache salt. */
export function parseCacheSalt(salt: string): bigint {
  return BigInt(`0x${salt}`);
}

/** Returns the hashes of all complete blocks of a prompt, in order; at most `limitBlocks`. */
export function hashBlocks(
  hasher: Hasher,
  seed: bigint,
  prompt: Uint8Array,
  limitBlocks = Number.POSITIVE_INFINITY,
): bigint[] {
  const count = Math.min(Math.floor(prompt.length / BLOCK_BYTES), limitBlocks);
  // Views of a Uint8Array are much cheaper to create than views of a Buffer.
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

/** Returns the marks of a chain: every block hash at an interval of {@link MARK_BLOCKS}. */
export function selectMarks(blocks: readonly bigint[]): bigint[] {
  const marks: bigint[] = [];
  for (let index = MARK_BLOCKS - 1; index < blocks.length; index += MARK_BLOCKS) {
    marks.push(blocks[index] as bigint);
  }
  return marks;
}

/** Returns the first mark of a prompt, which determines its home; undefined if it is shorter. */
export function prefixRoot(hasher: Hasher, seed: bigint, prompt: Uint8Array): bigint | undefined {
  return hashBlocks(hasher, seed, prompt, MARK_BLOCKS)[MARK_BLOCKS - 1];
}

/** Estimates the tokens of a prompt of the given length. */
export function tokensOfBytes(bytes: number): number {
  return Math.ceil(bytes / BYTES_PER_TOKEN);
}
