/** Streams a generation to the caller as server-sent events, with backpressure. */
import type { PassThrough } from 'node:stream';
import type { CallerHandle, CallerSink, CallerUsage } from '../../coordination/agent/caller.js';
import type { FailedCall } from '../../coordination/errors.js';
import { apiErrorOf, errorBody } from './api-error.js';
import {
  type ResponseIdentity,
  chunkBody,
  finalChunkBody,
  usageChunkBody,
} from './generation-bodies.js';

/** Writes the event stream of one response. */
export class StreamWriter implements CallerSink {
  /** Set once the request has been submitted. */
  handle: CallerHandle | undefined;
  private unacknowledgedChunks = 0;
  private first = true;
  private ended = false;

  constructor(
    private readonly output: PassThrough,
    private readonly identity: ResponseIdentity,
    private readonly includeUsage: boolean,
  ) {
    output.on('drain', () => this.acknowledge());
    output.on('close', () => {
      if (!this.ended) this.handle?.cancel();
    });
  }

  onTexts(sequence: number, texts: readonly string[]): void {
    const body = chunkBody(this.identity, texts.join(''), this.first);
    this.first = false;
    this.unacknowledgedChunks += texts.length;
    const lastSequence = sequence + texts.length - 1;
    if (this.write(body, lastSequence)) this.acknowledge();
  }

  onFinished(finishReason: string, usage: CallerUsage): void {
    this.write(finalChunkBody(this.identity, finishReason));
    if (this.includeUsage) this.write(usageChunkBody(this.identity, usage));
    this.output.write('data: [DONE]\n\n');
    this.finish();
  }

  onOutcome(): void {
    throw new Error('unexpected operation outcome in a generation stream');
  }

  /** Reports the error as the last event, since the status line has already been sent. */
  onFailed(failed: FailedCall): void {
    this.write(errorBody(apiErrorOf(failed), this.identity.requestId));
    this.finish();
  }

  private finish(): void {
    this.ended = true;
    this.output.end();
  }

  private write(body: object, sequence?: number): boolean {
    const id = sequence === undefined ? '' : `id: ${sequence}\n`;
    return this.output.write(`${id}data: ${JSON.stringify(body)}\n\n`);
  }

  private acknowledge(): void {
    const chunks = this.unacknowledgedChunks;
    this.unacknowledgedChunks = 0;
    this.handle?.consumed(chunks);
  }
}
