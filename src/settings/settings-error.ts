/** The error for an invalid settings file or flag. The program exits with code 2. */

/** The message states the file, the path in it and the expectation, in one line. */
export class SettingsError extends Error {
  constructor(
    readonly source: string,
    readonly path: string,
    readonly expectation: string,
  ) {
    super(`${source}: ${path === '' ? '' : `${path}: `}${expectation}`);
    this.name = 'SettingsError';
  }
}
