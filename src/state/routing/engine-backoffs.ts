/**
 * Pauses requested by engines. They are keyed by engine name, because a router may learn of a
 * restart only after the new incarnation requested a pause, and stored outside the engine registry,
 * because an engine may be missing from it temporarily.
 */
export class EngineBackoffs {
  private readonly untilMs = new Map<string, number>();

  /**
   * Records that the engine requested a pause.
   *
   * @param durationMs in milliseconds; does not shorten a pause that ends later
   */
  record(engineName: string, nowMs: number, durationMs: number): void {
    this.removeExpired(nowMs);
    const currentMs = this.untilMs.get(engineName) ?? -Infinity;
    this.untilMs.set(engineName, Math.max(currentMs, nowMs + durationMs));
  }

  /** Remaining time of the pause in milliseconds; 0 if there is none. */
  remainingMs(engineName: string, nowMs: number): number {
    return Math.max(0, (this.untilMs.get(engineName) ?? -Infinity) - nowMs);
  }

  private removeExpired(nowMs: number): void {
    for (const [name, untilMs] of this.untilMs) if (untilMs <= nowMs) this.untilMs.delete(name);
  }
}
