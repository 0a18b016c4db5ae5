/**
 * The response to one request on its way to the caller. Streams are passed on as they arrive,
 * resumable ones in whole events, so that another engine can continue after any of them. Other
 * responses are buffered, so that an interrupted request can be retried.
 */
import { BodyFraming, type ResponseHead } from '../../protocol/inference/port.js';
import { isSuccess } from '../../protocol/http-status.js';
import { ResponseBuffer } from './response-buffer.js';
import { EventBoundary } from './event-boundary.js';
import { EventScanner } from './event-scanner.js';
import type { HeldResponse } from './held-response.js';
import type { Reply, ReplyFraming } from './reply.js';

/** How a response is passed on. */
export interface ResponseMode {
  /** Whether it is a stream of events, which is passed on as it arrives. */
  readonly isStream: boolean;
  /** Whether parts from several engines may be joined into one response. */
  readonly isResumable: boolean;
}

/** Passes the response of one request on to its caller. */
export class CallResponse {
  private readonly boundary: EventBoundary;
  private readonly scanner = new EventScanner();
  private buffer: ResponseBuffer | undefined;
  /** Head of a stream that has sent nothing yet, and that the caller does not have yet either. */
  private pendingHead: ResponseHead | undefined;
  private mode: ResponseMode = { isStream: false, isResumable: false };
  private framing: ReplyFraming | undefined;
  private sentStatus: number | undefined;
  private firstReceivedMs: number | undefined;

  /**
   * @param held counts the bytes held for the caller; undefined without a memory budget
   * @param resumeAfter last event that the caller has from an earlier response; undefined if none
   */
  constructor(
    private readonly reply: Reply,
    readonly held?: HeldResponse,
    resumeAfter?: string,
  ) {
    this.boundary = new EventBoundary(resumeAfter);
  }

  /** Whether the response head was sent to the caller. */
  get hasBegun(): boolean {
    return this.framing !== undefined;
  }

  /** What shows the caller where its response ends; undefined before the head is sent. */
  get sentFraming(): BodyFraming | undefined {
    return this.framing?.kind;
  }

  /** Status sent to the caller; undefined before the head is sent. */
  get status(): number | undefined {
    return this.sentStatus;
  }

  /** Monotonic time of the first bytes received from an engine; undefined before. */
  get firstChunkMs(): number | undefined {
    return this.firstReceivedMs;
  }

  /**
   * Last event sent to the caller, after which another engine would continue; undefined before the
   * first.
   */
  get lastEventId(): string | undefined {
    return this.boundary.lastEventId;
  }

  /** Whether the bytes received from the last engine end within an event of a stream. */
  get isWithinEvent(): boolean {
    return this.mode.isResumable ? this.boundary.isWithinEvent : this.scanner.isWithinEvent;
  }

  /** Whether the last engine has sent an event that is too large to be one. */
  get isEventTooLarge(): boolean {
    return this.mode.isResumable ? this.boundary.isEventTooLarge : this.scanner.isEventTooLarge;
  }

  /** Whether the last engine has begun with events that were passed on before. */
  get repeatsEvents(): boolean {
    return this.boundary.repeatsEvents;
  }

  /** Whether the stream can't end here: an engine has begun an event that none has completed. */
  get lacksEvent(): boolean {
    return this.boundary.lacksEvent;
  }

  /** Whether the response is a stream of events. */
  get isStream(): boolean {
    return this.mode.isStream;
  }

  /** Whether the route allows that another engine continues the response. */
  get isResumable(): boolean {
    return this.mode.isResumable;
  }

  /** Whether another engine can continue after what the caller has received. */
  get isContinuable(): boolean {
    return this.mode.isResumable && this.boundary.isContinuable;
  }

  /** Whether an end would state to the caller that its response, which has begun, is complete. */
  get statesEnd(): boolean {
    return this.framing !== undefined && this.framing.kind !== BodyFraming.Connection;
  }

  /** Whether any byte of the response was received from an engine. */
  get hasContent(): boolean {
    return this.firstReceivedMs !== undefined;
  }

