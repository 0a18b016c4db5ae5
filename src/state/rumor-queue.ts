/** News that a node passes on a limited number of times, the least often told first. */

interface Rumor<Value> {
  value: Value;
  /** Transmissions left. */
  left: number;
}

/** Rumors by key; a newer one replaces the older. */
export class RumorQueue<Key, Value> {
  private readonly rumors = new Map<Key, Rumor<Value>>();

  /** Passes the value on that many times. */
  put(key: Key, value: Value, transmissions: number): void {
    this.rumors.set(key, { value, left: transmissions });
  }

  /** The rumors for one message, at most `limit`; each counts as told once. */
  take(limit: number): Value[] {
    if (this.rumors.size === 0) return [];
    const chosen = [...this.rumors]
      .sort(([, one], [, other]) => other.left - one.left)
      .slice(0, limit);
    for (const [key, rumor] of chosen) {
      rumor.left -= 1;
      if (rumor.left <= 0) this.rumors.delete(key);
    }
    return chosen.map(([, rumor]) => rumor.value);
  }
}
