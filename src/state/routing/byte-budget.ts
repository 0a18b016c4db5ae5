/**
 * Budget of the bytes that a router holds for callers and engines: responses that callers have not
 * taken yet and request bodies that engines have not taken yet. Pure.
 *
 * Bodies are admitted, and dropped only while they are being read: for others, those that stand still
 * or are larger. Responses are never refused but may be dropped. Bodies get only a part of the budget,
 * so that they can't crowd out the responses.
 */

/** Bounds in bytes. */
export interface ByteBudgetSettings {
  readonly totalBytes: number;
  /** The engine's stream is paused while one response holds more than this. */
  readonly responseBytes: number;
  /** Bodies of all requests together. */
  readonly bodyBytes: number;
  /** Bodies that one engine has not taken yet. */
  readonly engineBodyBytes: number;
}

/** Share of the budget for one response; 16 stopped callers fill it before one is dropped. */
const RESPONSE_SHARE = 1 / 16;
const BODY_SHARE = 0.5;
/** Time without progress from which a body that is being read counts as standing still. */
const STALLED_BODY_MS = 500;
/** Share for the bodies queued at one engine, so that one slow engine can't use up all of it. */
const ENGINE_BODY_SHARE = BODY_SHARE / 4;
/** A paused stream continues when its response holds at most this share of its bound. */
const RESUME_SHARE = 0.5;

/**
 * Derives the bounds from the size of the budget.
 *
 * @throws RangeError if it is not a positive number of bytes
 */
export function byteBudgetOf(totalBytes: number): ByteBudgetSettings {
  if (!(totalBytes >= 1) || totalBytes === Infinity) {
    throw new RangeError(`byte budget is ${totalBytes}, expected a positive number of bytes`);
  }
  return {
    totalBytes: Math.floor(totalBytes),
    responseBytes: Math.floor(totalBytes * RESPONSE_SHARE),
    bodyBytes: Math.floor(totalBytes * BODY_SHARE),
    engineBodyBytes: Math.floor(totalBytes * ENGINE_BODY_SHARE),
  };
}

/** What the router holds for one caller. */
export interface ResponseShare {
  readonly bytes: number;
  /** Monotonic time at which the caller last took bytes, or at which the first ones were held. */
  readonly progressMs: number;
  /** Whether the engine's stream may be read on. */
  readonly mayGrow: boolean;
  /** Whether a paused stream should continue. */
  readonly mayResume: boolean;
  /** Sets the bytes held now. May drop this response or others. */
  update(bytes: number, nowMs: number): void;
  release(): void;
}

/** What the router holds of one request body. */
export interface BodyShare {
  /**
   * Counts bytes that are read, before the body is sent. Returns false, without counting, if there is
   * no room for them and no other body can be dropped.
   */
  grow(bytes: number, nowMs?: number): boolean;
  /** More of the body has arrived. */
  noteProgress(nowMs: number): void;
  /** The whole body has been read. It is not dropped any more. */
  complete(): void;
  /** The whole body is sent to an engine, for the first time or again. */
  queueAt(engineId: string): void;
  /** The engine has taken the whole body. */
  noteTaken(): void;
  /** The send ended. A body that was not taken is still held, for another send. */
  leaveEngine(): void;
  release(): void;
}

/** Decides who may hold more, whose engine is paused and who is dropped. */
export class ByteBudget {
  private readonly responses = new Set<HeldResponseBytes>();
  /** Bodies that are being read and can be dropped. */
  private readonly arriving = new Set<HeldBodyBytes>();
  private readonly queuedByEngine = new Map<string, number>();
  private responseTotal = 0;
  private bodyTotal = 0;

  constructor(readonly settings: ByteBudgetSettings) {}

  get heldBytes(): number {
    return this.responseTotal + this.bodyTotal;
  }

  get heldBodyBytes(): number {
    return this.bodyTotal;
  }

