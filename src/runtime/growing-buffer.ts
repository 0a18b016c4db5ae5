/** Collects bytes that arrive in pieces in one piece of memory, however small they are. */

const INITIAL_BYTES = 1_024;

/**
 * A buffer that doubles as it fills. Pieces are copied: a list of them would take some hundred bytes
 * for each, which is more than its contents if a peer sends them byte by byte.
 */
export class GrowingBuffer {
  private bytes = Buffer.alloc(0);
  private usedBytes = 0;

  get length(): number {
    return this.usedBytes;
  }

  /** Bytes of memory. */
  get capacity(): number {
    return this.bytes.length;
  }

  append(chunk: Buffer): void {
    const needed = this.usedBytes + chunk.length;
    if (needed > this.bytes.length) this.grow(needed);
    chunk.copy(this.bytes, this.usedBytes);
    this.usedBytes = needed;
  }

  /** What has been appended, without a copy. */
  get contents(): Buffer {
    return this.bytes.subarray(0, this.usedBytes);
  }

  toString(): string {
    return this.bytes.toString('utf8', 0, this.usedBytes);
  }

  private grow(neededBytes: number): void {
    const capacity = Math.max(neededBytes, 2 * this.bytes.length, INITIAL_BYTES);
    const grown = Buffer.allocUnsafe(capacity);
    this.bytes.copy(grown, 0, 0, this.usedBytes);
    this.bytes = grown;
  }
}
