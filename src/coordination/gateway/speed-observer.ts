/** What the sends of a router observe of the speed of engines. */
import type { EngineRecord } from '../../state/routing/engine-record.js';

/** First bytes of the response to a generation. */
export interface FirstByte {
  readonly waitedMs: number;
  /** Prompt tokens that the engine was expected to prefill. */
  readonly unreadTokens: number;
  /** Prompt tokens that the engine certainly had to prefill. */
  readonly ownTokens: number;
  /** Prompt tokens that other requests had to prefill at the engine when this one was sent. */
  readonly queuedTokens: number;
  /** Whether cached prefixes were fetched or the response continued an earlier one. */
  readonly isPartial: boolean;
}

/** Receives observations of responses to generations. */
export interface SpeedObserver {
  /**
   * A pause within a stream during which the engine generated, in milliseconds.
   *
   * @param queuedTokens prompt tokens that the engine had to prefill for other requests meanwhile
   */
  notePause(engine: EngineRecord, pauseMs: number, queuedTokens: number): void;
  noteFirstByte(engine: EngineRecord, firstByte: FirstByte): void;
  /** A complete stream with its number of events. */
  noteLength(engine: EngineRecord, expectedTokens: number, events: number): void;
}

/** Used where speeds are not learned. */
export const NO_SPEED_OBSERVER: SpeedObserver = {
  notePause: () => undefined,
  noteFirstByte: () => undefined,
  noteLength: () => undefined,
};
