/** One request inside the fake engine, and the readers of its stream. */
import type { EngineUsage } from '../../protocol/engine/port.js';
import type { CachedBlock } from './block-cache.js';
import type { TextState } from './token-model.js';

/** Processing state of a sequence. */
export enum SequenceState {
  Waiting = 'waiting',
  Prefilling = 'prefilling',
  Decoding = 'decoding',
  Finished = 'finished',
  Cancelled = 'cancelled',
}

/** Is notified of a sequence's output. */
export interface SequenceReader {
  /** The sequence may have new tokens or may have ended. */
  onProgress(): void;
  /** The engine crashed; no further notification follows. */
  onLost(): void;
}

/** A generation request and its output. */
export class EngineSequence {
  state = SequenceState.Waiting;
  readonly tokens: string[] = [];
  readonly readers = new Set<SequenceReader>();
  cachedTokens = 0;
  /** Prompt tokens that are not yet computed. */
  remainingPrefillTokens: number;
  usedBlocks: CachedBlock[] = [];
  finishedAtMs = 0;

  constructor(
    readonly requestId: string,
    readonly arrival: number,
    readonly priority: number,
    readonly chain: readonly bigint[],
    readonly promptTokens: number,
    readonly maxTokens: number,
    readonly text: TextState,
    readonly weightsDigest: string,
  ) {
    this.remainingPrefillTokens = promptTokens;
  }

  get started(): boolean {
    return this.state === SequenceState.Decoding || this.state === SequenceState.Finished;
  }

  get ended(): boolean {
    return this.state === SequenceState.Finished || this.state === SequenceState.Cancelled;
  }

  get usage(): EngineUsage {
    return {
      promptTokens: this.promptTokens,
      cachedTokens: this.cachedTokens,
      completionTokens: this.tokens.length,
    };
  }

  notify(): void {
    for (const reader of this.readers) reader.onProgress();
  }
}
