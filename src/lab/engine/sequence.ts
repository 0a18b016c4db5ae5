/** One request inside the stand-in engine, and the readers of its stream. */
import type { EngineUsage } from '../../protocol/engine/port.js';
import type { CachedBlock } from './block-cache.js';
import type { TextState } from './token-model.js';

/** Where a sequence stands in the batch. */
export enum SequenceState {
  Waiting = 'waiting',
  Prefilling = 'prefilling',
  Decoding = 'decoding',
  Finished = 'finished',
  Cancelled = 'cancelled',
}

/** Receives a sequence's output. */
export interface SequenceReader {
  /** Something new may be read from the sequence. */
  onProgress(): void;
  /** The engine died; nothing more comes. */
  onLost(): void;
}

/** A request in the engine. */
export class EngineSequence {
  state = SequenceState.Waiting;
  readonly tokens: string[] = [];
  readonly readers = new Set<SequenceReader>();
  cachedTokens = 0;
  /** Prompt tokens still to compute. */
  prefillLeft: number;
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
    this.prefillLeft = promptTokens;
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
