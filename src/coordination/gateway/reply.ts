/** The caller's side of a request: what a call needs of the connection the request came by. */
import type { ForwardedRequest, HeaderLine } from '../../protocol/inference/port.js';
import type { GenerationShape } from '../../state/routing/generation.js';

/** A whole request as a caller sent it, in the product's own words. */
export interface InboundRequest extends ForwardedRequest {
  /** Path without its query. */
  readonly path: string;
  /** Host without a port, in lower case. */
  readonly host: string;
  /** Undefined where the caller sent none. */
  readonly apiKey: string | undefined;
  /** How long the caller waits from the arrival, in milliseconds; undefined where it does not say. */
  readonly budgetMs: number | undefined;
  readonly generation: GenerationShape | undefined;
  /** Prompt tokens and the most that may be generated; undefined where the caller does not say. */
  readonly declaredTokens?: number | undefined;
  /** Event after which the caller wants a stream to continue. */
  readonly resumeAfter: string | undefined;
  readonly arrivedMs: number;
}

/** An answer of this system's own. */
export interface OwnAnswer {
  readonly status: number;
  readonly reason: string;
  /** When the caller may come again, in milliseconds; only where nothing ran. */
  readonly retryAfterMs?: number;
}

/** Writes the answer. After `end`, `refuse` or `abort` nothing more may be called. */
export interface Reply {
  begin(status: number, headers: readonly HeaderLine[], contentLength: number | undefined): void;
  /** False where the caller reads slower than the engine writes; wait for {@link onDrain}. */
  write(chunk: Uint8Array): boolean;
  end(): void;
  refuse(answer: OwnAnswer): void;
  /** Breaks the connection, so that an answer under way is not taken for whole. */
  abort(): void;
  /** The caller has left before the end. */
  onClose(listener: () => void): void;
  onDrain(listener: () => void): void;
}
