/** Errors of the coordination layer: how a request ends without its answer. */

/** Why a request failed. */
export type CallFailure =
  | { readonly kind: 'overloaded'; readonly message: string; readonly retryAfterMs: number }
  | { readonly kind: 'unavailable'; readonly message: string; readonly retryAfterMs: number }
  | { readonly kind: 'deadline'; readonly message: string }
  | { readonly kind: 'forbidden'; readonly message: string }
  | { readonly kind: 'invalid'; readonly message: string }
  /** It may or may not have run, and nothing can tell. */
  | { readonly kind: 'outcome-unknown'; readonly message: string }
  /** This router can't take it; another may. */
  | { readonly kind: 'try-another-router'; readonly message: string };

/** A failure and whether it is proven that nothing ran. */
export interface FailedCall {
  readonly failure: CallFailure;
  readonly notRun: boolean;
}

/** Milliseconds after which the caller should come again; 0 where that is of no use. */
export function retryAfterOf(failure: CallFailure): number {
  return 'retryAfterMs' in failure ? failure.retryAfterMs : 0;
}
