/** Relays an engine's tokens in order and within the receiver's credit. */

/** Receives relayed tokens. */
export interface TokenSink {
  chunk(sequence: number, texts: string[]): void;
}

/** Number of buffered tokens at which the engine's stream is paused. */
const PAUSE_THRESHOLD_TOKENS = 64;

/** Buffer and position of one stream. */
export class TokenRelay {
  private buffered: string[] = [];
  private sentCount: number;
  private receivedCount: number;
  /** Texts received by this router, without those delivered through earlier routers. */
  private readonly received: string[] = [];

  constructor(
    private readonly sink: TokenSink,
    deliveredChunks: number,
    private credit: number,
  ) {
    this.sentCount = deliveredChunks;
    this.receivedCount = deliveredChunks;
  }

  /** Sequence number of the next expected token. */
  get nextSequence(): number {
    return this.receivedCount;
  }

  /** Texts received from engines by this router. */
  get receivedText(): string {
    return this.received.join('');
  }

  /** Whether reading from the engine should be paused. */
  get isFull(): boolean {
    return this.buffered.length >= PAUSE_THRESHOLD_TOKENS;
  }

  get isDrained(): boolean {
    return this.buffered.length === 0;
  }

  /**
   * Accepts tokens that start at `sequence` and skips duplicates. Returns false and accepts nothing
   * if tokens are missing before them.
   */
  accept(sequence: number, texts: readonly string[]): boolean {
    if (sequence > this.receivedCount) return false;
    const newTexts = texts.slice(this.receivedCount - sequence);
    this.receivedCount += newTexts.length;
    this.received.push(...newTexts);
    this.buffered.push(...newTexts);
    this.flush();
    return true;
  }

  grant(chunks: number): void {
    this.credit += chunks;
    this.flush();
  }

  private flush(): void {
    const count = Math.min(this.credit, this.buffered.length);
    if (count === 0) return;
    const texts = this.buffered.slice(0, count);
    this.buffered = this.buffered.slice(count);
    this.credit -= count;
    this.sink.chunk(this.sentCount, texts);
    this.sentCount += count;
  }
}
