/** The group of routers, as far as quotas need it. */

/** Addresses and liveness of the routers that can own quota accounts. */
export interface QuotaGroup {
  /** Datagram address of this router. */
  readonly ownAddress: string;
  /** Datagram addresses of the routers that may own accounts, including this one if eligible. */
  readonly quotaOwnerAddresses: readonly string[];
  /**
   * Datagram addresses of all other routers that may still run, also of unresponsive ones; those that
   * announced that they leave, and then ended, are left out.
   */
  readonly otherRouterAddresses: readonly string[];
  /**
   * Whether this router has discovered most of the group. Until then, routers that have just
   * started query the same seeds, so that they do not each open accounts of their own.
   */
  readonly isSettled: boolean;
  /** Responsive share of the group, by capacity, greater than 0 and at most 1. */
  readonly reachableShare: number;
  /** This router's share of the group's requests, greater than 0 and at most 1. */
  readonly ownShare: number;
  /**
   * Time since the last heartbeat of the router at an address, in milliseconds; Infinity if there
   * was none.
   */
  heartbeatAgeMs(address: string): number;
  /**
   * Whether the router at an address is certainly partitioned or down; always false in a large
   * group.
   */
  isMissing(address: string): boolean;
  send(address: string, datagram: Uint8Array): void;
}
