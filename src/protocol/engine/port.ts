/**
 * What the system expects of a model engine, whatever its interface looks like.
 * The HTTP form is in docs/INTERFACES.md, "Model engine".
 */

/** Load of an engine at one moment. */
export interface EngineLoadReport {
  readonly waitingTokens: number;
  readonly requests: number;
  readonly maximumRequests: number;
  readonly prefillTokensPerSecond: number;
}

/** What an engine says of itself. */
export interface EngineStatus {
  readonly engineId: string;
  /** Grows with each start. */
  readonly incarnation: number;
  readonly model: string;
  readonly weightsDigest: string;
  readonly adapterDigest: string;
  readonly leaving: boolean;
  readonly load: EngineLoadReport;
}

/** A generation to start. */
export interface EngineGeneration {
  /** Unique for each attempt; the name under which the stream can be resumed. */
  readonly engineRequestId: string;
  readonly model: string;
  /** The engine refuses where it serves other weights. */
  readonly weightsDigest: string;
  readonly adapterDigest: string;
  readonly cacheSalt: string;
  readonly prompt: Uint8Array;
  /** Text generated before, to be continued. */
  readonly continuation: string;
  readonly maxTokens: number;
  readonly priority: number;
}

/** Usage of a finished generation, in tokens. */
export interface EngineUsage {
  readonly promptTokens: number;
  readonly cachedTokens: number;
  readonly completionTokens: number;
}

/** Why an attempt ended without its whole answer. */
export type EngineFailure =
  /** The engine did not take the request: it ran nothing. */
  | { readonly kind: 'refused'; readonly reason: string }
  /** Nothing was sent. */
  | { readonly kind: 'unreachable'; readonly reason: string }
  /** The connection was lost after sending. */
  | { readonly kind: 'interrupted'; readonly reason: string }
  /** The engine has no such stream to resume. */
  | { readonly kind: 'not-found' };

/** Receives one engine stream. `onEnd` or `onFailure` comes once and last. */
export interface EngineStreamListener {
  /** Prefill is done; tokens follow. */
  onStart(start: EngineStreamStart): void;
  /** Tokens from `offset` on, each a piece of text. */
  onTokens(offset: number, texts: readonly string[]): void;
  onEnd(finishReason: string, usage: EngineUsage): void;
  onFailure(failure: EngineFailure): void;
}

/** First word of a stream. */
export interface EngineStreamStart {
  readonly incarnation: number;
  readonly promptTokens: number;
  /** Prompt tokens not recomputed. */
  readonly cachedTokens: number;
  readonly load: EngineLoadReport;
}

/** A running stream. */
export interface EngineStream {
  /** Stops reading; the engine holds the rest. */
  pause(): void;
  resume(): void;
  /** Ends the work at the engine; the listener hears nothing more. */
  cancel(): void;
  /** Stops listening and leaves the work at the engine running, to be resumed. */
  detach(): void;
}

/** An entry of the cache event stream. */
export interface EngineCacheEvent {
  readonly kind: 'stored' | 'removed';
  readonly block: bigint;
  readonly parent: bigint | undefined;
}

/** A batch of the cache event stream. */
export interface EngineEventBatch {
  readonly incarnation: number;
  /** Sequence number of the first event; the others count on. */
  readonly firstSequence: number;
  readonly events: readonly EngineCacheEvent[];
  readonly status: EngineStatus;
}

/** All blocks kept at one moment, parents before children. */
export interface EngineSnapshot {
  readonly incarnation: number;
  /** The next event after the snapshot. */
  readonly nextSequence: number;
  readonly blocks: readonly EngineCacheEvent[];
}

/** Calls to engines. Promises reject with a `ProtocolFailure`. */
export interface EnginePort {
  generate(
    address: string,
    generation: EngineGeneration,
    listener: EngineStreamListener,
  ): EngineStream;
  /** Takes up a stream at a token offset. */
  resume(
    address: string,
    engineRequestId: string,
    offset: number,
    listener: EngineStreamListener,
  ): EngineStream;
  /** Waits at the engine for events from `fromSequence` on; answers at once where some are there. */
  events(address: string, fromSequence: number, waitMs: number): Promise<EngineEventBatch>;
  snapshot(address: string): Promise<EngineSnapshot>;
}
