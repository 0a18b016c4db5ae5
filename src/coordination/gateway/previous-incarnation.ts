/**
 * Identifies sends that were handled by an engine's previous incarnation. A connection to an
 * unreachable machine hangs, so after a restart such sends are aborted without waiting for the
 * connection. A send made after the restart may run in the new incarnation even if it was addressed
 * to the previous one; only its connection shows the outcome.
 */
import type { Clock } from '../../runtime/clock.js';
import { CLOCK_TOLERANCE_MS, isLaterIncarnation } from '../../state/routing/engine-incarnation.js';
import type { EngineRestart } from './engine-incarnation-tracker.js';
import type { Send } from './send.js';

/**
 * A connection without activity for this long is considered hung. Keeps streams of the new
 * incarnation alive if the engine's clock is far ahead.
 */
const INACTIVITY_MS = 250;

/** Whether a send certainly belongs to the previous incarnation and its connection is inactive. */
export function belongsToPreviousIncarnation(
  send: Send,
  { previous, startedAtMs }: EngineRestart,
  clock: Clock,
): boolean {
  const { name, startedAtMs: addressedMs } = send.placement.engine.record;
  if (name !== previous.name || !isLaterIncarnation(startedAtMs, addressedMs)) return false;
  const inactiveMs = clock.now() - send.lastActivityMs;
  return send.sentWallMs < startedAtMs - CLOCK_TOLERANCE_MS && inactiveMs >= INACTIVITY_MS;
}
