/** Where a request's call stands. */
export enum CallState {
  /** No send is under way. */
  Choosing = 'choosing',
  /** A send is under way and its answer has not begun. */
  Sent = 'sent',
  /** An answer is being passed on or gathered. */
  Answering = 'answering',
  Finished = 'finished',
}
