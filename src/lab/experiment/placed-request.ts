/** A request of an experiment, hashed once for all policies. */
import type { Hasher } from '../../runtime/hasher.js';
import { chainSeed, formatCacheSalt, hashBlocks, selectMarks } from '../../state/prefix-chain.js';
import type { SampleRequest } from '../load/workload.js';

/** What a policy sees of a request. */
export interface PlacedRequest {
  readonly sample: SampleRequest;
  readonly arrivalMs: number;
  readonly prompt: Uint8Array;
  readonly cacheSalt: string;
  readonly weightsDigest: string;
  readonly blocks: readonly bigint[];
  readonly marks: readonly bigint[];
}

/** Hashes a request under its tenant, model and weights. */
export function placeRequest(
  hasher: Hasher,
  sample: SampleRequest,
  weightsDigest: string,
  arrivalMs: number,
): PlacedRequest {
  const { tenant, model } = sample.profile;
  const seed = chainSeed(hasher, { tenant, model, weightsDigest, adapterDigest: '' });
  const prompt = new TextEncoder().encode(sample.prompt);
  const blocks = hashBlocks(hasher, seed, prompt);
  const cacheSalt = formatCacheSalt(seed);
  const marks = selectMarks(blocks);
  return { sample, arrivalMs, prompt, cacheSalt, weightsDigest, blocks, marks };
}
