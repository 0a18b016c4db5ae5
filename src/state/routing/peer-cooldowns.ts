/**
 * Cooldowns for peer routers that failed to respond. Skipping such a peer for a while avoids
 * waiting for another timeout on every query. Pure.
 */

/** Tracks which peers are in cooldown and until when. */
export class PeerCooldowns {
  private readonly untilMs = new Map<string, number>();

  /** @param durationMs length of a cooldown in milliseconds */
  constructor(private readonly durationMs: number) {}

  /** Starts or restarts the cooldown of a peer. */
  add(router: string, nowMs: number): void {
    this.untilMs.set(router, nowMs + this.durationMs);
  }

  /** Ends the cooldown of a peer that responded. */
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
