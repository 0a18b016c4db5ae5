/** Caller's side of a request: records the response and how it ended. */
import type { Reply, ReplyFraming, RouterResponse } from '../../coordination/gateway/reply.js';
import { BodyFraming, type HeaderLine } from '../../protocol/inference/port.js';
import type { Clock } from '../../runtime/clock.js';

/** How a response ended for the caller. */
export type ReplyEnd =
  | 'whole'
  /** The connection was closed in order, which states nothing about a response without a length. */
  | 'closed'
  | 'refused'
  | 'aborted'
  | 'left';

/** Records one response. */
export class RecordedReply implements Reply {
  status: number | undefined;
  /** Response that the router generated itself, such as a rejection. */
  own: RouterResponse | undefined;
  ending: ReplyEnd | undefined;
  /** When it ended, by the given clock; undefined before, or without a clock. */
  endedMs: number | undefined;
  body = '';
  private framing: ReplyFraming | undefined;
  /** Number of response heads; more than one is a fault, which Node.js reports with an exception. */
  headCount = 0;
  private takenListener: (isClosed: boolean) => void = () => undefined;
  private closeListener: () => void = () => undefined;

  constructor(private readonly clock?: Pick<Clock, 'now'>) {}

  /** The simulated connection takes every write at once. */
  get heldBytes(): number {
    return 0;
  }

  begin(status: number, _: readonly HeaderLine[], framing: ReplyFraming): void {
    this.headCount += 1;
    this.status = status;
    this.framing = framing;
  }

  write(chunk: Uint8Array): boolean {
    this.body += Buffer.from(chunk).toString('utf8');
    return true;
  }

  end(): void {
    this.finish(this.framing?.kind === BodyFraming.Connection ? 'closed' : 'whole');
  }

  refuse(response: RouterResponse): void {
    this.headCount += 1;
    this.status = response.status;
    this.own = response;
    this.finish('refused');
  }

  abort(): void {
    this.finish('aborted');
  }

  onTaken(listener: (isClosed: boolean) => void): void {
    this.takenListener = listener;
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
    this.finish('left');
    this.closeListener();
  }

  /**
   * Ends the response because the router's process has ended: the system closes its connections in
   * order, which shows only to callers whose responses have a length or chunks.
   */
  abortIfOpen(): void {
    if (this.ending) return;
    this.setEnding(this.framing?.kind === BodyFraming.Connection ? 'closed' : 'aborted');
  }

  /** Ends the response because its connection was reset between the router and the caller. */
  reset(): void {
    if (this.ending) return;
    this.setEnding('aborted');
    this.closeListener();
  }

  private finish(ending: ReplyEnd): void {
    this.setEnding(ending);
    this.takenListener(true);
  }

  private setEnding(ending: ReplyEnd): void {
    this.ending = ending;
    this.endedMs = this.clock?.now();
  }
}