  /** Whether a success that is no stream has brought nothing but its head so far. */
  get lacksBody(): boolean {
    const { buffer } = this;
    return buffer !== undefined && buffer.sizeBytes === 0 && isSuccess(buffer.head.status);
  }

  /** Whether a whole event of a stream that may go on elsewhere was passed on. */
  get hasPassedEvent(): boolean {
    return this.boundary.hasReturnedEvent;
  }

  /**
   * Handles the head of a new response; not called for the head of one that continues it. The head of
   * a stream is passed on with its first bytes, so that until then the request can still get another
   * response.
   */
  handleHead(head: ResponseHead, mode: ResponseMode): void {
    this.mode = mode;
    if (mode.isStream) this.pendingHead = head;
    else this.buffer = new ResponseBuffer(head);
  }

  /**
   * Returns false if the engine's stream must be paused: the caller reads more slowly than the engine
   * writes, and no more of its response may be held.
   */
  handleChunk(chunk: Uint8Array, nowMs: number): boolean {
    const isWritable = this.passOn(chunk, nowMs);
    return this.held ? this.held.update(this.pendingBytes) : isWritable;
  }

  private passOn(chunk: Uint8Array, nowMs: number): boolean {
    this.firstReceivedMs ??= nowMs;
    if (this.buffer) return this.bufferChunk(this.buffer, chunk);
    if (!this.mode.isResumable) return this.writeThrough(chunk);
    const wholeEvents = this.boundary.take(chunk);
    if (!wholeEvents) return true;
    this.beginStream();
    return this.reply.write(wholeEvents);
  }

  private writeThrough(chunk: Uint8Array): boolean {
    if (this.mode.isStream) this.scanner.scan(chunk);
    this.beginStream();
    return this.reply.write(chunk);
  }

  private beginStream(): void {
    if (this.pendingHead) this.begin(this.pendingHead);
  }

  /**
   * Completes the response to the caller after the engine has completed its own. One that was gathered
   * and that only the end of its connection ended reaches its caller in the same way: nothing shows that
   * it is whole, so nothing is stated.
   */
  handleEnd(): void {
    if (this.buffer) {
      const { head, chunks } = this.buffer;
      const isUnframed = head.framing === BodyFraming.Connection;
      this.begin(head, isUnframed ? { kind: BodyFraming.Connection } : undefined);
      for (const chunk of chunks) this.reply.write(chunk);
    }
    this.beginStream();
    const rest = this.boundary.takeRest();
    if (rest.length > 0) this.reply.write(rest);
    this.reply.end();
    this.held?.complete();
  }

  /** Discards what was not yet passed on, after the engine's response was interrupted. */
  discardPending(): void {
    this.buffer = undefined;
    this.pendingHead = undefined;
    this.boundary.dropRest();
    this.held?.update(0);
  }

  /** Bytes received from engines that were not passed on yet. */
  private get pendingBytes(): number {
    return this.buffer?.sizeBytes ?? this.boundary.pendingBytes;
  }

  /** Buffers a chunk; a response that exceeds the buffer limit is streamed from then on. */
  private bufferChunk(buffer: ResponseBuffer, chunk: Uint8Array): boolean {
    if (buffer.append(chunk)) return true;
    this.buffer = undefined;
    this.begin(buffer.head);
    return buffer.chunks.reduce((_, each) => this.reply.write(each), true);
  }

  private begin(head: ResponseHead, framing = framingOf(head, this.mode)): void {
    this.pendingHead = undefined;
    this.reply.begin(head.status, head.headers, framing);
    this.framing = framing;
    this.sentStatus = head.status;
  }
}

/**
 * Framing of a response that is passed on as it arrives. The system closes the connections of a router
 * that dies in order, so the end of a connection must never be the end of a response: one without a
 * length is sent in chunks. One joined from several engines has no length of its own.
 */
function framingOf({ contentLength }: ResponseHead, mode: ResponseMode): ReplyFraming {
  if (mode.isResumable || contentLength === undefined) return { kind: BodyFraming.Chunks };
  return { kind: BodyFraming.Length, bytes: contentLength };
}
