/** `peatspan logs ...`: from a complaint to its cause, with nothing but the routers' logs. */
import type { Argv } from 'yargs';
import { readLogs } from '../operator/log-reader.js';
import { LogSummary } from '../operator/log-summary.js';
import { RequestStory } from '../operator/request-story.js';

const FILES = {
  type: 'string',
  array: true,
  default: [] as string[],
  describe: 'log files, also .gz; standard input where none is given',
} as const;

/** Adds the commands that read logs. */
export function addLogsCommands(yargs: Argv): Argv {
  return yargs.command('logs', 'explain what logs of routers hold', (logs) =>
    logs
      .command(
        'explain <request> [files..]',
        "one request's story, with the beliefs that decided it and their age",
        (command) =>
          command
            .positional('request', { type: 'string', demandOption: true })
            .positional('files', FILES),
        (argv) => explain(argv.request, argv.files),
      )
      .command(
        'summary [files..]',
        'how requests ended, by cause, and how long rejections took',
        (command) =>
          command.positional('files', FILES).option('by-second', {
            type: 'boolean',
            default: false,
            describe: 'failures by second',
          }),
        (argv) => summarize(argv.files, argv.bySecond),
      )
      .demandCommand(1, 'name a logs command'),
  );
}

async function explain(request: string, files: readonly string[]): Promise<void> {
  const story = new RequestStory(request);
  for await (const line of readLogs(files)) story.add(line);
  const lines = story.format();
  if (lines.length === 0) throw new Error(`no line speaks of request ${request}`);
  print(lines);
}

async function summarize(files: readonly string[], isBySecond: boolean): Promise<void> {
  const summary = new LogSummary();
  for await (const line of readLogs(files)) summary.add(line);
  print(summary.format(isBySecond));
}

function print(lines: readonly string[]): void {
  process.stdout.write(`${lines.join('\n')}\n`);
}
