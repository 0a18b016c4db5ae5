/**
 * Measures the pauses between the events of one stream that tell how fast its engine generates.
 * Pure.
 */

/** Shorter pauses separate events that were received together. */
const MINIMUM_PAUSE_MS = 1;
/**
 * A pause is ignored if the next one is shorter than this share of it. The next one then belongs to
 * a last event with fewer tokens or to events that were held up, or this one includes the prefill of
 * another prompt.
 */
const MINIMUM_NEXT_SHARE = 0.5;

/** Pauses of one stream. Each is reported one event late, since the next pause qualifies it. */
export class StreamPauses {
  private lastEventMs: number | undefined;
  private latestMs: number | undefined;
  private beforeLatestMs: number | undefined;

  /** Records an event; returns the duration of the pause before the previous event if it counts. */
  noteEvent(nowMs: number): number | undefined {
    const { lastEventMs } = this;
    this.lastEventMs = nowMs;
    if (lastEventMs === undefined) return undefined;
    const pauseMs = nowMs - lastEventMs;
    const sampleMs = this.sampleBefore(pauseMs);
    this.beforeLatestMs = this.latestMs;
    this.latestMs = pauseMs;
    return sampleMs;
  }

  /** Discards the current pauses, because this router stopped reading the stream for a while. */
  interrupt(): void {
    this.lastEventMs = undefined;
    this.latestMs = undefined;
    this.beforeLatestMs = undefined;
  }

  private sampleBefore(nextMs: number): number | undefined {
    const { latestMs, beforeLatestMs } = this;
    if (latestMs === undefined || latestMs < MINIMUM_PAUSE_MS) return undefined;
    if (nextMs < latestMs * MINIMUM_NEXT_SHARE) return undefined;
    if (beforeLatestMs === undefined) return latestMs;
    // An event that arrives late shortens the pause after it by as much.
    return Math.max(latestMs, (beforeLatestMs + latestMs) / 2);
  }
}
