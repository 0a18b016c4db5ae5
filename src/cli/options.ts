/** Options and exit codes that the commands share. */
import type { Argv } from 'yargs';

/** Exit codes of all commands. */
export enum ExitCode {
  Success = 0,
  /** The command ran and failed. */
  Failure = 1,
  /** Arguments or settings can't be used. */
  Usage = 2,
  /** An operator's write met a newer version. */
  Conflict = 3,
  /** A write may have taken effect; nothing could tell. */
  Uncertain = 4,
}

/** Adds `--settings` and `--log-level`. */
export function withSettings<T>(yargs: Argv<T>) {
  return yargs
    .option('settings', { type: 'string', describe: 'settings file (YAML)' })
    .option('log-level', {
      type: 'string',
      choices: ['debug', 'info', 'warn', 'error', 'silent'],
      describe: 'lowest level that is logged',
    });
}
