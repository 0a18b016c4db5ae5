/** Structured logging: an event name and typed fields. */

/** Fields of a log line, in order. Must not contain API keys or prompt text. */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;

/** Writes one line per event. */
export interface Logger {
  debug(event: string, fields?: LogFields): void;
  info(event: string, fields?: LogFields): void;
  warn(event: string, fields?: LogFields): void;
  error(event: string, fields?: LogFields): void;
}

/** Discards every event, for tests and simulated nodes. */
export class NoopLogger implements Logger {
  debug(): void {}
  info(): void {}
  warn(): void {}
  error(): void {}
}
