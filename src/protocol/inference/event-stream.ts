/** Recognises streams of server-sent events. */
import type { ResponseHead } from './port.js';

const EVENT_STREAM_TYPE = /^text\/event-stream\s*(;|$)/i;
const FIRST_UNSUCCESSFUL_STATUS = 300;

/**
 * Whether a response on a route for streams is a stream of events: a successful one whose type is not
 * declared as another.
 */
export function isEventStream({ status, headers }: ResponseHead): boolean {
  if (status >= FIRST_UNSUCCESSFUL_STATUS) return false;
  const type = headers.find(([name]) => name.toLowerCase() === 'content-type')?.[1];
  return type === undefined || EVENT_STREAM_TYPE.test(type.trim());
}
