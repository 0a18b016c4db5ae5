/** Passes an engine's tokens on in order and within the receiver's credit. */

/** Where tokens go. */
export interface TokenSink {
  chunk(sequence: number, texts: string[]): void;
}

/** Tokens held here at most before the engine's stream is paused. */
const HELD_TOKENS_MARK = 64;

/** The delivered part of one stream. */
export class TokenRelay {
  private held: string[] = [];
  private sentCount: number;
  private receivedCount: number;
  /** Text received in this router, without what was delivered before. */
  private readonly received: string[] = [];

  constructor(
    private readonly sink: TokenSink,
    deliveredChunks: number,
    private credit: number,
  ) {
    this.sentCount = deliveredChunks;
    this.receivedCount = deliveredChunks;
  }

  /** Sequence number of the next token expected from an engine. */
  get nextSequence(): number {
    return this.receivedCount;
  }

  /** Texts received from engines by this router. */
  get receivedText(): string {
    return this.received.join('');
  }

  /** True where no more should be read from the engine for now. */
  get isFull(): boolean {
    return this.held.length >= HELD_TOKENS_MARK;
  }

  get isDrained(): boolean {
    return this.held.length === 0;
  }

  /**
   * Takes tokens that start at `sequence`. Repeated ones are skipped. False: some are missing
   * between what came before and these, and nothing was taken.
   */
  take(sequence: number, texts: readonly string[]): boolean {
    if (sequence > this.receivedCount) return false;
    const fresh = texts.slice(this.receivedCount - sequence);
    this.receivedCount += fresh.length;
    this.received.push(...fresh);
    this.held.push(...fresh);
    this.flush();
    return true;
  }

  grant(chunks: number): void {
    this.credit += chunks;
    this.flush();
  }

  private flush(): void {
    const count = Math.min(this.credit, this.held.length);
    if (count === 0) return;
    const texts = this.held.slice(0, count);
    this.held = this.held.slice(count);
    this.credit -= count;
    this.sink.chunk(this.sentCount, texts);
    this.sentCount += count;
  }
}
