/** Settings of an agent. */

/** Settings that an agent is started with. */
export interface AgentSettings {
  readonly nodeId: string;
  readonly zone: string;
  /** Peer addresses of the initial routers; the others are learned from them. */
  readonly routers: readonly string[];
  /** Deadline of requests for which the caller sets none. */
  readonly defaultDeadlineMs: number;
}