  /** Bytes of bodies that were sent to the engine and that it has not taken. */
  queuedAt(engineId: string): number {
    return this.queuedByEngine.get(engineId) ?? 0;
  }

  /** @param drop called at most once, after the bytes of the response were released */
  openResponse(nowMs: number, drop: (dropped: DroppedBytes) => void): ResponseShare {
    const response = new HeldResponseBytes(this, nowMs, drop);
    this.responses.add(response);
    return response;
  }

  /**
   * @param drop called at most once, after the bytes of the body were released; without it, the body
   *   is never dropped
   */
  openBody(nowMs = 0, drop?: (dropped: DroppedBytes) => void): BodyShare {
    const body = new HeldBodyBytes(this, nowMs, drop);
    if (drop) this.arriving.add(body);
    return body;
  }

  /** Whether there is room for a body of this many bytes. */
  admitsBody(bytes: number): boolean {
    const { bodyBytes, totalBytes } = this.settings;
    return this.bodyTotal + bytes <= bodyBytes && this.heldBytes + bytes <= totalBytes;
  }

  /**
   * Makes room for so many bytes of a body: drops bodies that are being read and stand still, the
   * stillest first, then larger ones, the largest first. Drops none if that does not suffice.
   *
   * @param body the one that grows; undefined if it is not being read yet
   */
  makeRoom(bytes: number, nowMs: number, body?: HeldBodyBytes): boolean {
    if (this.admitsBody(bytes)) return true;
    const candidates = this.droppableFor(bytes, nowMs, body);
    const reclaimable = candidates.reduce((sum, each) => sum + each.bytes, 0);
    if (!this.admitsBody(bytes - reclaimable)) return false;
    for (const candidate of candidates) {
      if (this.admitsBody(bytes)) break;
      candidate.drop(nowMs);
    }
    return true;
  }

  /** The body is not being read any more. */
  endArrival(body: HeldBodyBytes): void {
    this.arriving.delete(body);
  }

  /** Whether a body may be sent to the engine; one of any size if it has taken all others. */
  hasRoomAt(engineId: string, bytes: number): boolean {
    const queued = this.queuedAt(engineId);
    return queued === 0 || queued + bytes <= this.settings.engineBodyBytes;
  }

  /**
   * Applies a change of one response, and drops responses while the total exceeds the budget. Bodies
   * that are sent again may have exceeded it, so this also follows a decrease.
   */
  changeResponse(delta: number, nowMs: number): void {
    this.responseTotal += delta;
    this.dropExcess(nowMs);
  }

  /** Applies a change of one body. */
  changeBody(delta: number): void {
    this.bodyTotal += delta;
  }

  /** Applies a change of the bodies queued at an engine. */
  changeQueue(engineId: string, delta: number): void {
    const queued = this.queuedAt(engineId) + delta;
    if (queued > 0) this.queuedByEngine.set(engineId, queued);
    else this.queuedByEngine.delete(engineId);
  }

  /** Forgets a response and its bytes. */
  remove(response: HeldResponseBytes): void {
    this.responses.delete(response);
    this.responseTotal -= response.bytes;
  }

  /** Sorts the bodies that are being read, which takes place only where there is no room. */
  private droppableFor(bytes: number, nowMs: number, body?: HeldBodyBytes): HeldBodyBytes[] {
    const others = [...this.arriving].filter((each) => each !== body && each.bytes > 0);
    const isStalled = (each: HeldBodyBytes): boolean => nowMs - each.progressMs >= STALLED_BODY_MS;
    const ownBytes = (body?.bytes ?? 0) + bytes;
    const stalled = others.filter(isStalled).sort((one, two) => one.progressMs - two.progressMs);
    const larger = others
      .filter((each) => !isStalled(each) && each.bytes > ownBytes)
      .sort((one, two) => two.bytes - one.bytes);
    return [...stalled, ...larger];
  }

