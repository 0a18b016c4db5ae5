/**
 * Responses that an engine in operation contradicts: it breaks off a head and sends another response
 * behind it on the same connection, or it ends a stream without a length early and answers requests for
 * the rest with something else.
 */
import type { ServerResponse } from 'node:http';
import { HttpStatus } from '../src/protocol/http-status.js';
import { endEarly, endWithConnection, eventsAfter } from './spoiled-responses.js';
import { WireHeader } from './wire.js';

/** Time between both parts, if the second one is sent on its own. */
const SECOND_PART_DELAY_MS = 5;
/** Prime, so that heads are cut at each of their bytes in turn. */
const CUT_STEP = 37;
/** An id and a body that belong to no request. */
const OTHER = 'other-request';

let joinedHeads = 0;

/** Sends a part of the response's head, and behind it a whole response to another request or an error. */
export function joinHeads(
  response: ServerResponse,
  headers: Readonly<Record<string, string>>,
  body: string,
  isStream: boolean,
): void {
  const type = isStream ? 'text/event-stream' : 'text/plain';
  const head = headOf('200 OK', { ...headers, 'Content-Type': type }, body);
  joinedHeads += 1;
  // All but the last byte at most: behind a whole head, the second response would be its body.
  const cut = head.slice(0, 1 + ((joinedHeads * CUT_STEP) % (head.length - 1)));
  const isError = joinedHeads % 2 === 0;
  const otherBody = isStream ? eventsAfter(0, OTHER, OTHER) : OTHER;
  const otherHeaders = isError ? headers : { ...headers, [WireHeader.attemptId]: OTHER };
  const statusLine = isError ? '500 Internal Server Error' : '200 OK';
  const second =
    headOf(statusLine, { ...otherHeaders, 'Content-Type': type }, otherBody) + otherBody;
  const { socket } = response;
  if (joinedHeads % 3 === 0) {
    socket?.write(cut);
    setTimeout(() => socket?.end(second), SECOND_PART_DELAY_MS);
  } else socket?.end(cut + second);
}

function headOf(
  statusLine: string,
  headers: Readonly<Record<string, string>>,
  body: string,
): string {
  const fields = { ...headers, 'Content-Length': Buffer.byteLength(body) };
  const lines = Object.entries(fields).map(([name, value]) => `${name}: ${value}`);
  return [`HTTP/1.1 ${statusLine}`, ...lines, '', ''].join('\r\n');
}

/** Answer to a request for the rest of a stream. */
type Contradiction = (lastEvent: number, requestId: string, build: string) => string | number;

/** The events of a stream from the first one up to the given one. */
function eventsUntil(lastEvent: number, requestId: string, build: string): string {
  const rest = eventsAfter(lastEvent, requestId, build);
  const all = eventsAfter(0, requestId, build);
  return all.slice(0, all.length - rest.length);
}

/** Bodies of streams, or statuses of responses that are none. */
const CONTRADICTIONS: readonly Contradiction[] = [
  (lastEvent, requestId, build) => eventsAfter(lastEvent - 1, requestId, build),
  () => HttpStatus.NotFound,
  (_lastEvent, requestId, build) => eventsAfter(0, requestId, build),
  () => HttpStatus.NoContent,
  (lastEvent, requestId, build) => eventsUntil(lastEvent, requestId, build),
  () => HttpStatus.ServerError,
];

let contradictions = 0;

/** Ends a stream without a length early, or contradicts it if its rest is requested. */
export function contradictStream(
  response: ServerResponse,
  headers: Readonly<Record<string, string>>,
  { lastEvent, requestId, build }: StreamRequest,
): void {
  if (lastEvent === 0) {
    endEarly(response, headers, eventsAfter(0, requestId, build), true);
    return;
  }
  const contradict = CONTRADICTIONS[contradictions % CONTRADICTIONS.length] as Contradiction;
  // Each contradiction is sent with and without chunks.
  const isUnframed = contradictions % (2 * CONTRADICTIONS.length) < CONTRADICTIONS.length;
  contradictions += 1;
  if (isUnframed) endWithConnection(response);
  const answer = contradict(lastEvent, requestId, build);
  if (typeof answer === 'number') {
    response.writeHead(answer, headers);
    response.end();
    return;
  }
  response.writeHead(HttpStatus.Ok, { ...headers, 'Content-Type': 'text/event-stream' });
  response.end(answer);
}

/** What a request for a stream, or for its rest, states. */
export interface StreamRequest {
  /** Number of the last event that was received; 0 for a whole stream. */
  readonly lastEvent: number;
  readonly requestId: string;
  readonly build: string;
}
