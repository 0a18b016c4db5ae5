/** The logging interface of all layers: an event name and typed fields. */

/** Fields of a log line, in order. Never a key or prompt text. */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;

/** Writes one line an event. */
export interface Logger {
  debug(event: string, fields?: LogFields): void;
  info(event: string, fields?: LogFields): void;
  warn(event: string, fields?: LogFields): void;
  error(event: string, fields?: LogFields): void;
}

/** Drops every event, for tests and hollow nodes. */
export class SilentLogger implements Logger {
  debug(): void {}
  info(): void {}
  warn(): void {}
  error(): void {}
}
