/** Caller's side of a request: records the response and how it ended. */
import type { RouterResponse, Reply } from '../../coordination/gateway/reply.js';

/** How a response ended for the caller. */
export type ReplyEnd = 'whole' | 'refused' | 'aborted' | 'left';

/** Records one response. */
export class RecordedReply implements Reply {
  status: number | undefined;
  own: RouterResponse | undefined;
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

  refuse(answer: RouterResponse): void {
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
    // Writes are never blocked, so there is nothing to drain.
  }

  /** Closes the connection from the caller's side. */
  disconnect(): void {
    if (this.ending) return;
    this.ending = 'left';
    this.closeListener();
  }

  /** Ends the response because the router's process has ended. */
  abortIfOpen(): void {
    this.ending ??= 'aborted';
  }
}
