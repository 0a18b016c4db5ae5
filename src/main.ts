#!/usr/bin/env node
/** Entry point of the `peatspan` command line. */
import { createRequire } from 'node:module';
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';
import { addDaemonCommands } from './cli/daemon-commands.js';
import { ExitCode } from './cli/options.js';
import { SettingsError } from './settings/settings-error.js';

const packageFile = createRequire(import.meta.url)('../../package.json') as { version: string };

function fail(message: string, code: ExitCode): never {
  process.stderr.write(`peatspan: ${message}\n`);
  process.exit(code);
}

const base = yargs(hideBin(process.argv))
  .scriptName('peatspan')
  .usage('$0 <command>')
  .version(packageFile.version)
  .completion('completion', 'print a shell completion script')
  .strict()
  .demandCommand(1, 'specify a command')
  .fail((message, error) => {
    if (error instanceof SettingsError) fail(error.message, ExitCode.Usage);
    if (error) fail(error.message, ExitCode.Failure);
    fail(`${message} (see --help)`, ExitCode.Usage);
  });

// Command groups are loaded on demand, so that daemons do not load the lab modules.
const [group] = hideBin(process.argv);
const isHelp = group === undefined || group.startsWith('-') || group === 'completion';
const commands = addDaemonCommands(base);
if (isHelp || group === 'template' || group === 'set') {
  (await import('./cli/template-commands.js')).addTemplateCommands(commands);
}
if (isHelp || group === 'logs') {
  (await import('./cli/logs-commands.js')).addLogsCommands(commands);
}
if (isHelp || group === 'lab') (await import('./cli/lab-commands.js')).addLabCommands(commands);
await commands.parseAsync();
