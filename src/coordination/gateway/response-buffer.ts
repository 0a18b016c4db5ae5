/**
 * Buffers a short response until it is complete, so that an interrupted one can be retried
 * unnoticed.
 */
import type { ResponseHead } from '../../protocol/inference/port.js';

/** Longer responses are streamed through as they arrive. */
const MAXIMUM_BUFFERED_BYTES = 262_144;

/** The head and the chunks of a response received so far. */
export class ResponseBuffer {
  readonly chunks: Uint8Array[] = [];
  private sizeBytes = 0;

  constructor(readonly head: ResponseHead) {}

  /** Appends a chunk; returns false once the response exceeds the buffer limit. */
  append(chunk: Uint8Array): boolean {
    this.chunks.push(chunk);
    this.sizeBytes += chunk.length;
    return this.sizeBytes <= MAXIMUM_BUFFERED_BYTES;
  }
}
