/** Interface to plain back ends: operations, and lookups by request identifier. */

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

/** The response to an operation. */
export interface BackendResponse {
  readonly status: number;
  readonly body: Uint8Array;
}

/** Suffix of a request's second identifier, used if a lookup fenced the first one. */
export const SECOND_IDENTIFIER_SUFFIX = '~2';

/** Reason of a rejection because a lookup fenced the identifier. */
export const FENCED_REASON = 'fenced';

/** Result of an invocation. */
export type InvocationResult =
  | { readonly kind: 'answered'; readonly answer: BackendResponse }
  /** The back end rejected the request without running it. */
  | { readonly kind: 'refused'; readonly reason: string }
  /** No connection could be made; nothing was sent. */
  | { readonly kind: 'unreachable'; readonly reason: string }
  /** The connection was lost or timed out after sending; the operation may have run. */
  | { readonly kind: 'interrupted'; readonly reason: string };

/** State of a request identifier at a back end. */
export type LookupResult =
  | { readonly kind: 'answered'; readonly answer: BackendResponse }
  | { readonly kind: 'running' }
  /**
   * The identifier was not used, and the back end rejects it from now on. `first` is true for
   * exactly one lookup, whose caller may run the operation under another identifier.
   */
  | { readonly kind: 'fenced'; readonly first: boolean }
  /** No response, or the back end does not support lookups. */
  | { readonly kind: 'unavailable' };

/** Calls to plain back ends. */
export interface PlainBackendPort {
  invoke(address: string, invocation: BackendInvocation): Promise<InvocationResult>;
  /** Queries the outcome of a request; fences the identifier if it was not used yet. */
  lookup(address: string, requestId: string): Promise<LookupResult>;
}
