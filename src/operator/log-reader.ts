/** Reads log lines from plain or gzip files, or from standard input. */
import { createReadStream } from 'node:fs';
import { createInterface } from 'node:readline';
import type { Readable } from 'node:stream';
import { createGunzip } from 'node:zlib';
import { type LogLine, parseLogLine } from './log-line.js';

const GZIP_SUFFIX = '.gz';
const STANDARD_INPUT = '-';

/**
 * Yields the events of each file in order. Reads standard input for `-` or if no file is given;
 * throws if a file can't be read.
 */
export async function* readLogs(files: readonly string[]): AsyncGenerator<LogLine> {
  const names = files.length > 0 ? files : [STANDARD_INPUT];
  for (const name of names) {
    for await (const text of createInterface({ input: await open(name) })) {
      const line = parseLogLine(text);
      if (line) yield line;
    }
  }
}

async function open(name: string): Promise<Readable> {
  if (name === STANDARD_INPUT) return process.stdin;
  const file = createReadStream(name);
  // Reports a missing file before reading starts.
  await new Promise((resolve, reject) => {
    file.once('open', resolve);
    file.once('error', reject);
  });
  return name.endsWith(GZIP_SUFFIX) ? file.pipe(createGunzip()) : file;
}
