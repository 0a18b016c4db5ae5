/**
 * Splits a stream of server-sent events at event boundaries and tracks the last event identifier.
 */
import { ChunkList } from './chunk-list.js';
import { EventScanner } from './event-scanner.js';

const IDENTIFIER_FIELD = Buffer.from('id:');
const LINE_FEED = 10;
const CARRIAGE_RETURN = 13;
/** A value that a header may hold, from its bytes; without one, a stream would begin anew. */
const FIELD_VALUE = /^[\t\x20-\x7e\x80-\xff]+$/;

/** Buffers incoming bytes and returns complete events only. */
export class EventBoundary {
  private scanner = new EventScanner();
  private readonly pending = new ChunkList();
  private lastIdentifier: string | undefined;
  private hasReturned = false;

  /** Identifier of the last complete event that was returned. */
  get lastEventId(): string | undefined {
    return this.lastIdentifier;
  }

  /** Whether any complete event was returned. */
  get hasReturnedEvent(): boolean {
    return this.hasReturned;
  }

  /**
   * Whether a stream can go on after the events that were returned: the last one must have an
   * identifier that a request can state. Bytes of an engine may be spoiled.
   */
  get isContinuable(): boolean {
    if (!this.hasReturned) return true;
    return this.lastIdentifier !== undefined && FIELD_VALUE.test(this.lastIdentifier);
  }

  /** Number of buffered bytes of an incomplete event. */
  get pendingBytes(): number {
    return this.pending.sizeBytes;
  }

  /** Whether the bytes received so far end within an event. */
  get isWithinEvent(): boolean {
    return this.scanner.isWithinEvent;
  }

  /** Whether the incomplete event exceeds the maximum size. */
  get isEventTooLarge(): boolean {
    return this.scanner.isEventTooLarge;
  }

  /** Adds a chunk and returns the events that are now complete; undefined if there are none. */
  take(chunk: Uint8Array): Uint8Array | undefined {
    const end = this.scanner.scan(chunk);
    if (end === undefined) {
      this.hold(chunk);
      return undefined;
    }
    this.hold(chunk.subarray(0, end));
    const complete = this.takeRest();
    this.hold(chunk.subarray(end));
    this.hasReturned = true;
    this.recordIdentifier(complete);
    return complete;
  }

  /** Returns the remaining bytes: comments after the last event of a stream that has ended. */
  takeRest(): Uint8Array {
    return this.pending.takeAll();
  }

  /** Discards the buffered bytes of an incomplete event after the stream was interrupted. */
  dropRest(): void {
    this.pending.clear();
    this.scanner = new EventScanner();
  }

  private hold(bytes: Uint8Array): void {
    if (bytes.length > 0) this.pending.append(bytes);
  }

  private recordIdentifier(events: Uint8Array): void {
    const start = lastIdentifierStart(events);
    if (start === undefined) return;
    let end = start;
    while (end < events.length && !isLineEnd(events[end])) end += 1;
    const value = Buffer.from(events.buffer, events.byteOffset + start, end - start);
    this.lastIdentifier = value.toString('latin1').trim();
  }
}

/**
 * Index after the name of the last identifier field. The bytes are searched rather than split into
 * lines, which would take some milliseconds for a chunk of blank lines.
 */
function lastIdentifierStart(events: Uint8Array): number | undefined {
  const [first, second, third] = IDENTIFIER_FIELD;
  for (let index = events.length - IDENTIFIER_FIELD.length; index >= 0; index -= 1) {
    const isField =
      events[index] === first && events[index + 1] === second && events[index + 2] === third;
    if (isField && (index === 0 || isLineEnd(events[index - 1])))
      return index + IDENTIFIER_FIELD.length;
  }
  return undefined;
}

function isLineEnd(byte: number | undefined): boolean {
  return byte === LINE_FEED || byte === CARRIAGE_RETURN;
}
