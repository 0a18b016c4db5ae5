/** The body of a request to an engine. */

/** A body in the pieces in which it was received: one piece would take a copy of it. */
export class RequestBody {
  static readonly empty = new RequestBody([]);

  /** In bytes. */
  readonly length: number;

  constructor(readonly pieces: readonly Uint8Array[]) {
    this.length = pieces.reduce((sum, piece) => sum + piece.length, 0);
  }

  /** A body in one piece. */
  static of(bytes: Uint8Array): RequestBody {
    return bytes.length === 0 ? RequestBody.empty : new RequestBody([bytes]);
  }
}
