/**
 * Decides when a router on standby may try to become the coordinator. The routers on standby are
 * ordered and each waits a little longer than the one before it, which avoids needless calls and
 * write conflicts. The lease alone guarantees that no two routers send load commands at once. Pure.
 */

import { StorePosition } from '../../runtime/store-position.js';

/** Additional delay for each router that comes before this one. */
const STANDBY_DELAY_MS = 1_000;
/** A router that announced a load command within this time counts as the active coordinator. */
const INCUMBENT_TIMEOUT_MS = 1_500;

/** The order of succession, as one router computes it. */
export class CoordinatorSuccession {
  /** When another router last announced a load command. */
  private otherCommandMs = -Infinity;
  /** The router that reported the newest write to the lease. */
  private incumbent: string | undefined;
  private incumbentPosition = StorePosition.start;

  /**
   * @param own identifier of this router
   * @param respondingRouters identifiers of the responsive routers, this one included, in the order
   *   of succession. Routers that reach only a part of their group may act at the same time; the
   *   lease decides.
   * @param isAvailable whether a router is not known to be down, even if it is not among the
   *   responsive ones
   */
  constructor(
    private readonly own: string,
    private readonly respondingRouters: () => readonly string[],
    private readonly isAvailable: (router: string) => boolean,
  ) {}

  /** Records that another router announced a load command. */
  recordPeerCommand(nowMs: number): void {
    this.otherCommandMs = nowMs;
  }

  /** Records a router that reported holding the lease, and the position of its last write. */
  recordLeaseHolder(router: string, position: StorePosition): void {
    if (position.isBefore(this.incumbentPosition)) return;
    this.incumbent = router;
    this.incumbentPosition = position;
  }

  /** When this router may act, without the lease, on work pending since `workSinceMs`. */
  earliestStartMs(workSinceMs: number): number {
    const idleSinceMs = Math.max(workSinceMs, this.otherCommandMs + INCUMBENT_TIMEOUT_MS);
    return idleSinceMs + this.precedingRouterCount * STANDBY_DELAY_MS;
  }

  /** Number of routers before this one: the lease holder and those earlier in the order. */
  get precedingRouterCount(): number {
    const routers = this.respondingRouters();
    const before = new Set(routers.slice(0, Math.max(0, routers.indexOf(this.own))));
    const { incumbent } = this;
    if (incumbent !== undefined && incumbent !== this.own && this.isAvailable(incumbent)) {
      before.add(incumbent);
    }
    return before.size;
  }
}
