import { fc, testProp } from '@fast-check/ava';
import { createHasher } from '../src/runtime/hasher.js';
import { pickByRendezvous, rankByRendezvous } from '../src/state/rendezvous.js';
import { RendezvousAssignment } from '../src/state/rendezvous-assignment.js';

const candidateSets = fc.array(fc.uniqueArray(fc.constantFrom(...'abcdefghij')), {
  minLength: 1,
  maxLength: 6,
});
const KEYS = Array.from({ length: 40 }, (_, index) => BigInt(index) * 0x9e3779b97f4a7c15n);

testProp(
  'an incremental assignment equals a full one and returns every key whose owner changed',
  [candidateSets],
  async (t, sets) => {
    const hasher = await createHasher();
    const assignment = new RendezvousAssignment<bigint>(hasher, (key) => key);
    for (const candidates of sets) {
      const before = new Map(KEYS.map((key) => [key, assignment.ownerOf(key)]));
      const moved = new Set(assignment.setCandidates(candidates));
      for (const key of KEYS) {
        const owner = assignment.ownerOf(key);
        t.is(owner, pickByRendezvous(hasher, key, candidates));
        t.is(owner, rankByRendezvous(hasher, key, candidates)[0]);
        if (before.get(key) !== undefined) t.is(moved.has(key), before.get(key) !== owner);
      }
    }
  },
  { seed: 1, numRuns: 60 },
);
