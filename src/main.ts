#!/usr/bin/env node
/** The `peatspan` command. */
import { createRequire } from 'node:module';
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';
import { addDaemonCommands } from './cli/daemon-commands.js';
import { addLabCommands } from './cli/lab-commands.js';
import { addTemplateCommands } from './cli/template-commands.js';
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
  .demandCommand(1, 'name a command')
  .fail((message, error) => {
    if (error instanceof SettingsError) fail(error.message, ExitCode.Usage);
    if (error) fail(error.message, ExitCode.Failure);
    fail(`${message} (see --help)`, ExitCode.Usage);
  });

await addLabCommands(addTemplateCommands(addDaemonCommands(base))).parseAsync();
