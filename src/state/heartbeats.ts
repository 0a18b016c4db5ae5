/**
 * Time of the last heartbeat of each member. Every datagram from a member is a heartbeat. Routers
 * of a large group also announce the ages of the heartbeats that they received. Ages are relative
 * and only grow in transit, so that neither delays nor clock differences make a heartbeat appear
 * more recent.
 */

/** A member and the age of its last heartbeat. */
export interface HeartbeatAge {
  readonly nodeId: string;
  readonly ageMs: number;
}

/** Last heartbeats by member. */
export class Heartbeats {
  private readonly lastHeartbeatMs = new Map<string, number>();

  /**
   * Records a heartbeat.
   *
   * @param ageMs age of the heartbeat, if another router received it
   */
  record(nodeId: string, nowMs: number, ageMs = 0): void {
    const atMs = nowMs - ageMs;
    if (atMs > (this.lastHeartbeatMs.get(nodeId) ?? -Infinity))
      this.lastHeartbeatMs.set(nodeId, atMs);
  }

  /** Time since the last heartbeat of the member; Infinity if there was none. */
  heartbeatAgeMs(nodeId: string, nowMs: number): number {
    return nowMs - (this.lastHeartbeatMs.get(nodeId) ?? -Infinity);
  }

  /** Members with a heartbeat within the given time span, in no particular order. */
  within(spanMs: number, nowMs: number): HeartbeatAge[] {
    const recent: HeartbeatAge[] = [];
    for (const [nodeId, atMs] of this.lastHeartbeatMs) {
      const ageMs = nowMs - atMs;
      if (ageMs <= spanMs) recent.push({ nodeId, ageMs });
    }
    return recent;
  }

  /** Removes all members except the given ones. */
  retain(nodeIds: ReadonlySet<string>): void {
    for (const nodeId of this.lastHeartbeatMs.keys()) {
      if (!nodeIds.has(nodeId)) this.lastHeartbeatMs.delete(nodeId);
    }
  }
}
