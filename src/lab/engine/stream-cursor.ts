/** Delivers a fake engine's sequence to a listener from an offset on, with flow control. */
import type { EngineStream, EngineStreamListener } from '../../protocol/engine/port.js';
import type { EngineCore } from './engine-core.js';
import { type EngineSequence, type SequenceReader, SequenceState } from './sequence.js';

/** One reader of one sequence. */
export class StreamCursor implements EngineStream, SequenceReader {
  private paused = false;
  private started = false;
  private closed = false;

  constructor(
    private readonly core: EngineCore,
    private readonly sequence: EngineSequence,
    private offset: number,
    private readonly listener: EngineStreamListener,
  ) {
    sequence.readers.add(this);
  }

  /** Delivers the available tokens; called once after creation and on each progress. */
  onProgress(): void {
    if (this.paused || this.closed || !this.sequence.started) return;
    this.sendStart();
    const newTokens = this.sequence.tokens.slice(this.offset);
    if (newTokens.length > 0) {
      const offset = this.offset;
      this.offset += newTokens.length;
      this.listener.onTokens(offset, newTokens);
    }
    // The listener may have paused or closed this cursor while it handled the tokens.
    if (this.canFinish()) this.finish();
  }

  onLost(): void {
    if (this.closed) return;
    this.closed = true;
    this.listener.onFailure({ kind: 'interrupted', reason: 'engine lost' });
  }

  pause(): void {
    this.paused = true;
  }

  resume(): void {
    if (!this.paused) return;
    this.paused = false;
    this.onProgress();
  }

  cancel(): void {
    this.detach();
    this.core.cancel(this.sequence.requestId);
  }

  detach(): void {
    this.closed = true;
    this.sequence.readers.delete(this);
  }

  private canFinish(): boolean {
    if (this.paused || this.closed) return false;
    return (
      this.sequence.state === SequenceState.Finished && this.offset >= this.sequence.tokens.length
    );
  }

  private finish(): void {
    this.detach();
    this.listener.onEnd('length', this.sequence.usage);
  }

  private sendStart(): void {
    if (this.started) return;
    this.started = true;
    this.listener.onStart({
      incarnation: this.core.currentIncarnation,
      promptTokens: this.sequence.promptTokens,
      cachedTokens: this.sequence.cachedTokens,
      load: this.core.status().load,
    });
  }
}
