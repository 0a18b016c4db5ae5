/**
 * Splits a stream of server-sent events at event boundaries and tracks the last event identifier.
 */
import { ChunkList } from './chunk-list.js';
import { EventScanner } from './event-scanner.js';

const IDENTIFIER_FIELD = 'id:';

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
