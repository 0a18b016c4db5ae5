/** State of a request in the router. */
export enum CallState {
  /** No send is in progress. */
  Choosing = 'choosing',
  /** The request waits in the queue of its service; no send is in progress. */
  Queued = 'queued',
  /** A send is in progress and no response head was received. */
  Sent = 'sent',
  /** A response is being passed on or buffered. */
  Responding = 'responding',
  Finished = 'finished',
}
