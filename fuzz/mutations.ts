/** Each protection switched off in turn, with the invariant whose breach the fuzz must then find. */
import type { Protections } from '../src/coordination/router/settings.js';

/** A protection and what breaks without it. */
export interface Mutation {
  readonly protection: keyof Protections;
  readonly invariant: number;
  /** Seed and runs with which the fuzz finds it in CI. */
  readonly seed: number;
  readonly runs: number;
}

/** The list; docs/design/0002-proof.md shows what each run found. */
export const MUTATIONS: readonly Mutation[] = [
  { protection: 'claims', invariant: 6, seed: 1, runs: 600 },
  { protection: 'tenantSalt', invariant: 1, seed: 1, runs: 600 },
  { protection: 'weightsSalt', invariant: 1, seed: 1, runs: 600 },
  { protection: 'monotonicRevisions', invariant: 9, seed: 1, runs: 600 },
  { protection: 'respectLeaving', invariant: 7, seed: 1, runs: 600 },
  { protection: 'proveNotRun', invariant: 5, seed: 1, runs: 600 },
  { protection: 'continueStreams', invariant: 2, seed: 1, runs: 600 },
];
