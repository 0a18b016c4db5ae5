/**
 * How much later than reckoned engines begin what they are sent. Engines of one service differ in speed, and some
 * turn several times slower for a while; the tokens known to be read there do not show it. Pure.
 */

interface Lateness {
  readonly lateMs: number;
  readonly notedMs: number;
}

/** Share of the former lateness that a sooner beginning leaves. */
const SOONER_SHARE = 0.5;
/** Without news the lateness halves in this time: a slow engine is tried again within seconds. */
const HALF_LIFE_MS = 2_000;

/** The lateness of all engines, by incarnation. */
export class EnginePace {
  private readonly byEngine = new Map<string, Lateness>();

  /** A request began `lateMs` later than was reckoned when it was sent; 0 or less where it was in time. */
  noteBegun(engineId: string, lateMs: number, nowMs: number): void {
    const leftMs = this.lateMs(engineId, nowMs) * SOONER_SHARE;
    this.byEngine.set(engineId, { lateMs: Math.max(0, lateMs, leftMs), notedMs: nowMs });
  }

  /** A request was given up that has waited so much longer than reckoned and has not begun. */
  noteWaiting(engineId: string, lateMs: number, nowMs: number): void {
    if (lateMs > this.lateMs(engineId, nowMs)) {
      this.byEngine.set(engineId, { lateMs, notedMs: nowMs });
    }
  }

  /** How much later than reckoned a request sent now may begin, in milliseconds. */
  lateMs(engineId: string, nowMs: number): number {
    const lateness = this.byEngine.get(engineId);
    if (!lateness) return 0;
    return lateness.lateMs * 0.5 ** ((nowMs - lateness.notedMs) / HALF_LIFE_MS);
  }

  retain(engineIds: ReadonlySet<string>): void {
    for (const id of this.byEngine.keys()) if (!engineIds.has(id)) this.byEngine.delete(id);
  }
}
