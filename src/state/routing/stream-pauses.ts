/**
 * Measures the pauses between the events of one stream that show how fast its engine generates.
 * Pure.
 */

/** Shorter pauses separate events that were received together. */
const MINIMUM_PAUSE_MS = 1;
/** A pause of at least this share of the one before counts at once. */
const CONFIRMING_SHARE = 0.9;
/**
 * A shorter pause counts only if the next one is at least this share of it. Otherwise it may end
 * with the last event of the stream, which has fewer tokens than the others.
 */
const MINIMUM_NEXT_SHARE = 0.5;

/** Pauses of one stream. */
export class StreamPauses {
  private lastEventMs: number | undefined;
  private latestMs: number | undefined;
  /** Duration of the latest pause, or its mean with a longer one before, if it has not counted. */
  private unconfirmedMs: number | undefined;

  /** Records an event; returns the duration of a pause that counts. */
  noteEvent(nowMs: number): number | undefined {
    const { lastEventMs } = this;
    this.lastEventMs = nowMs;
    if (lastEventMs === undefined) return undefined;
    const sampleMs = this.countedMs(nowMs - lastEventMs);
    return sampleMs !== undefined && sampleMs >= MINIMUM_PAUSE_MS ? sampleMs : undefined;
  }

  /** Discards the current pauses, because this router stopped reading the stream for a while. */
  interrupt(): void {
    this.lastEventMs = undefined;
    this.latestMs = undefined;
    this.unconfirmedMs = undefined;
  }

  private countedMs(pauseMs: number): number | undefined {
    const { latestMs, unconfirmedMs } = this;
    this.latestMs = pauseMs;
    this.unconfirmedMs = undefined;
    if (latestMs !== undefined && pauseMs >= latestMs * CONFIRMING_SHARE) return pauseMs;
    // An event that arrives late shortens the pause after it by as much.
    this.unconfirmedMs = latestMs === undefined ? pauseMs : (latestMs + pauseMs) / 2;
    const isConfirmed = latestMs !== undefined && pauseMs >= latestMs * MINIMUM_NEXT_SHARE;
    return isConfirmed ? unconfirmedMs : undefined;
  }
}
