/** Requests that the agent's edge submits, and the interface that receives their responses. */
import type { FailedCall } from '../errors.js';

interface CommonRequest {
  readonly requestId: string;
  readonly tenant: string;
  readonly deadlineMs: number;
  readonly priority: number;
  /**
   * True if the identifier is derived from a caller's idempotency key, which may have been sent to
   * another agent before.
   */
  readonly keyed: boolean;
  /** Key by which routers are ranked for the request. */
  readonly routeKey: bigint;
}

/** A caller's request for a generation. */
export interface GenerationRequest extends CommonRequest {
  readonly kind: 'generation';
  readonly model: string;
  /** UTF-8 text. */
  readonly prompt: Uint8Array;
  readonly maxTokens: number;
}

/** A caller's request for an operation of a plain service. */
export interface OperationRequest extends CommonRequest {
  readonly kind: 'operation';
  readonly service: string;
  readonly operation: string;
  /** JSON, as UTF-8 text. */
  readonly payload: Uint8Array;
  readonly repeatable: boolean;
}

export type CallerRequest = GenerationRequest | OperationRequest;

/** Token usage of a whole generation. */
export interface CallerUsage {
  readonly promptTokens: number;
  readonly cachedTokens: number;
  readonly completionTokens: number;
}

/** Receives a response. Exactly one of the last three methods is called, once, as the last call. */
export interface CallerSink {
  /**
   * Texts of a stream; `sequence` counts over the whole request. Each text must be acknowledged
   * through the `CallerHandle`.
   */
  onTexts(sequence: number, texts: readonly string[]): void;
  onFinished(finishReason: string, usage: CallerUsage): void;
  onOutcome(status: number, body: Uint8Array): void;
  onFailed(failed: FailedCall): void;
}

/** The caller's side of a running request. */
export interface CallerHandle {
  /** The caller consumed this number of texts, and more may be sent. */
  consumed(chunks: number): void;
  /** The caller closed its connection. */
  cancel(): void;
}
