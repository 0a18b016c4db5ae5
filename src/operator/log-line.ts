/** Parses log lines of routers: `key=value` pairs after an optional prefix from a log collector. */

/** A log line with an event. */
export interface LogLine {
  readonly event: string;
  /** Router that wrote the line; empty if unspecified. */
  readonly node: string;
  /** Wall-clock time of that router, in milliseconds; undefined if unspecified. */
  readonly timeMs: number | undefined;
  /** All pairs, including `event`, `node` and `time`. */
  readonly fields: ReadonlyMap<string, string>;
}

const PAIR = /(?:^|\s)(\w+)=("(?:[^"\\]|\\.)*"|\S*)/g;

/** Parses a line; returns undefined if it has no event. */
export function parseLogLine(text: string): LogLine | undefined {
  const fields = new Map<string, string>();
  for (const [, key = '', value = ''] of text.matchAll(PAIR)) fields.set(key, unquote(value));
  const event = fields.get('event');
  if (event === undefined) return undefined;
  const timeMs = Date.parse(fields.get('time') ?? '');
  return {
    event,
    node: fields.get('node') ?? '',
    timeMs: Number.isNaN(timeMs) ? undefined : timeMs,
    fields,
  };
}

function unquote(value: string): string {
  if (!value.startsWith('"')) return value;
  // The pattern matches a complete quoted string, which the logger writes as JSON.
  return JSON.parse(value) as string;
}
