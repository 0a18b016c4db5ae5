/**
 * Engines, or services, that have ended a stream without a length before its last event by closing the
 * connection. What ends streams early once is likely to do so again.
 */

/** Time for which an early end is remembered. */
const RETENTION_MS = 60_000;

/** The early ends that one router has seen, by the name of what has ended the stream. */
export class EarlyEnds {
  private readonly seenMs = new Map<string, number>();

  note(name: string, nowMs: number): void {
    this.expire(nowMs);
    this.seenMs.set(name, nowMs);
  }

  /** Whether there was an early end within the retention. */
  has(name: string, nowMs: number): boolean {
    const seenMs = this.seenMs.get(name);
    return seenMs !== undefined && nowMs - seenMs < RETENTION_MS;
  }

  /** Names of engines that are gone would take memory otherwise. */
  private expire(nowMs: number): void {
    for (const [name, seenMs] of this.seenMs)
      if (nowMs - seenMs >= RETENTION_MS) this.seenMs.delete(name);
  }
}
