/** Responses of an engine with one flipped bit in their status line. */
import type { ServerResponse } from 'node:http';
import { STREAM_EVENTS } from './stream-events.js';

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
