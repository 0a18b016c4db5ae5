/**
 * Pauses that engines have asked this router for. Kept by the engine's name, since a router may hear of a restart
 * only after the new life has asked, and apart from the list of engines, where one may be missing for a moment.
 */
export class EngineBackoffs {
  private readonly untilMs = new Map<string, number>();

  /**
   * The engine wants no requests from now on.
   *
   * @param forMs in milliseconds; a pause that ends later stays
   */
  note(engineName: string, nowMs: number, forMs: number): void {
    this.forgetEnded(nowMs);
    const presentMs = this.untilMs.get(engineName) ?? -Infinity;
    this.untilMs.set(engineName, Math.max(presentMs, nowMs + forMs));
  }

  /** Time until the pause is over, in milliseconds; 0 where there is none. */
  remainingMs(engineName: string, nowMs: number): number {
    return Math.max(0, (this.untilMs.get(engineName) ?? -Infinity) - nowMs);
  }

  private forgetEnded(nowMs: number): void {
    for (const [name, untilMs] of this.untilMs) if (untilMs <= nowMs) this.untilMs.delete(name);
  }
}
