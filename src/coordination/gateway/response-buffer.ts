/** Buffers a short response until it is complete, so that it can be retried if interrupted. */
import type { ResponseHead } from '../../protocol/inference/port.js';
import { ChunkList } from './chunk-list.js';

/** Longer responses are streamed through as they arrive. */
const MAXIMUM_BUFFERED_BYTES = 262_144;

/** The head and the body of a response received so far. */
export class ResponseBuffer {
  private readonly body = new ChunkList();

  constructor(readonly head: ResponseHead) {}

  get chunks(): readonly Uint8Array[] {
    return this.body.chunks;
  }

  get sizeBytes(): number {
    return this.body.sizeBytes;
  }

  /** Appends a chunk; returns false once the response exceeds the buffer limit. */
  append(chunk: Uint8Array): boolean {
    this.body.append(chunk);
    return this.body.sizeBytes <= MAXIMUM_BUFFERED_BYTES;
  }
}
