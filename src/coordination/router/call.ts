/** What all calls of a router have in common. */

/** A request being served. */
export interface RouterCall {
  /** The caller may take that many more chunks. */
  grantCredit(chunks: number): void;
  /** The caller wants no answer any more. */
  cancel(): void;
  /** The way back to the caller's agent is gone; the agent may come through another router. */
  abandon(): void;
}

/** Ends a call for its server: removes it and gives back its place. */
export type CallEnded = () => void;
