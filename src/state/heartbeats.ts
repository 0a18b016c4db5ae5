/**
 * When each member of the group last sent something. Every datagram that a member sends is a heartbeat;
 * routers of a large group share the ages of those they heard. An age only grows on its way, so nothing
 * makes a silent member seem younger: not how news travel, nor another router's clock. Pure.
 */

/** A member and how long ago it was heard. */
export interface HeartbeatAge {
  readonly nodeId: string;
  readonly ageMs: number;
}

/** Last heartbeats by member. */
export class Heartbeats {
  private readonly heardMs = new Map<string, number>();

  /** @param ageMs how long ago the heartbeat was, where it was heard by another */
  note(nodeId: string, nowMs: number, ageMs = 0): void {
    const atMs = nowMs - ageMs;
    if (atMs > (this.heardMs.get(nodeId) ?? -Infinity)) this.heardMs.set(nodeId, atMs);
  }

  /** Milliseconds since the member was last heard; Infinity where it never was. */
  silenceMs(nodeId: string, nowMs: number): number {
    return nowMs - (this.heardMs.get(nodeId) ?? -Infinity);
  }

  /** Members heard within a span, in no particular order. */
  within(spanMs: number, nowMs: number): HeartbeatAge[] {
    const heard: HeartbeatAge[] = [];
    for (const [nodeId, atMs] of this.heardMs) {
      const ageMs = nowMs - atMs;
      if (ageMs <= spanMs) heard.push({ nodeId, ageMs });
    }
    return heard;
  }

  /** Forgets all but these members. */
  retain(nodeIds: ReadonlySet<string>): void {
    for (const nodeId of this.heardMs.keys()) {
      if (!nodeIds.has(nodeId)) this.heardMs.delete(nodeId);
    }
  }
}
