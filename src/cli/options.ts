/** Options and exit codes shared by the commands. */
import type { Argv } from 'yargs';

/** Exit codes of all commands. */
export enum ExitCode {
  Success = 0,
  /** The command ran and failed. */
  Failure = 1,
  /** Invalid arguments or settings. */
  Usage = 2,
  /** A write was rejected because the stored version is newer than expected. */
  Conflict = 3,
  /** It could not be determined whether a write took effect. */
  Uncertain = 4,
}

/** Adds the options `--settings` and `--log-level`. */
export function withSettings<T>(yargs: Argv<T>) {
  return yargs
    .option('settings', { type: 'string', describe: 'settings file (YAML)' })
    .option('log-level', {
      type: 'string',
      choices: ['debug', 'info', 'warn', 'error', 'silent'],
      describe: 'minimum level of logged messages',
    });
}
