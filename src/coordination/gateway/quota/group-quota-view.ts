/** What the quotas see of the group; computed anew only now and then, since each request asks for it. */
import { type GroupMembership, HEARTBEAT_TIMEOUT_MS } from '../group-membership.js';
import { totalCapacity } from '../../../state/total-capacity.js';
import type { QuotaGroup } from './quota-group.js';

/**
 * A share of the group that is not heard counts only from this on: in a large group that is idle, up to
 * 0.29 of the living were not heard for 2.5 s (79 simulated routers). In a small one all hear all.
 */
const UNHEARD_SHARE = 0.1;
const LARGE_GROUP_UNHEARD_SHARE = 0.3;
/**
 * In a small group all hear all, the idle ones each 0.75 s. Both sides of a cut grant the whole rate until
 * they notice: with 1 s instead of 1.25 s the most used window fell by 0.02 of what is allowed.
 */
const SMALL_GROUP_SILENCE_MS = 1_000;
/** The group's shares are this old at most, in calls that follow each other. */
const REFRESH_MS = 250;

/** A view over the membership. */
export class GroupQuotaView implements QuotaGroup {
  private addresses: readonly string[] = [];
  private nodeIds: ReadonlyMap<string, string> = new Map();
  private addressesVersion = -1;
  private shares = { reachable: 1, own: 1, atMs: -Infinity };

  /** @param ownShareNow this router's share of the group's requests */
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

  get accountantAddresses(): readonly string[] {
    // Those that have just started know nobody but the seeds, and so agree on these.
    if (!this.isSettled && this.group.seeds.length > 0) return this.group.seeds;
    this.refreshAddresses();
    return this.addresses;
  }

  get reachableShare(): number {
    return this.refreshed().reachable;
  }

  get ownShare(): number {
    return this.refreshed().own;
  }

  silenceMs(address: string): number {
    const nodeId = this.nodeIdAt(address);
    return nodeId === undefined ? Infinity : this.group.silenceMs(nodeId);
  }

  isMissing(address: string): boolean {
    if (this.group.isLarge) return false;
    const nodeId = this.nodeIdAt(address);
    // Seeds are asked before they are known.
    return nodeId !== undefined && this.group.silenceMs(nodeId) > this.longestSilenceMs;
  }

  send(address: string, datagram: Uint8Array): void {
    this.group.send(address, datagram);
  }

  private get longestSilenceMs(): number {
    return this.group.isLarge ? HEARTBEAT_TIMEOUT_MS : SMALL_GROUP_SILENCE_MS;
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

  private refreshed(): { readonly reachable: number; readonly own: number } {
    const now = this.group.now;
    if (now - this.shares.atMs < REFRESH_MS) return this.shares;
    const { working } = this.group;
    const heard = working.filter(
      ({ nodeId }) => this.group.silenceMs(nodeId) <= this.longestSilenceMs,
    );
    const capacity = totalCapacity(working);
    const heardShare = capacity > 0 ? totalCapacity(heard) / capacity : 1;
    const unheardShare = this.group.isLarge ? LARGE_GROUP_UNHEARD_SHARE : UNHEARD_SHARE;
    const reachable = heardShare < 1 - unheardShare ? heardShare : 1;
    this.shares = { reachable, own: this.ownShareNow(), atMs: now };
    return this.shares;
  }
}
