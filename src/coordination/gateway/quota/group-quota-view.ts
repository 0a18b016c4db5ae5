/** What the quotas see of the group; computed anew only now and then, since each request asks for it. */
import type { GroupMembership } from '../group-membership.js';
import type { QuotaGroup } from './quota-group.js';

/**
 * A share of the group that is not heard counts only from this on: in a large group that is idle, up to
 * 0.29 of the living were not heard for 2.5 s (79 simulated routers). In a small one all hear all.
 */
const UNHEARD_SHARE = 0.1;
const LARGE_GROUP_UNHEARD_SHARE = 0.3;
/** The group's shares are this old at most, in calls that follow each other. */
const REFRESH_MS = 250;

/** A view over the membership. */
export class GroupQuotaView implements QuotaGroup {
  private addresses: readonly string[] = [];
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
    if (this.addressesVersion !== this.group.version) {
      this.addressesVersion = this.group.version;
      this.addresses = this.group.working.map(({ gossipAddress }) => gossipAddress);
    }
    return this.addresses;
  }

  get reachableShare(): number {
    return this.refreshed().reachable;
  }

  get ownShare(): number {
    return this.refreshed().own;
  }

  send(address: string, datagram: Uint8Array): void {
    this.group.send(address, datagram);
  }

  private refreshed(): { readonly reachable: number; readonly own: number } {
    const now = this.group.now;
    if (now - this.shares.atMs < REFRESH_MS) return this.shares;
    const heard = sumOfCapacity(this.group.reachable);
    const working = sumOfCapacity(this.group.working);
    const heardShare = working > 0 ? heard / working : 1;
    const unheardShare = this.group.isLarge ? LARGE_GROUP_UNHEARD_SHARE : UNHEARD_SHARE;
    const reachable = heardShare < 1 - unheardShare ? heardShare : 1;
    this.shares = { reachable, own: this.ownShareNow(), atMs: now };
    return this.shares;
  }
}

function sumOfCapacity(members: readonly { readonly capacity: number }[]): number {
  return members.reduce((sum, { capacity }) => sum + capacity, 0);
}
