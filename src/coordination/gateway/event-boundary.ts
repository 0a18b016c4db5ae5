/** Cuts a stream of server-sent events at event boundaries and remembers the last identifier. */

const LINE_FEED = 10;
const CARRIAGE_RETURN = 13;
const IDENTIFIER_FIELD = 'id:';

/** Takes bytes as they arrive and gives back whole events only. */
export class EventBoundary {
  private pending: Uint8Array = new Uint8Array();
  private lastIdentifier: string | undefined;

  /** Identifier of the last whole event that was given back. */
  get lastEventId(): string | undefined {
    return this.lastIdentifier;
  }

  /** Bytes of an event that has not ended. */
  get pendingBytes(): number {
    return this.pending.length;
  }

  /** The whole events in what has arrived so far; undefined where none has ended. */
  take(chunk: Uint8Array): Uint8Array | undefined {
    const bytes = this.pending.length === 0 ? chunk : concatenate(this.pending, chunk);
    const end = endOfLastEvent(bytes);
    this.pending = bytes.subarray(end);
    if (end === 0) return undefined;
    const whole = bytes.subarray(0, end);
    this.noteIdentifier(whole);
    return whole;
  }

  /** What is left at the end of a stream that ended well. */
  takeRest(): Uint8Array {
    const rest = this.pending;
    this.pending = new Uint8Array();
    return rest;
  }

  /** Drops the part of an event that broke off. */
  dropRest(): void {
    this.pending = new Uint8Array();
  }

  private noteIdentifier(whole: Uint8Array): void {
    const lines = Buffer.from(whole.buffer, whole.byteOffset, whole.length)
      .toString('latin1')
      .split(/\r\n|\n|\r/);
    for (const line of lines) {
      if (line.startsWith(IDENTIFIER_FIELD)) {
        this.lastIdentifier = line.slice(IDENTIFIER_FIELD.length).trim();
      }
    }
  }
}

/** Index behind the last blank line; 0 where there is none. */
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
