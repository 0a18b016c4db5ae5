/** A caller's side of one request: keeps what arrived and how it ended. */
import type { OwnAnswer, Reply } from '../../coordination/gateway/reply.js';

/** How an answer ended for the caller. */
export type ReplyEnd = 'whole' | 'refused' | 'aborted' | 'left';

/** Records one answer. */
export class RecordedReply implements Reply {
  status: number | undefined;
  own: OwnAnswer | undefined;
  ending: ReplyEnd | undefined;
  body = '';
  private closeListener: () => void = () => undefined;

  begin(status: number): void {
    this.status = status;
  }

  write(chunk: Uint8Array): boolean {
    this.body += Buffer.from(chunk).toString('utf8');
    return true;
  }

  end(): void {
    this.ending = 'whole';
  }

  refuse(answer: OwnAnswer): void {
    this.status = answer.status;
    this.own = answer;
    this.ending = 'refused';
  }

  abort(): void {
    this.ending = 'aborted';
  }

  onClose(listener: () => void): void {
    this.closeListener = listener;
  }

  onDrain(): void {
    // The recorder takes all at once.
  }

  /** The caller leaves. */
  leave(): void {
    if (this.ending) return;
    this.ending = 'left';
    this.closeListener();
  }

  /** The router's process has ended. */
  breakOff(): void {
    this.ending ??= 'aborted';
  }
}
