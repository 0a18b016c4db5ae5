/** Splits a byte stream into frames: a 4-byte big-endian length, then that many bytes. */
import { GrowingBuffer } from '../runtime/growing-buffer.js';
import { TransportFailure } from './errors.js';

/** Size of the length prefix of a frame. */
export const FRAME_HEADER_BYTES = 4;

/** Maximum size of a frame: a prompt of 4 MiB and its metadata. */
export const MAXIMUM_FRAME_BYTES = 8 * 1024 * 1024;

/** Buffers received bytes and emits complete frames. */
export class FrameSplitter {
  private pending = new GrowingBuffer();

  constructor(
    private readonly onFrame: (frame: Uint8Array) => void,
    private readonly maximumFrameBytes = MAXIMUM_FRAME_BYTES,
  ) {}

  /** Memory of a frame that is not complete, in bytes. */
  get heldBytes(): number {
    return this.pending.capacity;
  }

  /** Processes received bytes; throws a `frame-too-large` failure. */
  push(chunk: Buffer): void {
    if (this.pending.length === 0) {
      this.keep(this.emitFrames(chunk));
      return;
    }
    this.pending.append(chunk);
    if (this.pending.length < this.neededBytes()) return;
    const { contents } = this.pending;
    this.pending = new GrowingBuffer();
    this.keep(this.emitFrames(contents));
  }

  private keep(rest: Buffer): void {
    if (rest.length > 0) this.pending.append(rest);
  }

  /** Number of bytes that complete the first pending frame. */
  private neededBytes(): number {
    const { contents } = this.pending;
    if (contents.length < FRAME_HEADER_BYTES) return FRAME_HEADER_BYTES;
    return FRAME_HEADER_BYTES + contents.readUInt32BE(0);
  }

  /** Emits all complete frames and returns the remaining bytes. */
  private emitFrames(bytes: Buffer): Buffer {
    let offset = 0;
    while (bytes.length - offset >= FRAME_HEADER_BYTES) {
      const length = bytes.readUInt32BE(offset);
      const limit = this.maximumFrameBytes;
      if (length > limit) {
        throw new TransportFailure({ kind: 'frame-too-large', bytes: length, limit });
      }
      const start = offset + FRAME_HEADER_BYTES;
      if (bytes.length < start + length) break;
      this.onFrame(bytes.subarray(start, start + length));
      offset = start + length;
    }
    return bytes.subarray(offset);
  }
}
