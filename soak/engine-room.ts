/** The room of a fake engine, and its failure when it is brittle and rejects too many requests. */

const WINDOW_MS = 1_000;

/** A rejection for want of room. */
interface Rejection {
  readonly requestId: string;
  readonly atMs: number;
}

/** The slots of one engine. */
export class EngineRoom {
  private running = 0;
  private tolerated: number | undefined;
  private failsFromMs = Infinity;
  private rejections: Rejection[] = [];

  constructor(readonly slots: number) {}

  get isFull(): boolean {
    return this.running >= this.slots;
  }

  get runningRequests(): number {
    return this.running;
  }

  /** Rejections in a second that the engine tolerates; undefined if it tolerates any number. */
  get tolerance(): number | undefined {
    return this.tolerated;
  }

  /** @param failsFromMs time from which the engine may fail, in milliseconds since the epoch */
  setTolerance(tolerance: number | undefined, failsFromMs: number): void {
    this.tolerated = tolerance;
    this.failsFromMs = failsFromMs;
  }

  /** Takes a slot. Returns the function that frees it. */
  take(): () => void {
    this.running += 1;
    return () => (this.running -= 1);
  }

  /**
   * Records a rejection for want of room.
   *
   * @returns the requests rejected in the last second if they are more than the engine tolerates
   */
  noteRejection(requestId: string, atMs: number): string[] | undefined {
    this.rejections = this.rejections.filter((earlier) => atMs - earlier.atMs < WINDOW_MS);
    this.rejections.push({ requestId, atMs });
    if (this.tolerated === undefined || atMs < this.failsFromMs) return undefined;
    if (this.rejections.length <= this.tolerated) return undefined;
    return this.rejections.map((rejection) => rejection.requestId);
  }
}
