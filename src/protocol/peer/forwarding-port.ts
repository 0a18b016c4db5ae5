/**
 * Interface to connections that a router forwards to engines for other routers. The forwarded bytes
 * are not interpreted, so an exchange through another router is the same as a direct one.
 */

/** The engine that a connection is forwarded to. */
export interface ForwardingTarget {
  /** Identifier of the engine's incarnation. */
  readonly engineId: string;
  /** HOST:PORT. */
  readonly address: string;
}

/** Whether a router forwards a connection. */
export enum ForwardingDecision {
  Accepted = 'accepted',
  /** The router knows no such engine at this address. */
  EngineUnknown = 'engine-unknown',
  /** The router forwards no further connections now. */
  Refused = 'refused',
}

/** Decides about connections of other routers and observes their outcomes. */
export interface ForwardingPolicy {
  decide(target: ForwardingTarget): ForwardingDecision;
  /** Called when a connection to an engine was opened for another router, or could not be. */
  onConnected(target: ForwardingTarget, isSuccess: boolean): void;
}

/** Serves connections of other routers. */
export interface ForwardingListener {
  /** HOST:PORT, with the actual port if 0 was requested. */
  readonly address: string;
  /** Forwarded connections that are open. */
  readonly openConnections: number;
  /** Closes the listener and all forwarded connections. */
  close(): void;
}

/** Accepts connections of other routers to engines. */
export interface ForwardingPort {
  /** Rejects with a `TransportFailure`. */
  listen(address: string, policy: ForwardingPolicy): Promise<ForwardingListener>;
}
