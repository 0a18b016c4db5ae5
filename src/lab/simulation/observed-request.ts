/** Records a request and everything that its caller received, for the oracle. */
import type { CallerHandle, CallerRequest, CallerSink } from '../../coordination/agent/caller.js';
import type { FailedCall } from '../../coordination/errors.js';

/** How a request ended for its caller. */
export type ObservedEnd =
  | { readonly kind: 'finished' }
  | { readonly kind: 'outcome'; readonly body: Uint8Array }
  | { readonly kind: 'failed'; readonly failed: FailedCall }
  | { readonly kind: 'hung-up' };

/** A request and its recorded response. */
export class ObservedRequest implements CallerSink {
  readonly texts: string[] = [];
  readonly ends: ObservedEnd[] = [];
  /** Violations of the stream's protocol, such as gaps or texts after the end. */
  readonly protocolViolations: string[] = [];
  handle: CallerHandle | undefined;
  lastTextMs: number;
  longestPauseMs = 0;
  endedMs = 0;

  constructor(
    readonly request: CallerRequest,
    readonly submittedMs: number,
    private readonly now: () => number,
  ) {
    this.lastTextMs = submittedMs;
  }

  get isEnded(): boolean {
    return this.ends.length > 0;
  }

  onTexts(sequence: number, texts: readonly string[]): void {
    if (sequence !== this.texts.length)
      this.protocolViolations.push(`text ${sequence} after ${this.texts.length}`);
    if (this.isEnded) this.protocolViolations.push('text after the end');
    this.texts.push(...texts);
    const nowMs = this.now();
    this.longestPauseMs = Math.max(this.longestPauseMs, nowMs - this.lastTextMs);
    this.lastTextMs = nowMs;
    this.handle?.consumed(texts.length);
  }

  onFinished(): void {
    this.end({ kind: 'finished' });
  }

  onOutcome(_status: number, body: Uint8Array): void {
    this.end({ kind: 'outcome', body });
  }

  onFailed(failed: FailedCall): void {
    this.end({ kind: 'failed', failed });
  }

  disconnect(): void {
    if (this.isEnded) return;
    this.end({ kind: 'hung-up' });
    this.handle?.cancel();
  }

  private end(end: ObservedEnd): void {
    this.ends.push(end);
    this.endedMs = this.now();
  }
}
