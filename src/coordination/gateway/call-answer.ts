/**
 * The answer of one request on its way to the caller. Streams are passed on as they come, resumable ones by
 * whole events, so that another engine can go on after any of them; other answers are gathered, so that a
 * request whose answer breaks off can be repeated.
 */
import type { AnswerHead } from '../../protocol/inference/port.js';
import { AnswerBuffer } from './answer-buffer.js';
import { EventBoundary } from './event-boundary.js';
import type { Reply } from './reply.js';

/** How an answer is passed on. */
export interface AnswerMode {
  readonly isStream: boolean;
  /** Whether parts of several engines may be joined to one answer. */
  readonly isResumable: boolean;
}

/** One answer. */
export class CallAnswer {
  private readonly boundary = new EventBoundary();
  private buffer: AnswerBuffer | undefined;
  private mode: AnswerMode = { isStream: false, isResumable: false };
  private isHeadWritten = false;
  private writtenStatus: number | undefined;
  private firstMs: number | undefined;

  constructor(private readonly reply: Reply) {}

  /** Whether the caller has been given the head. */
  get hasBegun(): boolean {
    return this.isHeadWritten;
  }

  /** Status that was passed on; undefined before the head was. */
  get status(): number | undefined {
    return this.writtenStatus;
  }

  /** When the first bytes came from an engine, on the steady clock; undefined before. */
  get firstChunkMs(): number | undefined {
    return this.firstMs;
  }

  /** Event after which another engine would go on; undefined before the first. */
  get lastEventId(): string | undefined {
    return this.boundary.lastEventId;
  }

  /** Takes the head of the answer that is to be passed on; not that of one that continues it. */
  takeHead(head: AnswerHead, mode: AnswerMode): void {
    this.mode = mode;
    if (mode.isStream) this.begin(head);
    else this.buffer = new AnswerBuffer(head);
  }

  /** False where the caller reads slower than the engine writes. */
  takeChunk(chunk: Uint8Array, nowMs: number): boolean {
    this.firstMs ??= nowMs;
    if (this.buffer) return this.gather(this.buffer, chunk);
    if (!this.mode.isResumable) return this.reply.write(chunk);
    const whole = this.boundary.take(chunk);
    return whole ? this.reply.write(whole) : true;
  }

  /** The engine's answer is whole, and so is the caller's. */
  takeEnd(): void {
    if (this.buffer) {
      const { head, chunks } = this.buffer;
      this.begin(head);
      for (const chunk of chunks) this.reply.write(chunk);
    }
    const rest = this.boundary.takeRest();
    if (rest.length > 0) this.reply.write(rest);
    this.reply.end();
  }

  /** The engine's answer broke off: what was not passed on is dropped. */
  drop(): void {
    this.buffer = undefined;
    this.boundary.dropRest();
  }

  /** An answer too long to be gathered is passed through from here on. */
  private gather(buffer: AnswerBuffer, chunk: Uint8Array): boolean {
    if (buffer.take(chunk)) return true;
    this.buffer = undefined;
    this.begin(buffer.head);
    return buffer.chunks.reduce((_, each) => this.reply.write(each), true);
  }

  private begin(head: AnswerHead): void {
    this.isHeadWritten = true;
    this.writtenStatus = head.status;
    const length = this.mode.isResumable ? undefined : head.contentLength;
    this.reply.begin(head.status, head.headers, length);
  }
}
