/**
 * Checks whether the engine of a response that ended with its connection has crashed. The kernel
 * closes the connections of a process that dies in the same order as the process would have, so the
 * end alone does not show whether the response is whole. An engine that has restarted meanwhile, or
 * that has broken off one response and lives, is not recognised.
 */
import type { Clock } from '../../runtime/clock.js';
import {
  type EngineEndpoint,
  type InferencePort,
  ListenerState,
} from '../../protocol/inference/port.js';
import { type CrashDetectorParts, PROCESS_EXIT_MS } from './engine-crash-detector.js';

/** Dependencies of {@link ResponseEndCheck}. */
export interface ResponseEndCheckParts {
  readonly engines: Pick<InferencePort, 'checkListener'>;
  readonly clock: Clock;
  readonly access: Pick<CrashDetectorParts, 'checkEngine'>;
}

/** Looks for evidence that a response without a length was broken off. */
export class ResponseEndCheck {
  constructor(private readonly parts: ResponseEndCheckParts) {}

  /**
   * Whether the engine, or the router that forwarded the connection, no longer accepts connections.
   *
   * @param forwarder address of the router that forwarded the connection; undefined without one
   */
  async isSenderGone(engine: EngineEndpoint, forwarder: string | undefined): Promise<boolean> {
    await this.waitForExit();
    if (forwarder === undefined) {
      return (await this.parts.access.checkEngine(engine)) === ListenerState.Refused;
    }
    // A forwarder that dies closes its connections in order too, so only an answer clears it.
    const state = await this.parts.engines.checkListener(engine, forwarder);
    return state !== ListenerState.Listening;
  }

  private waitForExit(): Promise<void> {
    return new Promise((resolve) => {
      this.parts.clock.setTimer(PROCESS_EXIT_MS, resolve);
    });
  }
}
