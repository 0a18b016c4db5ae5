/**
 * Checks, before a stream goes on at an engine, that the incarnation whose build is known still runs:
 * after a restart under the same name, the new entry may be late, and the engine accepts requests that
 * name it. An engine that restarts between the check and the send is not recognised.
 */
import type { InferencePort } from '../../protocol/inference/port.js';
import { EnginePathState } from '../../state/routing/engine-path.js';
import type { EngineRecord } from '../../state/routing/engine-record.js';
import type { EngineIncarnationTracker } from './engine-incarnation-tracker.js';
import type { EnginePathMonitor } from './engine-path/engine-path-monitor.js';

/** Dependencies of {@link isRunning}. */
export interface ContinuationCheckParts {
  readonly engines: Pick<InferencePort, 'readWeightState'>;
  readonly enginePath: Pick<EnginePathMonitor, 'state'>;
  readonly incarnations: Pick<EngineIncarnationTracker, 'acceptResponse'>;
}

/**
 * Whether the engine may have restarted under its name without this router knowing. Engines without
 * a start time have a new name at each start. Without a path, the engine can't be asked.
 */
export function mayHaveRestarted(
  { startedAtMs }: EngineRecord,
  { enginePath }: ContinuationCheckParts,
): boolean {
  return startedAtMs !== undefined && enginePath.state === EnginePathState.Open;
}

/** Asks the engine which incarnation it is; an observed restart is recorded. */
export async function isRunning(
  record: EngineRecord,
  model: string,
  { engines, incarnations }: ContinuationCheckParts,
): Promise<boolean> {
  const state = await engines.readWeightState(record, model);
  return state !== undefined && incarnations.acceptResponse(record, state.startedAtMs, 'report');
}
