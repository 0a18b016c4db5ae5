/**
 * Follows a stream of server-sent events byte by byte, without holding any, and shows whether the
 * stream stands between two events or within one. A stream that ends within an event was broken off.
 */

const LINE_FEED = 10;
const CARRIAGE_RETURN = 13;
const COLON = 58;

/** Larger events are malformed: one of several tokens takes some hundred bytes. */
export const MAXIMUM_EVENT_BYTES = 262_144;

/** Position within the current line. */
enum LinePosition {
  Start = 'start',
  /** A line that begins with a colon, which carries no data. */
  Comment = 'comment',
  Field = 'field',
}

/** The bytes that ended the previous line. */
enum LineEnding {
  None = 'none',
  LineFeed = 'lf',
  CarriageReturn = 'cr',
  Both = 'crlf',
}

/** Finds the boundaries of events in a stream that arrives in chunks. */
export class EventScanner {
  private position = LinePosition.Start;
  private ending = LineEnding.None;
  private hasFields = false;
  /** Whether the last line that ended was blank. */
  private isAfterBlankLine = false;
  /** A blank line of a stream with CRLF lines has its CR only. */
  private awaitsLineFeed = false;
  /** Bytes since the last blank line. */
  private eventBytes = 0;

  /** Whether the bytes so far end within an event, or comments, beyond the maximum size. */
  get isEventTooLarge(): boolean {
    return this.eventBytes > MAXIMUM_EVENT_BYTES;
  }

  /** Whether the bytes so far end within an event that has more than comments. */
  get hasEventFields(): boolean {
    return this.hasFields;
  }

  /** Whether the bytes so far end within an event, or within a comment. */
  get isWithinEvent(): boolean {
    return this.hasFields || this.position !== LinePosition.Start;
  }

  /** Returns the index in the chunk after its last blank line; undefined if it completes none. */
  scan(chunk: Uint8Array): number | undefined {
    const end = this.findEnd(chunk);
    if (end === undefined) this.eventBytes += chunk.length;
    else this.eventBytes = chunk.length - end;
    return end;
  }

  private findEnd(chunk: Uint8Array): number | undefined {
    if (endsWithBlankLine(chunk)) {
      this.completeEvent(LineEnding.LineFeed);
      return chunk.length;
    }
    const bytes = Buffer.from(chunk.buffer, chunk.byteOffset, chunk.length);
    const lineFeeds = new ByteSearch(bytes, LINE_FEED);
    const carriageReturns = new ByteSearch(bytes, CARRIAGE_RETURN);
    let end: number | undefined;
    for (let index = 0; index < bytes.length; index += 1) {
      // The content of a line doesn't matter beyond its first byte.
      if (this.position !== LinePosition.Start)
        index = Math.min(lineFeeds.next(index), carriageReturns.next(index));
      if (index < bytes.length) end = this.endAfter(bytes[index] as number, index) ?? end;
    }
    return end;
  }

  /** Handles one byte; returns the index after the blank line that it completes, if any. */
  private endAfter(byte: number, index: number): number | undefined {
    if (byte === LINE_FEED) return this.handleLineFeed(index);
    // The CR before was the whole end of its blank line.
    const end = this.awaitsLineFeed ? index : undefined;
    if (end !== undefined) this.completeEvent(LineEnding.CarriageReturn);
    if (byte === CARRIAGE_RETURN) return this.handleCarriageReturn(index) ?? end;
    if (this.position === LinePosition.Start) {
      this.position = byte === COLON ? LinePosition.Comment : LinePosition.Field;
      this.hasFields ||= this.position === LinePosition.Field;
    }
    return end;
  }

  private handleLineFeed(index: number): number | undefined {
    if (this.awaitsLineFeed) {
      this.completeEvent(LineEnding.Both);
      return index + 1;
    }
    if (this.ending === LineEnding.CarriageReturn && this.position === LinePosition.Start) {
      this.ending = LineEnding.Both;
      return this.isAfterBlankLine ? index + 1 : undefined;
    }
    return this.endLine(LineEnding.LineFeed) ? index + 1 : undefined;
  }

  private handleCarriageReturn(index: number): number | undefined {
    const usesLineFeeds = this.ending === LineEnding.LineFeed || this.ending === LineEnding.Both;
    if (usesLineFeeds && this.position === LinePosition.Start) {
      this.awaitsLineFeed = true;
      return undefined;
    }
    return this.endLine(LineEnding.CarriageReturn) ? index + 1 : undefined;
  }

  /** Ends the current line; returns whether it was blank. */
  private endLine(ending: LineEnding): boolean {
    if (this.position === LinePosition.Start) {
      this.completeEvent(ending);
      return true;
    }
    this.position = LinePosition.Start;
    this.ending = ending;
    this.isAfterBlankLine = false;
    return false;
  }

  private completeEvent(ending: LineEnding): void {
    this.position = LinePosition.Start;
    this.ending = ending;
    this.hasFields = false;
    this.isAfterBlankLine = true;
    this.awaitsLineFeed = false;
  }
}

/** Finds the next occurrence of a byte, and searches no part of the chunk twice. */
class ByteSearch {
  private found = -1;

  constructor(
    private readonly bytes: Buffer,
    private readonly byte: number,
  ) {}

  /** Index of the first occurrence at or after `from`; the length of the chunk if there is none. */
  next(from: number): number {
    if (this.found < from) {
      const index = this.bytes.indexOf(this.byte, from);
      this.found = index < 0 ? this.bytes.length : index;
    }
    return this.found;
  }
}

/** Whether the last line of the chunk is blank whatever came before it. */
function endsWithBlankLine(chunk: Uint8Array): boolean {
  const { length } = chunk;
  return length > 1 && chunk[length - 1] === LINE_FEED && chunk[length - 2] === LINE_FEED;
}
