/**
 * Checks whether the engine of a response that ended with its connection has crashed. The kernel
 * closes the connections of a process that dies in the same order as the process would have, so the
 * end alone does not show whether the response is whole. A proxy before the engine may accept
 * connections in its place, so an engine of generations must answer, and be the incarnation that has sent
 * the response. One that has broken off one response and lives is not recognised.
 */
import { type Clock, sleep } from '../../runtime/clock.js';
import {
  type DatedEndpoint,
  type IncarnationCheck,
  IncarnationState,
  type InferencePort,
  ListenerState,
} from '../../protocol/inference/port.js';
import { CLOCK_TOLERANCE_MS, isLaterIncarnation } from '../../state/routing/engine-incarnation.js';
import { EarlyEnds } from '../../state/routing/early-ends.js';
import {
  CHECK_DELAYS_MS,
  type CrashDetectorParts,
  PROCESS_EXIT_MS,
} from './engine-crash-detector.js';

/** State of an engine, and of the router that forwarded its connection, after a response has ended. */
export enum SenderState {
  /** Connections are still accepted. */
  Present = 'present',
  /** Connections are no longer accepted, so the response may have been broken off. */
  Gone = 'gone',
  /** The check was inconclusive; the response may have been broken off. */
  Unknown = 'unknown',
}

/** Dependencies of {@link ResponseEndCheck}. */
export interface ResponseEndCheckParts {
  readonly engines: Pick<InferencePort, 'checkListener' | 'checkIncarnation'>;
  readonly clock: Clock;
  readonly access: Pick<CrashDetectorParts, 'checkEngine'>;
}

const SENDER_STATES: Record<ListenerState, SenderState> = {
  [ListenerState.Listening]: SenderState.Present,
  [ListenerState.Refused]: SenderState.Gone,
  [ListenerState.RefusedUnverified]: SenderState.Unknown,
  [ListenerState.Unresponsive]: SenderState.Unknown,
};

const INCARNATION_STATES: Record<IncarnationState, SenderState> = {
  [IncarnationState.Same]: SenderState.Present,
  [IncarnationState.Other]: SenderState.Gone,
  [IncarnationState.Unknown]: SenderState.Unknown,
};

/** A response that ended with its connection. */
export interface EndedResponse {
  /** Address of the router that forwarded the connection; undefined without one. */
  readonly forwarder: string | undefined;
  /**
   * Whether the request was running at earlier crashes, so that its engine is checked for as long as
   * after a lost connection.
   */
  readonly isSuspected: boolean;
  /** Whether the engine runs generations, and so can be asked which incarnation it is. */
  readonly isGeneration: boolean;
  /**
   * Wall-clock time in Unix milliseconds after which the connection was opened; undefined if an earlier
   * exchange has opened it.
   */
  readonly connectedAfterMs: number | undefined;
}

/** Looks for evidence that a response without a length was broken off. */
export class ResponseEndCheck {
  readonly earlyEngines = new EarlyEnds();
  readonly earlyServices = new EarlyEnds();

  constructor(private readonly parts: ResponseEndCheckParts) {}

  /** Checks the engine, and the router that forwarded the connection. */
  async checkSender(engine: DatedEndpoint, response: EndedResponse): Promise<SenderState> {
    const { forwarder, isSuspected, isGeneration, connectedAfterMs } = response;
    let state = SenderState.Unknown;
    for (const delayMs of isSuspected ? CHECK_DELAYS_MS : [PROCESS_EXIT_MS]) {
      await sleep(this.parts.clock, delayMs);
      state = await this.stateOf(engine, forwarder);
      if (state !== SenderState.Present) return state;
    }
    if (!isGeneration) return state;
    const check = await this.parts.engines.checkIncarnation(engine, forwarder);
    if (hasStartedBefore(check, engine, connectedAfterMs)) return SenderState.Present;
    return INCARNATION_STATES[check.state];
  }

  private async stateOf(
    engine: DatedEndpoint,
    forwarder: string | undefined,
  ): Promise<SenderState> {
    if (forwarder === undefined) {
      return SENDER_STATES[await this.parts.access.checkEngine(engine)];
    }
    // A forwarder that dies closes its connections in order too, so only an answer clears it.
    const state = await this.parts.engines.checkListener(engine, forwarder);
    return state === ListenerState.Listening ? SenderState.Present : SenderState.Gone;
  }
}

/**
 * Whether the engine had restarted before the connection was opened. Then the incarnation that is there
 * now has sent the response, although the request was addressed to the one before.
 */
function hasStartedBefore(
  { state, startedAtMs }: IncarnationCheck,
  addressed: DatedEndpoint,
  connectedAfterMs: number | undefined,
): boolean {
  if (state !== IncarnationState.Other) return false;
  if (startedAtMs === undefined || connectedAfterMs === undefined) return false;
  const isLater = isLaterIncarnation(startedAtMs, addressed.startedAtMs);
  return isLater && startedAtMs + CLOCK_TOLERANCE_MS <= connectedAfterMs;
}
