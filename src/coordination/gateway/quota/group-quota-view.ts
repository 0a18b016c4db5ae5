/**
 * The group as seen by the quotas. Shares are cached for a short time, since each request reads
 * them.
 */
import { type GroupMembership, HEARTBEAT_TIMEOUT_MS } from '../group-membership.js';
import { totalCapacity } from '../../../state/total-capacity.js';
import type { QuotaGroup } from './quota-group.js';

/**
 * Share of unresponsive capacity below which the whole group counts as reachable. In an idle group
 * of 79, up to 0.29 of the running routers had sent no heartbeat for 2.5 s.
 */
const TOLERATED_UNRESPONSIVE_SHARE = 0.1;
const LARGE_GROUP_TOLERATED_UNRESPONSIVE_SHARE = 0.3;
/**
 * Heartbeat timeout in a small group, whose members all send heartbeats to each other. A short one
 * limits how long both sides of a partition grant the full rate.
 */
const SMALL_GROUP_HEARTBEAT_TIMEOUT_MS = 1_000;
/** Maximum age of the cached shares. */
const MAXIMUM_SHARES_AGE_MS = 250;

/** Implements {@link QuotaGroup} on the membership. */
export class GroupQuotaView implements QuotaGroup {
  private addresses: readonly string[] = [];
  private nodeIds: ReadonlyMap<string, string> = new Map();
  private addressesVersion = -1;
  private shares = { reachable: 1, own: 1, atMs: -Infinity };

  /** @param ownShareNow returns this router's share of the group's requests */
  constructor(
    private readonly group: GroupMembership,
    private readonly ownShareNow: () => number,
  ) {}

  get ownAddress(): string {
    return this.group.own.gossipAddress;
  }

  get isSettled(): boolean {
    return this.group.isSettled;
  }

  get quotaOwnerAddresses(): readonly string[] {
    // Routers that have just started have discovered only the seeds, so they agree on these.
    if (!this.isSettled && this.group.seeds.length > 0) return this.group.seeds;
    this.refreshAddresses();
    return this.addresses;
  }

  get otherRouterAddresses(): readonly string[] {
    return this.group.possiblyRunningAddresses;
  }

  get reachableShare(): number {
    return this.currentShares().reachable;
  }

  get ownShare(): number {
    return this.currentShares().own;
  }

  heartbeatAgeMs(address: string): number {
    const nodeId = this.nodeIdAt(address);
    return nodeId === undefined ? Infinity : this.group.heartbeatAgeMs(nodeId);
  }

  isMissing(address: string): boolean {
    if (this.group.isLarge) return false;
    const nodeId = this.nodeIdAt(address);
    // Seeds are queried before they are discovered, so an unknown address is not missing.
    return nodeId !== undefined && this.group.heartbeatAgeMs(nodeId) > this.heartbeatTimeoutMs;
  }

  send(address: string, datagram: Uint8Array): void {
    this.group.send(address, datagram);
  }

  private get heartbeatTimeoutMs(): number {
    return this.group.isLarge ? HEARTBEAT_TIMEOUT_MS : SMALL_GROUP_HEARTBEAT_TIMEOUT_MS;
  }

  private nodeIdAt(address: string): string | undefined {
    this.refreshAddresses();
    return this.nodeIds.get(address);
  }

  private refreshAddresses(): void {
    if (this.addressesVersion === this.group.version) return;
    this.addressesVersion = this.group.version;
    const { working } = this.group;
    this.addresses = working.map(({ gossipAddress }) => gossipAddress);
    this.nodeIds = new Map(working.map(({ gossipAddress, nodeId }) => [gossipAddress, nodeId]));
  }

  private currentShares(): { readonly reachable: number; readonly own: number } {
    const now = this.group.now;
    if (now - this.shares.atMs < MAXIMUM_SHARES_AGE_MS) return this.shares;
    const { working } = this.group;
    const responsive = working.filter(
      ({ nodeId }) => this.group.heartbeatAgeMs(nodeId) <= this.heartbeatTimeoutMs,
    );
    const capacity = totalCapacity(working);
    const responsiveShare = capacity > 0 ? totalCapacity(responsive) / capacity : 1;
    const toleratedShare = this.group.isLarge
      ? LARGE_GROUP_TOLERATED_UNRESPONSIVE_SHARE
      : TOLERATED_UNRESPONSIVE_SHARE;
    const reachable = responsiveShare < 1 - toleratedShare ? responsiveShare : 1;
    this.shares = { reachable, own: this.ownShareNow(), atMs: now };
    return this.shares;
  }
}
