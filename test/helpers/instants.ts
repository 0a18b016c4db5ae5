/** Moments on both clocks, for tests in which no machine is suspended. */
import { ElapsedInstant } from '../../src/runtime/elapsed-instant.js';
import type { LeaseTime } from '../../src/state/routing/weight-lease.js';

/** The moment `ms` after the start. */
export function elapsedAt(ms: number): ElapsedInstant {
  return new ElapsedInstant(ms);
}

/** The same moment on both clocks. */
export function leaseTimeAt(ms: number): LeaseTime {
  return { nowMs: ms, elapsed: elapsedAt(ms) };
}
