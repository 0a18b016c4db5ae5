/**
 * Detects pauses of the process, such as a frozen container or CPU throttling. Data read just after
 * a pause may have been buffered in the sockets, so it says nothing about the current state of its
 * sender. Must be called several times within {@link PAUSE_MS}.
 */

/** A longer gap between two calls is a pause: five check intervals of the group. */
export const PAUSE_MS = 500;
/** Time after a pause within which buffered data has been read. */
const RECOVERY_MS = 250;

/** Observes the time between calls. */
export class PauseDetector {
  private lastMs: number;
  private resumedMs = -Infinity;

  constructor(nowMs: number) {
    this.lastMs = nowMs;
  }

  /** Records that the process is running now. */
  observe(nowMs: number): void {
    if (nowMs - this.lastMs > PAUSE_MS) this.resumedMs = nowMs + RECOVERY_MS;
    this.lastMs = nowMs;
  }

  /** Whether data read now is recent, not buffered during a pause. */
  hasRecovered(nowMs: number): boolean {
    this.observe(nowMs);
    return nowMs >= this.resumedMs;
  }
}
