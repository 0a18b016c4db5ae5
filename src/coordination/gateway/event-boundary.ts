/**
 * Splits a stream of server-sent events at event boundaries and tracks the last event identifier.
 */
import { ChunkList } from './chunk-list.js';
import { EventScanner } from './event-scanner.js';

const IDENTIFIER_FIELD = Buffer.from('id:');
/** At most as many digits as a 64-bit number has. */
const NUMBER = /^\d{1,20}$/;
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
  /** Identifier after which the stream goes on, until the first event that does; undefined otherwise. */
  private continuesAfter: string | undefined;
  private hasRepeated = false;
  private hasLostEvent = false;

  /** @param resumeAfter last event that the caller has from an earlier response; undefined if none */
  constructor(private readonly resumeAfter?: string) {
    this.continuesAfter = resumeAfter;
  }

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

  /** Whether a continuation began with an event that was returned before; nothing of it is returned. */
  get repeatsEvents(): boolean {
    return this.hasRepeated;
  }

  /** Whether an engine has broken off an event, and none with an identifier was returned since. */
  get lacksEvent(): boolean {
    return this.hasLostEvent;
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
    if (this.isRepeated(complete)) {
      this.hasRepeated = true;
      return undefined;
    }
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
    // Without an event before it, the stream begins anew.
    const goesOn = this.hasReturned || this.resumeAfter !== undefined;
    this.hasLostEvent ||= goesOn && this.scanner.hasEventFields;
    this.pending.clear();
    this.scanner = new EventScanner();
    this.continuesAfter = this.lastIdentifier ?? this.resumeAfter;
    this.hasRepeated = false;
  }

  /** Whether the first event of a continuation does not follow the last one that was returned. */
  private isRepeated(events: Uint8Array): boolean {
    const { continuesAfter } = this;
    if (continuesAfter === undefined) return false;
    const start = firstIdentifierStart(events);
    // Comments may come first.
    if (start === undefined) return false;
    this.continuesAfter = undefined;
    return !follows(identifierAt(events, start), continuesAfter);
  }

  private hold(bytes: Uint8Array): void {
    if (bytes.length > 0) this.pending.append(bytes);
  }

  private recordIdentifier(events: Uint8Array): void {
    const start = lastIdentifierStart(events);
    if (start === undefined) return;
    this.lastIdentifier = identifierAt(events, start);
    this.hasLostEvent = false;
  }
}

/** Whether an event may follow another: numbers rise, and other identifiers differ. */
function follows(identifier: string, previous: string): boolean {
  const areNumbers = NUMBER.test(identifier) && NUMBER.test(previous);
  return areNumbers ? BigInt(identifier) > BigInt(previous) : identifier !== previous;
}

/** The value that begins at an index. */
function identifierAt(events: Uint8Array, start: number): string {
  let end = start;
  while (end < events.length && !isLineEnd(events[end])) end += 1;
  const value = Buffer.from(events.buffer, events.byteOffset + start, end - start);
  return value.toString('latin1').trim();
}

/** Index after the name of the first identifier field. */
function firstIdentifierStart(events: Uint8Array): number | undefined {
  const last = events.length - IDENTIFIER_FIELD.length;
  for (let index = 0; index <= last; index += 1)
    if (isIdentifierField(events, index)) return index + IDENTIFIER_FIELD.length;
  return undefined;
}

/**
 * Index after the name of the last identifier field. The bytes are searched rather than split into
 * lines, which would take some milliseconds for a chunk of blank lines.
 */
function lastIdentifierStart(events: Uint8Array): number | undefined {
  for (let index = events.length - IDENTIFIER_FIELD.length; index >= 0; index -= 1)
    if (isIdentifierField(events, index)) return index + IDENTIFIER_FIELD.length;
  return undefined;
}

function isIdentifierField(events: Uint8Array, index: number): boolean {
  const [first, second, third] = IDENTIFIER_FIELD;
  if (events[index] !== first || events[index + 1] !== second || events[index + 2] !== third)
    return false;
  return index === 0 || isLineEnd(events[index - 1]);
}

function isLineEnd(byte: number | undefined): boolean {
  return byte === LINE_FEED || byte === CARRIAGE_RETURN;
}
