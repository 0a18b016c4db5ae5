/** Events of streams of fake engines. */
import { type RandomSource, randomElement } from '../src/runtime/random.js';

/** Number of events in each stream of a fake engine. */
export const STREAM_EVENTS = 12;
const EVENT_GAP_MS = 15;

/** Length and pace of a stream. */
export interface StreamShape {
  readonly events: number;
  readonly eventGapMs: number;
}

/** The stream of a request that asks for no other one. */
export const SHORT_STREAM: StreamShape = { events: STREAM_EVENTS, eventGapMs: EVENT_GAP_MS };
const LONG_STREAMS_MS = [2_000, 3_500, 5_000, 6_500, 8_000] as const;
/** Slow enough for a hundred streams at once on a busy machine. */
const LONG_EVENT_GAPS_MS = [50, 100] as const;
/** Header of a request for a stream that is not a short one. Routers pass it on like any other. */
const SHAPE_HEADER = 'soak-stream-shape';

/** Draws a stream that lasts for seconds. */
export function drawLongStream(random: RandomSource): StreamShape {
  const lengthMs = randomElement(random, LONG_STREAMS_MS) ?? LONG_STREAMS_MS[0];
  const eventGapMs = randomElement(random, LONG_EVENT_GAPS_MS) ?? LONG_EVENT_GAPS_MS[0];
  return { events: Math.round(lengthMs / eventGapMs), eventGapMs };
}

/** The headers that ask an engine for a stream. */
export function headersOfShape(shape: StreamShape): Record<string, string> {
  if (shape === SHORT_STREAM) return {};
  return { [SHAPE_HEADER]: `${shape.events},${shape.eventGapMs}` };
}

/** The stream that a request asks for. */
export function shapeOf(headers: NodeJS.Dict<string | string[]>): StreamShape {
  const text = headers[SHAPE_HEADER]?.toString();
  if (text === undefined) return SHORT_STREAM;
  const [events = STREAM_EVENTS, eventGapMs = EVENT_GAP_MS] = text.split(',').map(Number);
  return { events, eventGapMs };
}

/** The whole events of a body, without the blank lines between them. */
export function eventsOf(body: string): string[] {
  return body.split('\n\n').slice(0, -1);
}

/** The builds that the events of a body state. */
export function buildsOf(body: string): string[] {
  return eventsOf(body).flatMap((event) => /^event: (.*)$/m.exec(event)?.[1] ?? []);
}
