/**
 * Splits a stream of server-sent events at event boundaries and tracks the last event identifier.
 */

const LINE_FEED = 10;
const CARRIAGE_RETURN = 13;
const IDENTIFIER_FIELD = 'id:';

/** Buffers incoming bytes and returns complete events only. */
export class EventBoundary {
  private pending: Uint8Array = new Uint8Array();
  private lastIdentifier: string | undefined;

  /** Identifier of the last complete event that was returned. */
  get lastEventId(): string | undefined {
    return this.lastIdentifier;
  }

  /** Number of buffered bytes of an incomplete event. */
  get pendingBytes(): number {
    return this.pending.length;
  }

  /** Adds a chunk and returns the events that are now complete; undefined if there are none. */
  take(chunk: Uint8Array): Uint8Array | undefined {
    const bytes = this.pending.length === 0 ? chunk : concatenate(this.pending, chunk);
    const end = endOfLastEvent(bytes);
    this.pending = bytes.subarray(end);
    if (end === 0) return undefined;
    const complete = bytes.subarray(0, end);
    this.recordIdentifier(complete);
    return complete;
  }

  /** Returns the remaining bytes after the stream has ended normally. */
  takeRest(): Uint8Array {
    const rest = this.pending;
    this.pending = new Uint8Array();
    return rest;
  }

  /** Discards the buffered bytes of an incomplete event after the stream was interrupted. */
  dropRest(): void {
    this.pending = new Uint8Array();
  }

  private recordIdentifier(events: Uint8Array): void {
    const lines = Buffer.from(events.buffer, events.byteOffset, events.length)
      .toString('latin1')
      .split(/\r\n|\n|\r/);
    for (const line of lines) {
      if (line.startsWith(IDENTIFIER_FIELD)) {
        this.lastIdentifier = line.slice(IDENTIFIER_FIELD.length).trim();
      }
    }
  }
}

/** Index after the last blank line; 0 if there is none. */
function endOfLastEvent(bytes: Uint8Array): number {
  for (let index = bytes.length - 1; index > 0; index -= 1) {
    if (bytes[index] !== LINE_FEED) continue;
    const before = bytes[index - 1] === CARRIAGE_RETURN ? index - 2 : index - 1;
    if (before >= 0 && bytes[before] === LINE_FEED) return index + 1;
  }
  return 0;
}

function concatenate(left: Uint8Array, right: Uint8Array): Uint8Array {
  const joined = new Uint8Array(left.length + right.length);
  joined.set(left);
  joined.set(right, left.length);
  return joined;
}
