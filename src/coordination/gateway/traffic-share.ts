/**
 * This router's share of the group's requests: the directory sends callers to routers by their capacity.
 * Reckoned anew only when the members have changed, since each decision asks for it.
 */
import type { MemberUpdate } from '../../state/membership.js';

/** The group, as far as the share needs it. */
export interface SharingGroup {
  /** Members that take work; the same list until one of them changes. */
  readonly working: readonly MemberUpdate[];
}

/** The share of one router. */
export class TrafficShare {
  private among: readonly MemberUpdate[] | undefined;
  private share = 1;

  /** @param capacity this router's share of a processor core, in thousandths */
  constructor(
    private readonly group: SharingGroup,
    private readonly capacity: number,
  ) {}

  /** Above 0 to 1. */
  get now(): number {
    const { working } = this.group;
    if (working !== this.among) {
      this.among = working;
      this.share = this.shareAmong(working);
    }
    return this.share;
  }

  private shareAmong(working: readonly MemberUpdate[]): number {
    const total = working.reduce((sum, member) => sum + member.capacity, 0);
    if (total <= 0 || this.capacity <= 0) return 1 / working.length;
    return Math.min(1, this.capacity / total);
  }
}
