/** Errors of the coordination layer: how a request ends without a response from its back end. */

/** Reason for the failure of a request. */
export type CallFailure =
  | { readonly kind: 'overloaded'; readonly message: string; readonly retryAfterMs: number }
  | { readonly kind: 'unavailable'; readonly message: string; readonly retryAfterMs: number }
  | { readonly kind: 'deadline'; readonly message: string }
  | { readonly kind: 'forbidden'; readonly message: string }
  | { readonly kind: 'invalid'; readonly message: string }
  /** It can't be determined whether the request ran. */
  | { readonly kind: 'outcome-unknown'; readonly message: string }
  /** This router can't serve the request; another router may. */
  | { readonly kind: 'try-another-router'; readonly message: string };

/** A failure, and whether it is proven that the request did not run. */
export interface FailedCall {
  readonly failure: CallFailure;
  readonly notRun: boolean;
}

/** Retry delay for the caller in milliseconds; 0 if a retry is of no use. */
export function retryAfterOf(failure: CallFailure): number {
  return 'retryAfterMs' in failure ? failure.retryAfterMs : 0;
}
