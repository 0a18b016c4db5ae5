/** Which router collects the work of a large group, as one router of it sees that. */
import type { MemberUpdate } from '../../state/membership.js';
import { PeerCooldowns } from '../../state/routing/peer-cooldowns.js';
import { byCapability } from '../../state/routing/store-readers.js';

/** The group, as far as the choice needs it. */
export interface CollectorGroup {
  readonly own: MemberUpdate;
  readonly working: readonly MemberUpdate[];
  /** Changes with every change of the view. */
  readonly version: number;
}

/** A collector that was passed over. */
export interface UnresponsiveCollector {
  readonly nodeId: string;
  readonly silentMs: number;
}

/** A collector that sent nothing for so many periods is passed over, for so long. */
const SILENT_PERIODS = 5;
const PASSED_OVER_MS = 3_000;

/** The most capable router collects; where it is silent, the next in order. */
export class CollectorChoice {
  private order: readonly MemberUpdate[] = [];
  private orderVersion = -1;
  private readonly passedOver = new PeerCooldowns(PASSED_OVER_MS);
  private present: MemberUpdate | undefined;
  /** When the present collector was last heard, or was chosen. */
  private heardMs = 0;

  constructor(private readonly group: CollectorGroup) {}

  /** The collector now; this router where all before it are passed over. */
  choose(now: number): MemberUpdate | undefined {
    const { nodeId: own } = this.group.own;
    const collector = this.ordered().find(
      ({ nodeId }) => nodeId === own || !this.passedOver.has(nodeId, now),
    );
    if (collector?.nodeId !== this.present?.nodeId) this.heardMs = now;
    this.present = collector;
    return collector;
  }

  /** A summary came. */
  noteHeard(nodeId: string, now: number): void {
    if (nodeId === this.present?.nodeId) this.heardMs = now;
    this.passedOver.remove(nodeId);
  }

  /** Passes the present collector over where it has been silent; answers which one. */
  passOverIfSilent(periodMs: number, now: number): UnresponsiveCollector | undefined {
    const nodeId = this.present?.nodeId;
    if (nodeId === undefined || nodeId === this.group.own.nodeId) return undefined;
    const silentMs = now - this.heardMs;
    if (silentMs < SILENT_PERIODS * periodMs) return undefined;
    this.passedOver.add(nodeId, now);
    return { nodeId, silentMs };
  }

  private ordered(): readonly MemberUpdate[] {
    if (this.orderVersion !== this.group.version) {
      this.orderVersion = this.group.version;
      this.order = [...this.group.working].sort(byCapability);
    }
    return this.order;
  }
}
