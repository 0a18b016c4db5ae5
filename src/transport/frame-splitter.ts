/** Splits a byte stream into frames: a 4-byte big-endian length, then that many bytes. */
import { TransportFailure } from './errors.js';

/** Size of the length prefix of a frame. */
export const FRAME_HEADER_BYTES = 4;

/** Maximum size of a frame: a prompt of 4 MiB and its metadata. */
export const MAXIMUM_FRAME_BYTES = 8 * 1024 * 1024;

/** Buffers received bytes and emits complete frames. */
export class FrameSplitter {
  private pending: Buffer[] = [];
  private pendingBytes = 0;

  constructor(private readonly onFrame: (frame: Uint8Array) => void) {}

  /** Processes received bytes; throws a `frame-too-large` failure. */
  push(chunk: Buffer): void {
    if (this.pendingBytes === 0) {
      this.buffer(this.emitFrames(chunk));
      return;
    }
    this.buffer(chunk);
    if (this.pendingBytes < this.neededBytes()) return;
    const joined = Buffer.concat(this.pending, this.pendingBytes);
    this.pending = [];
    this.pendingBytes = 0;
    this.buffer(this.emitFrames(joined));
  }

  private buffer(rest: Buffer): void {
    if (rest.length === 0) return;
    this.pending.push(rest);
    this.pendingBytes += rest.length;
  }

  /** Number of bytes that complete the first pending frame. */
  private neededBytes(): number {
    const first = this.pending[0];
    if (!first || first.length < FRAME_HEADER_BYTES) return FRAME_HEADER_BYTES;
    return FRAME_HEADER_BYTES + first.readUInt32BE(0);
  }

  /** Emits all complete frames and returns the remaining bytes. */
  private emitFrames(bytes: Buffer): Buffer {
    let offset = 0;
    while (bytes.length - offset >= FRAME_HEADER_BYTES) {
      const length = bytes.readUInt32BE(offset);
      if (length > MAXIMUM_FRAME_BYTES) {
        throw new TransportFailure({
          kind: 'frame-too-large',
          bytes: length,
          limit: MAXIMUM_FRAME_BYTES,
        });
      }
      const start = offset + FRAME_HEADER_BYTES;
      if (bytes.length < start + length) break;
      this.onFrame(bytes.subarray(start, start + length));
      offset = start + length;
    }
    return bytes.subarray(offset);
  }
}
