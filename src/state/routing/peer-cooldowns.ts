/**
 * Routers that are passed over for a while, since they did not answer: asked again and again, each would
 * cost a wait. Pure.
 */

/** Who is passed over, and until when. */
export class PeerCooldowns {
  private readonly untilMs = new Map<string, number>();

  /** @param forMs how long a router is passed over, in milliseconds */
  constructor(private readonly forMs: number) {}

  /** Passes a router over from now on. */
  add(router: string, nowMs: number): void {
    this.untilMs.set(router, nowMs + this.forMs);
  }

  /** The router has answered. */
  remove(router: string): void {
    this.untilMs.delete(router);
  }

  has(router: string, nowMs: number): boolean {
    const untilMs = this.untilMs.get(router);
    if (untilMs === undefined) return false;
    if (nowMs < untilMs) return true;
    this.untilMs.delete(router);
    return false;
  }
}
