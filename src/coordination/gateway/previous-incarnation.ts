/**
 * Which sends belong to a life of an engine that is over. A connection to a machine that is cut off hangs,
 * so a send is given up where only the former life can have it; a later one may run in the new life,
 * though this router took it for the former one, and its connection alone shows how it ends.
 */
import type { Clock } from '../../runtime/clock.js';
import { isLaterIncarnation } from '../../state/routing/engine-incarnation.js';
import type { EngineRestart } from './engine-incarnation-tracker.js';
import type { Send } from './send.js';

/** Clocks of machines differ by less: a send that is older by this than the new life was the former one's. */
export const CLOCK_TOLERANCE_MS = 500;
/**
 * A connection that shows no sign for this long is taken to hang. Where an engine's clock is far ahead, this
 * keeps streams that run in the new life.
 */
const SILENCE_MS = 250;

/** Whether a send is certain to belong to the life that is over, and shows no sign any more. */
export function belongsToPreviousIncarnation(
  send: Send,
  { former, bornMs }: EngineRestart,
  clock: Clock,
): boolean {
  const { name, bornMs: meantMs } = send.placement.engine.record;
  if (name !== former.name || !isLaterIncarnation(bornMs, meantMs)) return false;
  const now = clock.now();
  const sentWallMs = clock.wallNow() - (now - send.sentMs);
  return sentWallMs < bornMs - CLOCK_TOLERANCE_MS && now - send.lastSignMs >= SILENCE_MS;
}
