/** Responses of engines that misbehave within single responses. */
import type { ServerResponse } from 'node:http';
import { contradictStream, joinHeads } from './contradicted-responses.js';
import { EngineBehavior } from './messages.js';
import { SHORT_STREAM, type StreamShape } from './stream-events.js';
import { endEarly, eventsAfter, sendSpoiledResponse } from './spoiled-responses.js';

/** A request and what a sound engine would respond. */
export interface ExpectedResponse {
  readonly headers: Readonly<Record<string, string>>;
  readonly requestId: string;
  readonly plainBody: string;
  readonly isStream: boolean;
  /** Whether it is a stream that may not be resumed. */
  readonly isStreamOnce: boolean;
  readonly shape: StreamShape;
  /** Number of the last event that was received; 0 for a whole stream. */
  readonly lastEvent: number;
  readonly build: string;
}

/** What became of a response: undefined if the behavior does not concern it, so that nothing was sent. */
export type MisbehavingResult = { readonly isBrokenOff: boolean } | undefined;

/** Responds according to the behavior. */
export function misbehave(
  behavior: EngineBehavior,
  response: ServerResponse,
  expected: ExpectedResponse,
): MisbehavingResult {
  const { headers, requestId, isStream, isStreamOnce, lastEvent, build } = expected;
  // The events of spoiled, contradicted and shortened streams are those of short ones.
  if (expected.shape !== SHORT_STREAM) return undefined;
  const body = isStream ? eventsAfter(lastEvent, requestId, build) : expected.plainBody;
  switch (behavior) {
    case EngineBehavior.Spoiling:
      sendSpoiledResponse(response, headers, body, isStream);
      return { isBrokenOff: false };
    case EngineBehavior.JoiningHeads:
      joinHeads(response, headers, body, isStream);
      return { isBrokenOff: true };
    case EngineBehavior.EndingEarly:
      if (isStreamOnce) return undefined;
      return { isBrokenOff: endEarly(response, headers, body, isStream) };
    case EngineBehavior.ContradictingStreams:
      if (!isStream || isStreamOnce) return undefined;
      contradictStream(response, headers, { lastEvent, requestId, build });
      return { isBrokenOff: true };
    default:
      return undefined;
  }
}
