/**
 * When each member of the group was last heard by this router itself: every datagram that a member sends
 * is a heartbeat. What others say of a member is none, so the age of a heartbeat never depends on how
 * news travel or on another router's clock. Pure.
 */

/** Last heartbeats by member. */
export class Heartbeats {
  private readonly heardMs = new Map<string, number>();

  note(nodeId: string, nowMs: number): void {
    this.heardMs.set(nodeId, nowMs);
  }

  /** Milliseconds since the member was last heard; Infinity where it never was. */
  silenceMs(nodeId: string, nowMs: number): number {
    return nowMs - (this.heardMs.get(nodeId) ?? -Infinity);
  }

  /** Forgets all but these members. */
  retain(nodeIds: ReadonlySet<string>): void {
    for (const nodeId of this.heardMs.keys()) {
      if (!nodeIds.has(nodeId)) this.heardMs.delete(nodeId);
    }
  }
}
