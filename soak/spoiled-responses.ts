/**
 * Responses that an engine in operation spoils: with one flipped bit in their status line, or without
 * a length and ended before they are whole.
 */
import type { ServerResponse } from 'node:http';
import { HttpStatus } from '../src/protocol/http-status.js';
import { STREAM_EVENTS, eventsOf } from './stream-events.js';

const BITS_PER_BYTE = 8;
const STATUS_LINE = 'HTTP/1.1 200 OK';
/** The status itself comes first. */
const FIRST_BIT = STATUS_LINE.indexOf('200') * BITS_PER_BYTE;

let nextBit = FIRST_BIT;

/** The events of a stream after the given one. */
export function eventsAfter(lastEvent: number, requestId: string, build: string): string {
  const count = Math.max(0, STREAM_EVENTS - lastEvent);
  const numbers = Array.from({ length: count }, (_, index) => lastEvent + index + 1);
  return numbers
    .map((number) => `id: ${number}\nevent: ${build}\ndata: ${requestId} ${number}\n\n`)
    .join('');
}

/** Sends a whole response with one flipped bit in its status line, another one each time. */
export function sendSpoiledResponse(
  response: ServerResponse,
  headers: Readonly<Record<string, string>>,
  body: string,
  isStream: boolean,
): void {
  const statusLine = Buffer.from(STATUS_LINE);
  const bit = nextBit % (statusLine.length * BITS_PER_BYTE);
  nextBit += 1;
  const index = Math.floor(bit / BITS_PER_BYTE);
  statusLine[index] = (statusLine[index] as number) ^ (1 << (bit % BITS_PER_BYTE));
  const type = isStream ? 'text/event-stream' : 'text/plain';
  const fields = { ...headers, 'Content-Type': type, 'Content-Length': Buffer.byteLength(body) };
  const lines = Object.entries(fields).map(([name, value]) => `${name}: ${value}`);
  const head = [statusLine.toString('latin1'), ...lines].join('\r\n');
  response.socket?.end(Buffer.from(`${head}\r\n\r\n${body}`, 'latin1'));
}

let earlyEnds = 0;

/**
 * How much of a body without a length an engine sends before it closes the connection in order: half
 * of a stream's events, so that a continuation brings something while any are missing, and of another
 * body nothing or half in turn.
 */
function earlyEndOf(body: string, isStream: boolean): string {
  if (isStream) {
    const events = eventsOf(body);
    const sent = events.slice(0, Math.ceil(events.length / 2));
    return sent.map((event) => `${event}\n\n`).join('');
  }
  earlyEnds += 1;
  return earlyEnds % 2 === 0 ? '' : body.slice(0, body.length / 2);
}

/**
 * Sends a response without a length that ends in order before it is whole; returns false if it is
 * whole nevertheless.
 */
export function endEarly(
  response: ServerResponse,
  headers: Readonly<Record<string, string>>,
  body: string,
  isStream: boolean,
): boolean {
  const sent = earlyEndOf(body, isStream);
  endWithConnection(response);
  const type = isStream ? 'text/event-stream' : 'text/plain';
  response.writeHead(HttpStatus.Ok, { ...headers, 'Content-Type': type });
  response.end(sent);
  return sent !== body;
}

/** Lets the response end with its connection, and state no other end. */
export function endWithConnection(response: ServerResponse): void {
  response.useChunkedEncodingByDefault = false;
  response.shouldKeepAlive = false;
}
