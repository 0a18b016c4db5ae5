/**
 * Which router gives orders for new weights. The holder of the lease goes on; the others stand by, each
 * a little later than the one before it, and only while the holder is silent. That only spares calls and
 * quarrels: the lease itself keeps two routers from giving orders at once. Pure.
 */

import { StorePosition } from '../../runtime/store-position.js';

/** How much later the next in line acts, if nothing happens. */
const STANDBY_DELAY_MS = 1_000;
/** A router whose orders were heard of within this time is left to go on. */
const INCUMBENT_PATIENCE_MS = 1_500;

/** The line of routers, as one of them sees it. */
export class CoordinatorSuccession {
  /** When another router last told of an order it gave. */
  private otherActedMs = -Infinity;
  /** The router that told of the newest write to the lease. */
  private incumbent: string | undefined;
  private incumbentPosition = StorePosition.start;

  /**
   * @param own identifier of this router
   * @param respondingRouters identifiers of the routers that were heard lately, this one included, in the
   *   order in which they stand by. Routers that hear few of their group begin together; the lease decides.
   * @param isAvailable whether nothing speaks against a router that may not have been heard lately
   */
  constructor(
    private readonly own: string,
    private readonly respondingRouters: () => readonly string[],
    private readonly isAvailable: (router: string) => boolean,
  ) {}

  /** Another router told of an order it gave. */
  noteOrder(nowMs: number): void {
    this.otherActedMs = nowMs;
  }

  /** Another router reported that it holds the lease, and the position of its last write. */
  noteHolder(router: string, position: StorePosition): void {
    if (position.isBefore(this.incumbentPosition)) return;
    this.incumbent = router;
    this.incumbentPosition = position;
  }

  /** When this router, which does not hold the lease, may act on work that is there since a moment. */
  beginsMs(workSinceMs: number): number {
    const idleSinceMs = Math.max(workSinceMs, this.otherActedMs + INCUMBENT_PATIENCE_MS);
    return idleSinceMs + this.routersBefore * STANDBY_DELAY_MS;
  }

  /** Routers that come before this one: the holder of the lease, then the order of all. */
  get routersBefore(): number {
    const routers = this.respondingRouters();
    const before = new Set(routers.slice(0, Math.max(0, routers.indexOf(this.own))));
    const { incumbent } = this;
    if (incumbent !== undefined && incumbent !== this.own && this.isAvailable(incumbent)) {
      before.add(incumbent);
    }
    return before.size;
  }
}
