/**
 * Which requests broke together with an engine. A connection that breaks says little by itself: engines
 * cut answers, networks reset connections. Only where the engine then refuses new connections has it
 * crashed, and each of the requests that it was running may be the cause. Pure.
 */

/** What a broken request calls for. */
export enum BreakFinding {
  /** Nobody knows yet whether the engine crashed: it must be checked. */
  NeedsCheck = 'needs-check',
  /** A check is under way already. */
  AwaitsCheck = 'awaits-check',
  /** The engine is known to have crashed. */
  Crashed = 'crashed',
}

/** Crashed incarnations that are remembered; they leave the list of engines within seconds. */
const MAXIMUM_CRASHED = 1_024;

/** Broken requests by engine, until it is known whether the engine crashed. */
export class EngineCrashes {
  private readonly awaiting = new Map<string, Set<string>>();
  private readonly crashed = new Set<string>();

  /** The connection on which an engine was running a request broke. */
  noteBreak(engineId: string, fingerprint: string): BreakFinding {
    if (this.crashed.has(engineId)) return BreakFinding.Crashed;
    const awaiting = this.awaiting.get(engineId);
    if (awaiting) {
      awaiting.add(fingerprint);
      return BreakFinding.AwaitsCheck;
    }
    this.awaiting.set(engineId, new Set([fingerprint]));
    return BreakFinding.NeedsCheck;
  }

  /** The check found nobody at the engine's address; answers the requests that broke with it. */
  noteCrashed(engineId: string): string[] {
    if (this.crashed.size >= MAXIMUM_CRASHED) this.crashed.clear();
    this.crashed.add(engineId);
    return this.takeAwaiting(engineId);
  }

  /** The check found the engine running, or found nothing out. */
  noteNotCrashed(engineId: string): void {
    this.takeAwaiting(engineId);
  }

  private takeAwaiting(engineId: string): string[] {
    const awaiting = this.awaiting.get(engineId);
    this.awaiting.delete(engineId);
    return [...(awaiting ?? [])];
  }
}
