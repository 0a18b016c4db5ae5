/** Logs a suspension of the machine or a change of its wall-clock time. */
import type { ElapsedInstant } from '../../runtime/elapsed-instant.js';
import type { Logger } from '../../runtime/logger.js';
import type { ConfigurationState } from '../../state/routing/configuration-state.js';

/** Logs what a jump of the clock means for the proof of the configuration and for a held lease. */
export function logClockJump(
  aheadMs: number,
  configuration: ConfigurationState,
  now: ElapsedInstant,
  heldLease: number | undefined,
  logger: Logger,
): void {
  logger.warn('clock_jumped', {
    ahead_ms: Math.round(aheadMs),
    proof_age_ms: Math.round(configuration.proofAgeMs(now)),
    proven: configuration.isProven(now),
    held_lease: heldLease,
  });
}
