/** Common interface of the calls at a router. */

/** A running call. */
export interface RouterCall {
  /** The agent accepts this number of further chunks. */
  grantCredit(chunks: number): void;
  /** The caller no longer needs the response. */
  cancel(): void;
  /** The channel to the agent was closed; the agent may retry through another router. */
  abandon(): void;
}

/** Called at the end of a call, to remove it and release its admission. */
export type CallEnded = () => void;
