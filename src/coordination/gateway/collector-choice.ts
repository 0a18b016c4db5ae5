/** Chooses the router that collects the loads of a large group, from one router's point of view. */
import type { MemberUpdate } from '../../state/membership.js';
import { PeerCooldowns } from '../../state/routing/peer-cooldowns.js';
import { byCapacity } from '../../state/routing/store-readers.js';

/** The parts of the group that the choice uses. */
export interface CollectorGroup {
  readonly own: MemberUpdate;
  readonly working: readonly MemberUpdate[];
  /** Increases with each change of the membership view. */
  readonly version: number;
}

/** A collector that was put into cooldown. */
export interface UnresponsiveCollector {
  readonly nodeId: string;
  readonly unresponsiveMs: number;
}

/** A collector that sent no summary for this many periods is put into cooldown. */
const UNRESPONSIVE_PERIODS = 5;
const COOLDOWN_MS = 3_000;

/** Chooses the router with the highest capability that is not in cooldown. */
export class CollectorChoice {
  private order: readonly MemberUpdate[] = [];
  private orderVersion = -1;
  private readonly cooldowns = new PeerCooldowns(COOLDOWN_MS);
  private current: MemberUpdate | undefined;
  /** Time of the current collector's last summary, or of its choice. */
  private lastSummaryMs = 0;

  constructor(private readonly group: CollectorGroup) {}

  /** The current collector; this router itself if all routers before it are in cooldown. */
  choose(now: number): MemberUpdate | undefined {
    const { nodeId: own } = this.group.own;
    const collector = this.ordered().find(
      ({ nodeId }) => nodeId === own || !this.cooldowns.has(nodeId, now),
    );
    if (collector?.nodeId !== this.current?.nodeId) this.lastSummaryMs = now;
    this.current = collector;
    return collector;
  }

  /** Records a summary received from a collector. */
  recordSummary(nodeId: string, now: number): void {
    if (nodeId === this.current?.nodeId) this.lastSummaryMs = now;
    this.cooldowns.remove(nodeId);
  }

  /** Puts an unresponsive current collector into cooldown and returns it. */
  startCooldownIfUnresponsive(periodMs: number, now: number): UnresponsiveCollector | undefined {
    const nodeId = this.current?.nodeId;
    if (nodeId === undefined || nodeId === this.group.own.nodeId) return undefined;
    const unresponsiveMs = now - this.lastSummaryMs;
    if (unresponsiveMs < UNRESPONSIVE_PERIODS * periodMs) return undefined;
    this.cooldowns.add(nodeId, now);
    return { nodeId, unresponsiveMs };
  }

  private ordered(): readonly MemberUpdate[] {
    if (this.orderVersion !== this.group.version) {
      this.orderVersion = this.group.version;
      this.order = [...this.group.working].sort(byCapacity);
    }
    return this.order;
  }
}
