/** Points in time on both clocks, for tests without suspended machines. */
import { ElapsedInstant } from '../../src/runtime/elapsed-instant.js';
import type { LeaseTime } from '../../src/state/routing/weight-lease.js';

/** The instant `ms` milliseconds after the start. */
export function elapsedAt(ms: number): ElapsedInstant {
  return new ElapsedInstant(ms);
}

/** The same time on both clocks. */
export function leaseTimeAt(ms: number): LeaseTime {
  return { nowMs: ms, elapsed: elapsedAt(ms) };
}
