/**
 * Limits that engines name in their answers: the requests a second that one takes from all routers together, for as
 * long as its answers say so. Kept by the engine's name and apart from the list of engines, as pauses are. Pure.
 */

/** A limit in force, as far as this router knows. */
interface KnownLimit {
  /** Undefined: the engine has lifted its limit. */
  readonly perSecond: number | undefined;
  /** The engine said so no earlier than this. */
  readonly asOfMs: number;
}

/** The limits of all engines. */
export class EngineLimits {
  private readonly known = new Map<string, KnownLimit>();

  /**
   * An answer that has just come names a limit.
   *
   * @returns true where this changes what was known
   */
  noteNamed(engineName: string, perSecond: number, nowMs: number): boolean {
    return this.note(engineName, { perSecond, asOfMs: nowMs });
  }

  /**
   * An engine answered without naming a limit. Answers overtake one another, so this counts only where the request
   * was sent after the last answer with a limit came.
   *
   * @param sentMs when the request was sent
   * @returns true where this lifts a limit
   */
  noteUnnamed(engineName: string, sentMs: number): boolean {
    const present = this.known.get(engineName);
    if (present?.perSecond === undefined || sentMs <= present.asOfMs) return false;
    return this.note(engineName, { perSecond: undefined, asOfMs: sentMs });
  }

  /** Requests a second; undefined where the engine has named no limit, or lifted it. */
  perSecond(engineName: string): number | undefined {
    return this.known.get(engineName)?.perSecond;
  }

  private note(engineName: string, limit: KnownLimit): boolean {
    const before = this.perSecond(engineName);
    this.known.set(engineName, limit);
    return before !== limit.perSecond;
  }
}
