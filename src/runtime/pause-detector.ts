/**
 * Detects whether the process has stood still lately, frozen or without a turn on its processor. What it
 * reads just after such a pause may have waited in the buffers of its sockets, so it shows nothing of the
 * present. Pure; it must be called several times within {@link PAUSE_MS}.
 */

/** A longer gap between two looks at the clock is a pause: five of the checks that the group runs. */
export const PAUSE_MS = 500;
/** After a pause the buffers are read empty within this time. */
const SETTLING_MS = 250;

/** Watches the time that passes between calls. */
export class PauseDetector {
  private lastMs: number;
  private settledMs = -Infinity;

  constructor(nowMs: number) {
    this.lastMs = nowMs;
  }

  /** Takes note that the process runs now. */
  note(nowMs: number): void {
    if (nowMs - this.lastMs > PAUSE_MS) this.settledMs = nowMs + SETTLING_MS;
    this.lastMs = nowMs;
  }

  /** Whether what is read now was sent lately. */
  isSettled(nowMs: number): boolean {
    this.note(nowMs);
    return nowMs >= this.settledMs;
  }
}
