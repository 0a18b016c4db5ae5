/** Notices that a send takes so long that its request may go on elsewhere. */
import type { Clock, Timer } from '../../runtime/clock.js';

/** Why a send was given up. */
export type SendTimeoutReason = 'no-answer' | 'stalled';

/** A repeatable request is sent elsewhere after this many objectives without an answer. */
const PATIENCE_FACTOR = 1.25;
const MINIMUM_PATIENCE_MS = 300;
/** A resumable stream that stands still for this long continues elsewhere. */
const STALL_MS = 1_200;

/** The patience with the send that is under way; one wait at a time. */
export class SendTimeouts {
  private timer: Timer | undefined;

  constructor(
    private readonly clock: Clock,
    private readonly onImpatient: (reason: SendTimeoutReason) => void,
  ) {}

  /** Waits for the head of an answer, unless the caller's time is over sooner. Times in milliseconds. */
  awaitAnswer(objectiveMs: number, remainingMs: number): void {
    const patienceMs = Math.max(MINIMUM_PATIENCE_MS, objectiveMs * PATIENCE_FACTOR);
    if (patienceMs >= remainingMs) return;
    this.timer = this.clock.setTimer(patienceMs, () => this.onImpatient('no-answer'));
  }

  /** Waits for the next part of a stream. */
  awaitPart(): void {
    this.cancel();
    this.timer = this.clock.setTimer(STALL_MS, () => this.onImpatient('stalled'));
  }

  cancel(): void {
    this.timer?.cancel();
    this.timer = undefined;
  }
}
