/** `peatspan logs ...`: diagnoses requests from the logs of routers. */
import type { Argv } from 'yargs';
import { readLogs } from '../operator/log-reader.js';
import { LogSummary } from '../operator/log-summary.js';
import { RequestTimeline } from '../operator/request-timeline.js';

const FILES = {
  type: 'string',
  array: true,
  default: [] as string[],
  describe: 'log files, plain or .gz; standard input if none is given',
} as const;

/** Adds the `logs` commands. */
export function addLogsCommands(yargs: Argv): Argv {
  return yargs.command('logs', 'diagnose requests from the logs of routers', (logs) =>
    logs
      .command(
        'explain <request> [files..]',
        'show the log events of one request and the earlier state changes that affected it',
        (command) =>
          command
            .positional('request', { type: 'string', demandOption: true })
            .positional('files', FILES),
        (argv) => explain(argv.request, argv.files),
      )
      .command(
        'summary [files..]',
        'count requests by outcome and show how long rejections took',
        (command) =>
          command.positional('files', FILES).option('by-second', {
            type: 'boolean',
            default: false,
            describe: 'also count failures per second',
          }),
        (argv) => summarize(argv.files, argv.bySecond),
      )
      .demandCommand(1, 'specify a logs command'),
  );
}

async function explain(request: string, files: readonly string[]): Promise<void> {
  const timeline = new RequestTimeline(request);
  for await (const line of readLogs(files)) timeline.add(line);
  const lines = timeline.format();
  if (lines.length === 0) throw new Error(`no log line mentions request ${request}`);
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
