/** What a router is told at its start. */

/** Settings of one router. */
export interface RouterSettings {
  readonly nodeId: string;
  readonly zone: string;
  readonly region: string;
  /** `HOST:PORT` for agents and other routers, TCP. */
  readonly peerAddress: string;
  /** `HOST:PORT` for membership datagrams, UDP. */
  readonly gossipAddress: string;
  /** Gossip addresses of some routers to join through. */
  readonly seeds: readonly string[];
  /** Secret shared by all nodes, which authenticates datagrams. */
  readonly clusterKey: string;
}

/** Protections that the mutation tests switch off one at a time; all are on in a running router. */
export interface Protections {
  /** Claim an operation that may not be repeated before sending it. */
  readonly claims: boolean;
  /** Bind the cache salt to the tenant. */
  readonly tenantSalt: boolean;
  /** Bind the cache salt to the weights. */
  readonly weightsSalt: boolean;
  /** Refuse a revision at or below the one in force. */
  readonly monotonicRevisions: boolean;
  /** Send no new work to a leaving back end. */
  readonly respectLeaving: boolean;
  /** Say "not run" only where it is proven. */
  readonly proveNotRun: boolean;
  /** Continue a lost stream where it stood. */
  readonly continueStreams: boolean;
  /** Limit retries by the tenant's budget. */
  readonly retryBudget: boolean;
}

/** All protections on. */
export const ALL_PROTECTIONS: Protections = {
  claims: true,
  tenantSalt: true,
  weightsSalt: true,
  monotonicRevisions: true,
  respectLeaving: true,
  proveNotRun: true,
  continueStreams: true,
  retryBudget: true,
};
