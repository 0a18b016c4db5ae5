/** Buffers a short response until it is complete, so that it can be retried if interrupted. */
import type { ResponseHead } from '../../protocol/inference/port.js';

/** Longer responses are streamed through as they arrive. */
const MAXIMUM_BUFFERED_BYTES = 262_144;

/** The head and the chunks of a response received so far. */
export class ResponseBuffer {
  readonly chunks: Uint8Array[] = [];
  private size = 0;

  constructor(readonly head: ResponseHead) {}

  get sizeBytes(): number {
    return this.size;
  }

  /** Appends a chunk; returns false once the response exceeds the buffer limit. */
  append(chunk: Uint8Array): boolean {
    this.chunks.push(chunk);
    this.size += chunk.length;
    return this.size <= MAXIMUM_BUFFERED_BYTES;
  }
}
