/** Measures the bytes that a router holds for one caller and counts them against the budget. */
import type { Clock } from '../../runtime/clock.js';
import type { ResponseShare } from '../../state/routing/byte-budget.js';
import type { Reply } from './reply.js';

/** Bytes held for one caller, from the first chunk until its connection has taken the last one. */
export class HeldResponse {
  /** Called when the engine's stream may be read on. */
  onRoom: () => void = () => undefined;
  /** Called if the response is dropped before the engine has completed it. */
  onDropped: () => void = () => undefined;
  private readonly share: ResponseShare;
  private pendingBytes = 0;
  private isPaused = false;
  private isComplete = false;

  /** @param open opens the share of the budget; its argument drops the response */
  constructor(
    private readonly reply: Reply,
    private readonly clock: Clock,
    open: (drop: () => void) => ResponseShare,
  ) {
    this.share = open(() => this.drop());
    reply.onTaken((isClosed) => {
      if (isClosed) this.share.release();
      else this.measure();
    });
  }

  /**
   * Counts what is held now: the given bytes that were not written yet, and those that the caller
   * has not taken. Returns whether the engine's stream may be read on.
   */
  update(pendingBytes: number): boolean {
    this.pendingBytes = pendingBytes;
    this.measure();
    this.isPaused = !this.share.mayGrow;
    return !this.isPaused;
  }

  /** Counts the rest of a response that the engine has completed. */
  complete(): void {
    this.isComplete = true;
    this.update(0);
  }

  private measure(): void {
    this.share.update(this.pendingBytes + this.reply.heldBytes, this.clock.now());
    if (!this.isPaused || !this.share.mayResume) return;
    this.isPaused = false;
    this.onRoom();
  }

  /** A complete response has left its request, so only the connection is reset. */
  private drop(): void {
    if (this.isComplete) this.reply.abort();
    else this.onDropped();
  }
}
