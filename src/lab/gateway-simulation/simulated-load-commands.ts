/** How a simulated engine handles commands to load other weights. */
import type { LoadCommandRequest, LoadCommandResult } from '../../protocol/inference/port.js';
import type { Clock } from '../../runtime/clock.js';
import type { EngineObservations, SimulatedEngine } from './simulated-engine.js';

/** Duration of a load. */
const LOAD_MS = 300;

/** A command and the time at which it was sent. */
export interface SentLoadCommand extends LoadCommandRequest {
  readonly sentMs: number;
}

/** Applies a command that has arrived at a running engine. */
export function applyLoadCommand(
  engine: SimulatedEngine,
  command: SentLoadCommand,
  observations: EngineObservations,
  clock: Clock,
): LoadCommandResult {
  const { startedAtMs } = engine;
  if (command.fencingToken < engine.highestToken)
    return { kind: 'rejected', status: 412, startedAtMs };
  engine.highestToken = command.fencingToken;
  if (engine.isLoading || command.expectedSequence !== engine.commandSequence) {
    return { kind: 'rejected', status: 409, startedAtMs };
  }
  if (engine.weightsVersion >= command.version) return { kind: 'already-done', startedAtMs };
  engine.commandSequence += 1;
  engine.isLoading = true;
  observations.loadCommands.push({
    engineId: engine.id,
    holder: command.holder,
    token: command.fencingToken,
    sentMs: command.sentMs,
  });
  clock.setTimer(LOAD_MS, () => {
    engine.isLoading = false;
    engine.weightsVersion = command.version;
  });
  return { kind: 'accepted', startedAtMs };
}
