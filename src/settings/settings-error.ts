/** A settings file or flag that can't be used. Ends the start with exit code 2. */

/** Names the file, the path in it and what was expected, in one line. */
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
