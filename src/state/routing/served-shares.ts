/**
 * How large a share of the requests of each group is served while a service has too little room. A
 * group is a tenant, or the longest prompts. Finds groups that the order of the queue neglects.
 * Pure.
 */
import { IndexedHeap } from './indexed-heap.js';

/** Requests of a group by which shares are compared; older ones count less. */
interface GroupCount {
  readonly key: string;
  readonly minimumShare: number;
  offered: number;
  served: number;
  /** Requests that wait now. */
  waiting: number;
}

/** Offered requests from which on all counts are halved, so that the shares follow the load. */
const MAXIMUM_OFFERED = 400;
/** Groups with fewer requests have no meaningful share. */
const MINIMUM_OFFERED = 4;
/** Counts of groups without waiting requests are dropped below this. */
const NEGLIGIBLE_OFFERED = 0.5;

/** Served shares of the groups of one urgency. */
export class ServedShares {
  private readonly groups = new Map<string, GroupCount>();
  /** Groups with waiting requests, the least served first. */
  private readonly waiting = new IndexedHeap<GroupCount>(
    (left, right) => relativeShare(left) - relativeShare(right),
  );
  private offered = 0;
  private served = 0;

  /**
   * Records a request that starts to wait.
   *
   * @param minimumShare of the mean share that the group must get
   */
  noteOffered(key: string, minimumShare: number): void {
    this.change(this.groupOf(key, minimumShare), (group) => {
      group.offered += 1;
      group.waiting += 1;
    });
  }

  /** Records that a request of the group no longer waits. */
  noteLeft(key: string, isServed: boolean): void {
    const group = this.groups.get(key);
    if (!group) return;
    this.change(group, (each) => {
      each.waiting -= 1;
      if (isServed) each.served += 1;
    });
  }

  /** Records a request that started to wait, once, whatever its groups are. */
  noteTotalOffered(): void {
    this.offered += 1;
    if (this.offered >= MAXIMUM_OFFERED) this.halve();
  }

  noteTotalServed(): void {
    this.served += 1;
  }

  /** The waiting group furthest below its minimum share; undefined if none is below. */
  get neglected(): string | undefined {
    const group = this.waiting.first;
    if (!group || this.offered < MINIMUM_OFFERED) return undefined;
    return relativeShare(group) < this.served / this.offered ? group.key : undefined;
  }

  private groupOf(key: string, minimumShare: number): GroupCount {
    let group = this.groups.get(key);
    if (!group) {
      group = { key, minimumShare, offered: 0, served: 0, waiting: 0 };
      this.groups.set(key, group);
    }
    return group;
  }

  private change(group: GroupCount, apply: (group: GroupCount) => void): void {
    this.waiting.remove(group);
    apply(group);
    if (group.waiting > 0) this.waiting.add(group);
  }

  private halve(): void {
    this.offered /= 2;
    this.served /= 2;
    // Shares stay the same, except for groups that are dropped or become too small to compare.
    for (const group of [...this.groups.values()]) {
      this.change(group, (each) => {
        each.offered /= 2;
        each.served /= 2;
      });
      if (group.waiting === 0 && group.offered < NEGLIGIBLE_OFFERED) this.groups.delete(group.key);
    }
  }
}

/** Served share divided by the minimum share; groups with few requests count as served. */
function relativeShare({ offered, served, minimumShare }: GroupCount): number {
  return offered < MINIMUM_OFFERED ? Infinity : served / offered / minimumShare;
}
