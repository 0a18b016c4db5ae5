/** The group of routers, as far as quotas need it. */

/** Who can be asked for an account, and how. */
export interface QuotaGroup {
  /** Datagram address of this router. */
  readonly ownAddress: string;
  /** Datagram addresses of the routers that may keep accounts, this one among them while it may. */
  readonly accountantAddresses: readonly string[];
  /**
   * Whether this router has been in the group long enough to know who is. Before, all routers that have
   * just started ask the same few, so that not each of them opens an account of its own.
   */
  readonly isSettled: boolean;
  /** Share of the group, by capacity, that was heard lately, above 0 to 1. */
  readonly reachableShare: number;
  /** This router's share of the group's requests, above 0 to 1. */
  readonly ownShare: number;
  /** Time since the router at an address was last heard, in milliseconds; Infinity where it never was. */
  silenceMs(address: string): number;
  /** Whether a router at an address is cut off or down for certain; in a large group none is. */
  isMissing(address: string): boolean;
  send(address: string, datagram: Uint8Array): void;
}
