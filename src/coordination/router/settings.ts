/** Settings of a router. */

/** Settings that a router is started with. */
export interface RouterSettings {
  readonly nodeId: string;
  readonly zone: string;
  readonly region: string;
  /** `HOST:PORT` for agents and other routers, TCP. */
  readonly peerAddress: string;
  /** `HOST:PORT` for membership datagrams, UDP. */
  readonly gossipAddress: string;
  /** Gossip addresses of routers through which to join. */
  readonly seeds: readonly string[];
  /** Secret shared by all nodes to authenticate datagrams. */
  readonly clusterKey: string;
}

/** Protections that mutation tests disable one at a time; all are enabled in production. */
export interface Protections {
  /** Claim a non-repeatable operation before dispatching it. */
  readonly claims: boolean;
  /** Derive the cache salt from the tenant. */
  readonly tenantSalt: boolean;
  /** Derive the cache salt from the weights. */
  readonly weightsSalt: boolean;
  /** Reject a revision that isn't newer than the current one. */
  readonly monotonicRevisions: boolean;
  /** Send no new requests to a leaving back end. */
  readonly respectLeaving: boolean;
  /** Report "not run" only if it is proven. */
  readonly proveNotRun: boolean;
  /** Continue an interrupted stream at its position. */
  readonly continueStreams: boolean;
  /** Limit retries by the tenant's retry budget. */
  readonly retryBudget: boolean;
}

/** All protections enabled. */
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
