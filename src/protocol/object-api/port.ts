/** What the system expects of the platform's object API: versions, compare-and-swap, watches. */

/** A stored object. */
export interface StoredObject {
  /** Grows by at least one with each write. */
  readonly version: number;
  /** JSON text. */
  readonly content: string;
}

/** Calls to the object API. Promises reject with a `ProtocolFailure`. */
export interface ObjectApiPort {
  /** The object, or undefined where there is none. */
  read(name: string): Promise<StoredObject | undefined>;
  /**
   * Writes where the present version is `expectedVersion` (0: there is none yet); answers the new
   * version. A `conflict` was not written; an `interrupted` write may have been.
   */
  write(name: string, content: string, expectedVersion: number): Promise<number>;
  /** Waits for a version above `afterVersion`; undefined where none came in time. */
  watch(name: string, afterVersion: number, waitMs: number): Promise<StoredObject | undefined>;
}
