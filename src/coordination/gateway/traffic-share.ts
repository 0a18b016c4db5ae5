/**
 * This router's part of the group: its share of the requests, since the directory sends callers to routers by their
 * capacity, and its interval among the intervals of all. Reckoned anew only when the members have changed, since each
 * decision asks for it.
 */
import type { MemberUpdate } from '../../state/membership.js';
import { totalCapacity } from '../../state/total-capacity.js';
import type { SlotInterval } from '../../state/routing/send-slots.js';

/** The group, as far as the share needs it. */
export interface SharingGroup {
  /** Members that take work; the same list until one of them changes. */
  readonly working: readonly MemberUpdate[];
  /** What this router says of itself. */
  readonly own: MemberUpdate;
  /** Whether this router has heard of most others. */
  readonly isSettled: boolean;
}

/** The part of one router. */
export class TrafficShare {
  private among: readonly MemberUpdate[] | undefined;
  private share = 1;
  private ownInterval: SlotInterval | undefined;

  /** @param capacity this router's share of a processor core, in thousandths */
  constructor(
    private readonly group: SharingGroup,
    private readonly capacity: number,
  ) {}

  /** Share of the group's requests, above 0 to 1. */
  get now(): number {
    this.refresh();
    return this.share;
  }

  /** Its part of the line from 0 to 1; undefined while it takes no part, or does not know the group yet. */
  get interval(): SlotInterval | undefined {
    if (!this.group.isSettled) return undefined;
    this.refresh();
    return this.ownInterval;
  }

  private refresh(): void {
    const { working, own } = this.group;
    if (working === this.among) return;
    this.among = working;
    const total = totalCapacity(working);
    const isWeighed = total > 0 && this.capacity > 0;
    this.share = isWeighed ? Math.min(1, this.capacity / total) : 1 / working.length;
    this.ownInterval = intervalAmong(working, own.nodeId);
  }
}

/** Members lie side by side in the order of their identifiers, each as long as its share of the capacity. */
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
