/**
 * This router's share of the group's traffic, which the directory distributes by capacity, and its
 * interval among those of all routers. Both are recomputed only when the members change.
 */
import type { MemberUpdate } from '../../state/membership.js';
import { totalCapacity } from '../../state/total-capacity.js';
import type { SlotInterval } from '../../state/routing/send-slots.js';

/** The group, as far as the share needs it. */
export interface SharingGroup {
  /** Members that accept requests; the same array until one of them changes. */
  readonly working: readonly MemberUpdate[];
  /** This router's own membership entry. */
  readonly own: MemberUpdate;
  /** Whether this router has received updates from most of the group. */
  readonly isSettled: boolean;
}

/** Computes the traffic share of one router. */
export class TrafficShare {
  private lastWorking: readonly MemberUpdate[] | undefined;
  private share = 1;
  private ownInterval: SlotInterval | undefined;

  /** @param capacity CPU share of this router, in thousandths of a core */
  constructor(
    private readonly group: SharingGroup,
    private readonly capacity: number,
  ) {}

  /** Share of the group's requests, greater than 0 and at most 1. */
  get now(): number {
    this.refresh();
    return this.share;
  }

  /**
   * This router's part of the range from 0 to 1; undefined if it accepts no requests or the group
   * is not settled.
   */
  get interval(): SlotInterval | undefined {
    if (!this.group.isSettled) return undefined;
    this.refresh();
    return this.ownInterval;
  }

  private refresh(): void {
    const { working, own } = this.group;
    if (working === this.lastWorking) return;
    this.lastWorking = working;
    const total = totalCapacity(working);
    const hasCapacities = total > 0 && this.capacity > 0;
    // A router that leaves is not among the working members, of which none may be left.
    const memberCount = Math.max(1, working.length);
    this.share = hasCapacities ? Math.min(1, this.capacity / total) : 1 / memberCount;
    this.ownInterval = intervalAmong(working, own.nodeId);
  }
}

/**
 * Orders the members by identifier and gives each an interval as long as its share of the capacity.
 */
function intervalAmong(members: readonly MemberUpdate[], nodeId: string): SlotInterval | undefined {
  const total = totalCapacity(members);
  const shareOf = (member: MemberUpdate): number =>
    total > 0 ? member.capacity / total : 1 / members.length;
  const own = members.find((member) => member.nodeId === nodeId);
  if (!own) return undefined;
  const before = members.filter((member) => member.nodeId < nodeId);
  const from = before.reduce((sum, member) => sum + shareOf(member), 0);
  return { from, to: from + shareOf(own) };
}
