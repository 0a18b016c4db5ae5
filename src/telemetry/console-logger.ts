/** Logs through consola: one line of key=value pairs per event. */
import { type ConsolaInstance, LogLevels, createConsola } from 'consola';
import type { LogFields, Logger } from '../runtime/logger.js';

/** Log levels in the settings. */
export type LogLevel = 'debug' | 'info' | 'warn' | 'error' | 'silent';

const LEVELS: Record<LogLevel, number> = {
  debug: LogLevels.debug,
  info: LogLevels.info,
  warn: LogLevels.warn,
  error: LogLevels.error,
  silent: LogLevels.silent,
};

const NEEDS_QUOTES = /[\s"=]/;

/** The logger of a daemon. */
export class ConsoleLogger implements Logger {
  private readonly consola: ConsolaInstance;

  /** @param writeLine receives each line; the default writes to standard error */
  constructor(
    level: LogLevel,
    private readonly nodeId: string,
    writeLine: (line: string) => void = (line) => void process.stderr.write(`${line}\n`),
  ) {
    this.consola = createConsola({
      level: LEVELS[level],
      reporters: [
        {
          log: ({ date, type, args }) => {
            writeLine(`time=${date.toISOString()} level=${type} ${args.join(' ')}`);
          },
        },
      ],
    });
  }

  debug(event: string, fields?: LogFields): void {
    this.consola.debug(this.format(event, fields));
  }

  info(event: string, fields?: LogFields): void {
    this.consola.info(this.format(event, fields));
  }

  warn(event: string, fields?: LogFields): void {
    this.consola.warn(this.format(event, fields));
  }

  error(event: string, fields?: LogFields): void {
    this.consola.error(this.format(event, fields));
  }

  private format(event: string, fields: LogFields = {}): string {
    const pairs = [`event=${event}`, `node=${this.nodeId}`];
    for (const [key, value] of Object.entries(fields)) {
      if (value !== undefined) pairs.push(`${key}=${formatValue(value)}`);
    }
    return pairs.join(' ');
  }
}

/** Quotes a value that is empty or contains white space, quotes or `=`. */
export function formatValue(value: string | number | boolean): string {
  const text = String(value);
  return text === '' || NEEDS_QUOTES.test(text) ? JSON.stringify(text) : text;
}
