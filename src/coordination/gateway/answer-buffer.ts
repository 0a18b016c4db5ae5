/** Gathers a short answer, so that one that breaks off can be asked for again unseen. */
import type { AnswerHead } from '../../protocol/inference/port.js';

/** Longer answers are passed through as they arrive. */
const MAXIMUM_BYTES = 262_144;

/** The answer gathered so far. */
export class AnswerBuffer {
  readonly chunks: Uint8Array[] = [];
  private bytes = 0;

  constructor(readonly head: AnswerHead) {}

  /** Adds a chunk; false where the answer has become too long to be gathered. */
  take(chunk: Uint8Array): boolean {
    this.chunks.push(chunk);
    this.bytes += chunk.length;
    return this.bytes <= MAXIMUM_BYTES;
  }
}
