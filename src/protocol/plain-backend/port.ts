/** What the system expects of a plain back end: operations with a request identifier, and a lookup. */

/** An operation to run. */
export interface BackendInvocation {
  readonly requestId: string;
  readonly tenant: string;
  readonly service: string;
  readonly operation: string;
  /** JSON text. */
  readonly payload: Uint8Array;
  readonly timeoutMs: number;
}

/** The answer of an operation. */
export interface BackendAnswer {
  readonly status: number;
  readonly body: Uint8Array;
}

/** Ends a request's second identifier, used where the first one was closed unused. */
export const SECOND_IDENTIFIER_SUFFIX = '~2';

/** Reason of a refusal whose identifier a lookup has closed. */
export const FENCED_REASON = 'fenced';

/** Result of an invocation. */
export type InvocationResult =
  | { readonly kind: 'answered'; readonly answer: BackendAnswer }
  /** The back end did not take it: it ran nothing. */
  | { readonly kind: 'refused'; readonly reason: string }
  /** Nothing was sent. */
  | { readonly kind: 'unreachable'; readonly reason: string }
  /** Sent, and lost or timed out. */
  | { readonly kind: 'interrupted'; readonly reason: string };

/** What a back end knows of a request identifier. */
export type LookupResult =
  | { readonly kind: 'answered'; readonly answer: BackendAnswer }
  | { readonly kind: 'running' }
  /**
   * Never seen, and from now on refused: it has not run and will not. `first` for exactly one asker,
   * who may then run it under another identifier.
   */
  | { readonly kind: 'fenced'; readonly first: boolean }
  /** No answer, or the back end offers no lookup. */
  | { readonly kind: 'unavailable' };

/** Calls to plain back ends. */
export interface PlainBackendPort {
  invoke(address: string, invocation: BackendInvocation): Promise<InvocationResult>;
  /** Asks for a request's outcome; one never seen is fenced by the asking. */
  lookup(address: string, requestId: string): Promise<LookupResult>;
}
