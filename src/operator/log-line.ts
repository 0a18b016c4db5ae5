/** One line of a router's log: `key=value` pairs, after whatever a collector put before them. */

/** A line that holds an event. */
export interface LogLine {
  readonly event: string;
  /** Router that wrote it; empty where the line does not say. */
  readonly node: string;
  /** Wall clock of that router, in milliseconds; undefined where the line does not say. */
  readonly timeMs: number | undefined;
  /** All pairs, `event`, `node` and `time` among them. */
  readonly fields: ReadonlyMap<string, string>;
}

const PAIR = /(?:^|\s)(\w+)=("(?:[^"\\]|\\.)*"|\S*)/g;

/** The line's event; undefined where it holds none. */
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
  // The pattern takes a closed quotation with its escapes, as the logger wrote it with JSON.
  return JSON.parse(value) as string;
}
