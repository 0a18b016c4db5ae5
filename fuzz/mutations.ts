/** Protections to disable in turn, with the invariant whose violation the fuzz test must detect. */
import type { Protections } from '../src/coordination/router/settings.js';

/** A protection and the invariant that is violated without it. */
export interface Mutation {
  readonly protection: keyof Protections;
  readonly invariant: number;
  /** Seed and number of runs with which CI detects the violation. */
  readonly seed: number;
  readonly runs: number;
}

/** The mutations; `docs/design/0002-proof.md` lists the findings. */
export const MUTATIONS: readonly Mutation[] = [
  { protection: 'claims', invariant: 6, seed: 1, runs: 600 },
  { protection: 'tenantSalt', invariant: 1, seed: 1, runs: 600 },
  { protection: 'weightsSalt', invariant: 1, seed: 1, runs: 600 },
  { protection: 'monotonicRevisions', invariant: 9, seed: 1, runs: 600 },
  { protection: 'respectLeaving', invariant: 7, seed: 1, runs: 600 },
  { protection: 'proveNotRun', invariant: 5, seed: 1, runs: 600 },
  { protection: 'continueStreams', invariant: 2, seed: 1, runs: 600 },
];
