/** Hashes the requests of an experiment. */
import type { Hasher } from '../../runtime/hasher.js';
import { chainSeed, formatCacheSalt, hashBlocks, selectMarks } from '../../state/prefix-chain.js';
import type { SampleRequest } from '../load/workload.js';

/** A request with the hashes of its prompt, as policies receive it. */
export interface HashedRequest {
  readonly sample: SampleRequest;
  readonly arrivalMs: number;
  readonly prompt: Uint8Array;
  readonly cacheSalt: string;
  readonly weightsDigest: string;
  readonly blocks: readonly bigint[];
  readonly marks: readonly bigint[];
}

/** Hashes the prompt of a request, scoped by tenant, model and weights. */
export function hashRequest(
  hasher: Hasher,
  sample: SampleRequest,
  weightsDigest: string,
  arrivalMs: number,
): HashedRequest {
  const { tenant, model } = sample.profile;
  const seed = chainSeed(hasher, { tenant, model, weightsDigest, adapterDigest: '' });
  const prompt = new TextEncoder().encode(sample.prompt);
  const blocks = hashBlocks(hasher, seed, prompt);
  const cacheSalt = formatCacheSalt(seed);
  const marks = selectMarks(blocks);
  return { sample, arrivalMs, prompt, cacheSalt, weightsDigest, blocks, marks };
}
