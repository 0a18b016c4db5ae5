import test from 'ava';
import { createHasher } from '../src/runtime/hasher.js';
import {
  BLOCK_BYTES,
  MARK_BLOCKS,
  chainSeed,
  hashBlocks,
  prefixRoot,
  selectMarks,
} from '../src/state/prefix-chain.js';

const scope = { tenant: 'a', model: 'm', weightsDigest: 'w1', adapterDigest: '' };
const prompt = Buffer.alloc(BLOCK_BYTES * MARK_BLOCKS * 3, 'beginning of a long prompt ');

test('chains of different tenants, models, weights or adapters share no block', async (t) => {
  const hasher = await createHasher();
  const scopes = [
    scope,
    { ...scope, tenant: 'b' },
    { ...scope, weightsDigest: 'w2' },
    { ...scope, adapterDigest: 'x' },
    { ...scope, model: 'n' },
  ];
  const chains = scopes.map((each) => hashBlocks(hasher, chainSeed(hasher, each), prompt));
  t.is(new Set(chains.flat()).size, chains.length * MARK_BLOCKS * 3);
});

test('two prompts share exactly the blocks before their first difference', async (t) => {
  const hasher = await createHasher();
  const seed = chainSeed(hasher, scope);
  const other = Buffer.from(prompt);
  other[BLOCK_BYTES * 20] = 0;
  const first = hashBlocks(hasher, seed, prompt);
  const second = hashBlocks(hasher, seed, other);
  t.deepEqual(first.slice(0, 20), second.slice(0, 20));
  t.false(second.slice(20).some((hash) => first.includes(hash)));
});

test('the root is the first mark, and a short prompt has none', async (t) => {
  const hasher = await createHasher();
  const seed = chainSeed(hasher, scope);
  t.is(prefixRoot(hasher, seed, prompt), selectMarks(hashBlocks(hasher, seed, prompt))[0]);
  t.is(prefixRoot(hasher, seed, prompt.subarray(0, BLOCK_BYTES * MARK_BLOCKS - 1)), undefined);
});