  /**
   * Takes time in proportion to the responses, but only for each one that is dropped. Terminates
   * because each step releases a response that holds bytes.
   */
  private dropExcess(nowMs: number): void {
    while (this.heldBytes > this.settings.totalBytes) {
      const largest = this.largestResponse();
      if (!largest) return;
      largest.drop(nowMs);
    }
  }

  private largestResponse(): HeldResponseBytes | undefined {
    let largest: HeldResponseBytes | undefined;
    for (const each of this.responses) {
      if (each.bytes === 0) continue;
      if (!largest || each.bytes > largest.bytes || isSlowerEqual(each, largest)) largest = each;
    }
    return largest;
  }
}

/** A response or body that was dropped. */
export interface DroppedBytes {
  readonly bytes: number;
  /** Time since its caller last took or sent bytes, in milliseconds. */
  readonly stalledMs: number;
}

function isSlowerEqual(left: HeldResponseBytes, right: HeldResponseBytes): boolean {
  return left.bytes === right.bytes && left.progressMs < right.progressMs;
}

class HeldResponseBytes implements ResponseShare {
  bytes = 0;
  private isReleased = false;

  constructor(
    private readonly budget: ByteBudget,
    public progressMs: number,
    private readonly onDropped: (dropped: DroppedBytes) => void,
  ) {}

  get mayGrow(): boolean {
    return this.bytes <= this.budget.settings.responseBytes;
  }

  get mayResume(): boolean {
    return this.bytes <= this.budget.settings.responseBytes * RESUME_SHARE;
  }

  update(bytes: number, nowMs: number): void {
    if (this.isReleased) return;
    const delta = bytes - this.bytes;
    if (delta < 0 || this.bytes === 0) this.progressMs = nowMs;
    this.bytes = bytes;
    this.budget.changeResponse(delta, nowMs);
  }

  release(): void {
    if (this.isReleased) return;
    this.isReleased = true;
    this.budget.remove(this);
    this.bytes = 0;
  }

  drop(nowMs: number): void {
    const dropped = { bytes: this.bytes, stalledMs: nowMs - this.progressMs };
    this.release();
    this.onDropped(dropped);
  }
}

class HeldBodyBytes implements BodyShare {
  bytes = 0;
  private isCounted = true;
  private isReleased = false;
  private engineId: string | undefined;

  constructor(
    private readonly budget: ByteBudget,
    public progressMs: number,
    private readonly onDropped?: (dropped: DroppedBytes) => void,
  ) {}

  grow(bytes: number, nowMs = 0): boolean {
    const isBeingRead = !this.isReleased && this.isCounted && this.engineId === undefined;
    if (!isBeingRead || !this.budget.makeRoom(bytes, nowMs, this)) return false;
    this.bytes += bytes;
    this.budget.changeBody(bytes);
    return true;
  }

  noteProgress(nowMs: number): void {
    this.progressMs = nowMs;
  }

  complete(): void {
    this.budget.endArrival(this);
  }

  drop(nowMs: number): void {
    const dropped = { bytes: this.bytes, stalledMs: nowMs - this.progressMs };
    this.release();
    this.onDropped?.(dropped);
  }

  queueAt(engineId: string): void {
    if (this.isReleased) return;
    this.leaveEngine();
    this.count();
    this.engineId = engineId;
    this.budget.changeQueue(engineId, this.bytes);
  }

  noteTaken(): void {
    if (this.engineId === undefined) return;
    this.leaveEngine();
    this.uncount();
  }

  leaveEngine(): void {
    if (this.engineId === undefined) return;
    this.budget.changeQueue(this.engineId, -this.bytes);
    this.engineId = undefined;
  }

  release(): void {
    if (this.isReleased) return;
    this.budget.endArrival(this);
    this.leaveEngine();
    this.uncount();
    this.isReleased = true;
  }

  private count(): void {
    if (this.isCounted) return;
    this.isCounted = true;
    this.budget.changeBody(this.bytes);
  }

  private uncount(): void {
    if (!this.isCounted) return;
    this.isCounted = false;
    this.budget.changeBody(-this.bytes);
  }
}
