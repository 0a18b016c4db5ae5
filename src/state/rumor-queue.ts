/** Queue of announcements, each sent a limited number of times, the least sent ones first. */

interface QueuedAnnouncement<Value> {
  value: Value;
  transmissionsLeft: number;
}

/** Queued announcements by key; a newer one replaces an older one. */
export class RumorQueue<Key, Value> {
  private readonly announcements = new Map<Key, QueuedAnnouncement<Value>>();

  /** Queues a value for the given number of transmissions. */
  put(key: Key, value: Value, transmissions: number): void {
    this.announcements.set(key, { value, transmissionsLeft: transmissions });
  }

  /** Returns at most `limit` announcements for one message and counts one transmission of each. */
  take(limit: number): Value[] {
    if (this.announcements.size === 0) return [];
    const chosen = [...this.announcements]
      .sort(([, one], [, other]) => other.transmissionsLeft - one.transmissionsLeft)
      .slice(0, limit);
    for (const [key, announcement] of chosen) {
      announcement.transmissionsLeft -= 1;
      if (announcement.transmissionsLeft <= 0) this.announcements.delete(key);
    }
    return chosen.map(([, announcement]) => announcement.value);
  }
}
