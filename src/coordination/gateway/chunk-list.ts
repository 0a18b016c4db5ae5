/** Bytes that are held until more arrive, in few pieces of memory. */

/** Each piece takes some hundred bytes besides its content. */
const MAXIMUM_PIECES = 64;

/** Appends chunks without copying them while they are few. */
export class ChunkList {
  private pieces: Uint8Array[] = [];
  private size = 0;

  get sizeBytes(): number {
    return this.size;
  }

  get chunks(): readonly Uint8Array[] {
    return this.pieces;
  }

  append(chunk: Uint8Array): void {
    if (this.pieces.length === MAXIMUM_PIECES) this.pieces = [Buffer.concat(this.pieces)];
    this.pieces.push(chunk);
    this.size += chunk.length;
  }

  /** Removes all bytes and returns them. */
  takeAll(): Uint8Array {
    const [first] = this.pieces;
    const all = first && this.pieces.length === 1 ? first : Buffer.concat(this.pieces);
    this.clear();
    return all;
  }

  clear(): void {
    this.pieces = [];
    this.size = 0;
  }
}
