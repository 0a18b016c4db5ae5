/** Interface to the platform's object API: versions, compare-and-swap and watches. */

/** A stored object. */
export interface StoredObject {
  /** Increases by at least one with each write. */
  readonly version: number;
  /** JSON text. */
  readonly content: string;
}

/** Calls to the object API. Promises reject with a `ProtocolFailure`. */
export interface ObjectApiPort {
  /** Returns undefined if there is no such object. */
  read(name: string): Promise<StoredObject | undefined>;
  /**
   * Writes the object if its current version is `expectedVersion` (0: it does not exist yet) and
   * returns the new version. A `conflict` was not written; an `interrupted` write may have been.
   */
  write(name: string, content: string, expectedVersion: number): Promise<number>;
  /** Waits up to `waitMs` for a version above `afterVersion`; undefined if there is none. */
  watch(name: string, afterVersion: number, waitMs: number): Promise<StoredObject | undefined>;
}
