/** Observes from one response to a generation how fast its engine is. */
import type { ResponseHead, SendOptions } from '../../protocol/inference/port.js';
import type { GenerationShape } from '../../state/routing/generation.js';
import type { Placement } from '../../state/routing/placement.js';
import { StreamPauses } from '../../state/routing/stream-pauses.js';
import type { SpeedObserver } from './speed-observer.js';

const FIRST_ERROR_STATUS = 300;

/** A generation that was sent to an engine. */
export interface SentGeneration {
  readonly generation: GenerationShape;
  readonly placement: Pick<Placement, 'engine' | 'unreadTokens' | 'fetchFrom'>;
  readonly options: Pick<SendOptions, 'resumeAfter'>;
  readonly sentMs: number;
  /** Prompt tokens to prefill at the engine for other requests at that time. */
  readonly queuedTokens: number;
  /** Returns the prompt tokens to prefill at the engine now. */
  queuedTokensNow(): number;
}

/** Speed observations of one response. */
export class ResponseSpeed {
  private readonly pauses = new StreamPauses();
  private events = 0;
  /** Tokens to prefill at the previous event. */
  private queuedTokensBefore = 0;
  /** Other responses, such as errors, say nothing of the speed. */
  private isStream = false;

  constructor(
    private readonly sent: SentGeneration,
    private readonly observer: SpeedObserver,
  ) {}

  noteHead({ status, isAttested, contentLength }: ResponseHead): void {
    this.isStream = isAttested && status < FIRST_ERROR_STATUS && contentLength === undefined;
  }

  noteChunk(nowMs: number): void {
    if (!this.isStream) return;
    this.events += 1;
    if (this.events === 1) this.noteFirstByte(nowMs);
    const pauseMs = this.pauses.noteEvent(nowMs);
    const queuedTokens = this.sent.queuedTokensNow();
    const { record } = this.sent.placement.engine;
    if (pauseMs !== undefined) {
      const queuedInPause = Math.max(queuedTokens, this.queuedTokensBefore);
      this.observer.notePause(record, pauseMs, queuedInPause);
    }
    this.queuedTokensBefore = queuedTokens;
  }

  /** The router stopped reading the response for a while. */
  notePausedRead(): void {
    this.pauses.interrupt();
  }

  /** The response is complete. */
  noteEnd(): void {
    if (!this.isStream || this.isContinued) return;
    const { expectedOutputTokens, maximumOutputTokens } = this.sent.generation;
    const tokens = expectedOutputTokens ?? maximumOutputTokens;
    this.observer.noteLength(this.sent.placement.engine.record, tokens, this.events);
  }

  private get isContinued(): boolean {
    return this.sent.options.resumeAfter !== undefined;
  }

  private noteFirstByte(nowMs: number): void {
    const { placement, generation, sentMs, queuedTokens } = this.sent;
    this.observer.noteFirstByte(placement.engine.record, {
      waitedMs: nowMs - sentMs,
      unreadTokens: placement.unreadTokens,
      ownTokens: generation.parts.at(-1)?.tokens ?? 0,
      queuedTokens,
      isPartial: placement.fetchFrom !== undefined || this.isContinued,
    });
  }
}
