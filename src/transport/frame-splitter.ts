/** Splits a byte stream into frames: a 4-byte big-endian length, then that many bytes. */
import { TransportFailure } from './errors.js';

/** Bytes of the length before each frame. */
export const FRAME_HEADER_BYTES = 4;

/** Largest frame accepted: a prompt of 4 MiB and what belongs to it. */
export const MAXIMUM_FRAME_BYTES = 8 * 1024 * 1024;

/** Collects received bytes and hands out whole frames. */
export class FrameSplitter {
  private pending: Buffer[] = [];
  private pendingBytes = 0;

  constructor(private readonly onFrame: (frame: Uint8Array) => void) {}

  /** Takes the next received bytes; throws `frame-too-large`. */
  push(chunk: Buffer): void {
    if (this.pendingBytes === 0) {
      this.keep(this.consume(chunk));
      return;
    }
    this.keep(chunk);
    if (this.pendingBytes < this.neededBytes()) return;
    const joined = Buffer.concat(this.pending, this.pendingBytes);
    this.pending = [];
    this.pendingBytes = 0;
    this.keep(this.consume(joined));
  }

  private keep(rest: Buffer): void {
    if (rest.length === 0) return;
    this.pending.push(rest);
    this.pendingBytes += rest.length;
  }

  /** Bytes needed before the first pending frame is whole. */
  private neededBytes(): number {
    const first = this.pending[0];
    if (!first || first.length < FRAME_HEADER_BYTES) return FRAME_HEADER_BYTES;
    return FRAME_HEADER_BYTES + first.readUInt32BE(0);
  }

  /** Hands out all whole frames and returns what is left. */
  private consume(bytes: Buffer): Buffer {
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
