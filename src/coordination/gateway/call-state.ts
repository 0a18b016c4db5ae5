/** State of a request in the router. */
export enum CallState {
  /** No send is in progress. */
  Choosing = 'choosing',
  /** A send is in progress and no response head was received. */
  Sent = 'sent',
  /** A response is being passed on or buffered. */
  Answering = 'answering',
  Finished = 'finished',
}
