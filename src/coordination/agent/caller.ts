/** What the agent's edge asks for and how it is answered. */
import type { FailedCall } from '../errors.js';

interface CommonRequest {
  readonly requestId: string;
  readonly tenant: string;
  readonly deadlineMs: number;
  readonly priority: number;
  /** True where the identifier comes from a caller's key, which may have been used elsewhere. */
  readonly keyed: boolean;
  /** Key by which routers are ranked for the request. */
  readonly routeKey: bigint;
}

/** A generation asked for by a caller. */
export interface GenerationRequest extends CommonRequest {
  readonly kind: 'generation';
  readonly model: string;
  /** UTF-8 bytes. */
  readonly prompt: Uint8Array;
  readonly maxTokens: number;
}

/** An operation of a plain service asked for by a caller. */
export interface OperationRequest extends CommonRequest {
  readonly kind: 'operation';
  readonly service: string;
  readonly operation: string;
  /** JSON text. */
  readonly payload: Uint8Array;
  readonly repeatable: boolean;
}

export type CallerRequest = GenerationRequest | OperationRequest;

/** Usage over a whole generation, in tokens. */
export interface CallerUsage {
  readonly promptTokens: number;
  readonly cachedTokens: number;
  readonly completionTokens: number;
}

/** Receives the answer. One of the last three comes once and last. */
export interface CallerSink {
  /** Texts of a stream; `sequence` counts over the whole request. Say `consumed` for each. */
  onTexts(sequence: number, texts: readonly string[]): void;
  onFinished(finishReason: string, usage: CallerUsage): void;
  onOutcome(status: number, body: Uint8Array): void;
  onFailed(failed: FailedCall): void;
}

/** The caller's side of a running request. */
export interface CallerHandle {
  /** The caller took that many texts, and more may come. */
  consumed(chunks: number): void;
  /** The caller hung up. */
  cancel(): void;
}
