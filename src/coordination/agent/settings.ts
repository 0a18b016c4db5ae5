/** What an agent is told at its start. */

/** Settings of one agent. */
export interface AgentSettings {
  readonly nodeId: string;
  readonly zone: string;
  /** Peer addresses of some routers; the others are learned from them. */
  readonly routers: readonly string[];
  /** Longest time a request may take where the caller names none. */
  readonly defaultDeadlineMs: number;
  /**
   * True for the first start of an installation: no caller can have used an idempotency key before.
   * Otherwise a key not seen yet may have been used through the agent's earlier life.
   */
  readonly firstInstallation: boolean;
}
