/** What an agent is told at its start. */

/** Settings of one agent. */
export interface AgentSettings {
  readonly nodeId: string;
  readonly zone: string;
  /** Peer addresses of some routers; the others are learned from them. */
  readonly routers: readonly string[];
  /** Longest time a request may take where the caller names none. */
  readonly defaultDeadlineMs: number;
}
