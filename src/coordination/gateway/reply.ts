/** The caller's side of a request, independent of the HTTP server. */
import type { BodyFraming, ForwardedRequest, HeaderLine } from '../../protocol/inference/port.js';
import type { BodyShare } from '../../state/routing/byte-budget.js';
import type { GenerationShape } from '../../state/routing/generation.js';

/** A request that was received completely. */
export interface InboundRequest extends ForwardedRequest {
  /** Path without its query. */
  readonly path: string;
  /** Host without a port, in lower case. */
  readonly host: string;
  /** Undefined if the caller sent none. */
  readonly apiKey: string | undefined;
  /**
   * Time that the caller waits, counted from the arrival, in milliseconds; undefined if not
   * declared.
   */
  readonly budgetMs: number | undefined;
  readonly generation: GenerationShape | undefined;
  /** Prompt tokens plus the maximum number of generated tokens; undefined if not declared. */
  readonly declaredTokens?: number | undefined;
  /** Event after which the caller resumes a stream. */
  readonly resumeAfter: string | undefined;
  /** Attempt that brought the first event of the resumed stream; undefined if not stated. */
  readonly resumes?: string | undefined;
  readonly arrivedMs: number;
  /** Counts the body against the memory budget; undefined without a body or a budget. */
  readonly heldBody?: BodyShare | undefined;
}

/** What the head of a request states that the configuration is asked about. */
export type RequestHead = Pick<InboundRequest, 'id' | 'host' | 'path' | 'apiKey'>;

/** A response produced by the router itself. */
export interface RouterResponse {
  readonly status: number;
  readonly reason: string;
  /** Retry delay in milliseconds; set only if nothing ran. */
  readonly retryAfterMs?: number;
}

/** What shows the caller where the body of its response ends. */
export type ReplyFraming =
  | { readonly kind: BodyFraming.Length; readonly bytes: number }
  | { readonly kind: BodyFraming.Chunks }
  /** The end of the connection, which states nothing about the body. */
  | { readonly kind: BodyFraming.Connection };

/**
 * Writes the response. No method may be called after `end`, `refuse` or `abort`, except for `abort`
 * after `end` while the caller has not taken all bytes.
 */
export interface Reply {
  begin(status: number, headers: readonly HeaderLine[], framing: ReplyFraming): void;
  /**
   * Returns false if the caller reads more slowly than the engine writes; wait for {@link onDrain}.
   */
  write(chunk: Uint8Array): boolean;
  end(): void;
  refuse(response: RouterResponse): void;
  /**
   * Resets the connection, so that the caller does not take a partial response for a complete one.
   */
  abort(): void;
  /** Registers a listener for the caller closing the connection before the end. */
  onClose(listener: () => void): void;
  onDrain(listener: () => void): void;
  /** Bytes written that the caller's connection has not taken, and the memory that they occupy. */
  readonly heldBytes: number;
  /**
   * Registers the listener for the connection taking bytes, or being closed or done with the
   * response; `heldBytes` is then 0.
   */
  onTaken(listener: (isClosed: boolean) => void): void;
}
