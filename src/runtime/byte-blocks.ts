/**
 * Collects bytes that arrive in pieces of any size, in memory that can be counted. Small pieces are
 * copied into blocks: a list of them would take some hundred bytes for each. Large ones are kept as
 * they arrived.
 */

const SMALLEST_BLOCK_BYTES = 1_024;
const LARGEST_BLOCK_BYTES = 65_536;
const LARGE_PIECE_BYTES = 4_096;
/** A piece keeps all memory that it is a part of, and is copied if that is more than this multiple. */
const MAXIMUM_KEPT_RATIO = 2;

/** Bytes in blocks. */
export class ByteBlocks {
  private readonly full: Buffer[] = [];
  private open = Buffer.alloc(0);
  private usedBytes = 0;
  private memoryBytes = 0;

  /** Bytes of memory that are taken on to append the piece. */
  growthFor(piece: Buffer): number {
    if (isKept(piece)) return piece.length;
    const excess = piece.length - this.freeBytes;
    return excess <= 0 ? 0 : this.blockBytesFor(excess);
  }

  append(piece: Buffer): void {
    if (isKept(piece)) {
      this.closeBlock();
      this.full.push(piece);
      this.memoryBytes += piece.length;
      return;
    }
    const copied = piece.copy(this.open, this.usedBytes);
    this.usedBytes += copied;
    if (copied === piece.length) return;
    const blockBytes = this.blockBytesFor(piece.length - copied);
    this.closeBlock();
    this.open = Buffer.allocUnsafeSlow(blockBytes);
    this.memoryBytes += blockBytes;
    this.usedBytes = piece.copy(this.open, 0, copied);
  }

  /** All bytes, in blocks. Nothing may be appended after it. */
  take(): readonly Buffer[] {
    this.closeBlock();
    return this.full;
  }

  private get freeBytes(): number {
    return this.open.length - this.usedBytes;
  }

  /** Blocks grow with the contents, so that short ones take little memory and long ones few blocks. */
  private blockBytesFor(neededBytes: number): number {
    const proportional = Math.max(SMALLEST_BLOCK_BYTES, this.memoryBytes);
    return Math.max(neededBytes, Math.min(proportional, LARGEST_BLOCK_BYTES));
  }

  private closeBlock(): void {
    if (this.usedBytes > 0) this.full.push(this.open.subarray(0, this.usedBytes));
    this.open = Buffer.alloc(0);
    this.usedBytes = 0;
  }
}

function isKept(piece: Buffer): boolean {
  const { length } = piece;
  return length >= LARGE_PIECE_BYTES && piece.buffer.byteLength <= MAXIMUM_KEPT_RATIO * length;
}
