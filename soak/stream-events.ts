/** Events of streams of fake engines. */

/** Number of events in each stream of a fake engine. */
export const STREAM_EVENTS = 12;

/** The whole events of a body, without the blank lines between them. */
export function eventsOf(body: string): string[] {
  return body.split('\n\n').slice(0, -1);
}

/** The builds that the events of a body state. */
export function buildsOf(body: string): string[] {
  return eventsOf(body).flatMap((event) => /^event: (.*)$/m.exec(event)?.[1] ?? []);
}
