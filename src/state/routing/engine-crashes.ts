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
  /** The engine is known to have crashed before the request was sent: another life of it had this one. */
  Unrelated = 'unrelated',
}

/** A request that broke; both times in Unix milliseconds. */
export interface BrokenRequest {
  readonly fingerprint: string;
  readonly sentMs: number;
  readonly brokenMs: number;
}

/** Crashed incarnations that are remembered; they leave the list of engines within seconds. */
const MAXIMUM_CRASHED = 1_024;
/** Engines whose unexplained breaks are remembered. */
const MAXIMUM_UNEXPLAINED = 256;
/** A new start within this time explains a break, in milliseconds. */
const EXPLAINED_WITHIN_MS = 5_000;
/** Connections of a process that ends close together: breaks that came before the last by more are others. */
const CRASH_SPREAD_MS = 100;

/** Broken requests by engine, until it is known whether the engine crashed. */
export class EngineCrashes {
  private readonly awaiting = new Map<string, BrokenRequest[]>();
  /** Breaks at engines that were found accepting connections: a later start may explain them. */
  private readonly unexplained = new Map<string, BrokenRequest[]>();
  /** Crashed incarnations, with the start of the life that followed where that is known. */
  private readonly crashed = new Map<string, number | undefined>();

  /** Whether this incarnation is known to have crashed. */
  isCrashed(engineId: string): boolean {
    return this.crashed.has(engineId);
  }

  /** The connection on which an engine was running a request broke. */
  noteBreak(engineId: string, broken: BrokenRequest): BreakFinding {
    if (this.crashed.has(engineId)) {
      const nextBornMs = this.crashed.get(engineId) ?? Infinity;
      return broken.sentMs < nextBornMs ? BreakFinding.Crashed : BreakFinding.Unrelated;
    }
    const awaiting = this.awaiting.get(engineId);
    if (awaiting) {
      awaiting.push(broken);
      return BreakFinding.AwaitsCheck;
    }
    this.awaiting.set(engineId, [broken]);
    return BreakFinding.NeedsCheck;
  }

  /** The check found nobody at the engine's address; answers the requests that broke with it. */
  noteCrashed(engineId: string): string[] {
    this.enterCrashed(engineId, undefined);
    return fingerprintsOf(this.take(this.awaiting, engineId));
  }

  /** The check found the engine running, or found nothing out. */
  noteNotCrashed(engineId: string): void {
    const broken = this.take(this.awaiting, engineId);
    if (broken.length === 0) return;
    const earlier = this.take(this.unexplained, engineId);
    this.unexplained.set(engineId, closeTogether([...earlier, ...broken]));
    if (this.unexplained.size <= MAXIMUM_UNEXPLAINED) return;
    const [oldest] = this.unexplained.keys();
    if (oldest !== undefined) this.unexplained.delete(oldest);
  }

  /**
   * A later life of the engine has begun, so this one is over; answers the requests that broke with it,
   * undefined where it was known to have crashed, so that one end counts once.
   *
   * @param bornMs start of the later life, Unix milliseconds
   */
  noteReborn(engineId: string, bornMs: number): string[] | undefined {
    const isKnown = this.crashed.has(engineId);
    const earlier = this.take(this.unexplained, engineId);
    const broken = [...earlier, ...this.take(this.awaiting, engineId)];
    this.enterCrashed(engineId, bornMs);
    if (isKnown) return undefined;
    const explained = broken.filter(
      ({ sentMs, brokenMs }) => sentMs < bornMs && brokenMs > bornMs - EXPLAINED_WITHIN_MS,
    );
    return fingerprintsOf(closeTogether(explained));
  }

  private enterCrashed(engineId: string, nextBornMs: number | undefined): void {
    if (this.crashed.size >= MAXIMUM_CRASHED) this.crashed.clear();
    this.crashed.set(engineId, nextBornMs);
  }

  private take(from: Map<string, BrokenRequest[]>, engineId: string): BrokenRequest[] {
    const taken = from.get(engineId) ?? [];
    from.delete(engineId);
    return taken;
  }
}

/** The breaks that came with the last one. */
function closeTogether(broken: readonly BrokenRequest[]): BrokenRequest[] {
  const lastMs = Math.max(...broken.map(({ brokenMs }) => brokenMs));
  return broken.filter(({ brokenMs }) => brokenMs > lastMs - CRASH_SPREAD_MS);
}

function fingerprintsOf(broken: readonly BrokenRequest[]): string[] {
  return [...new Set(broken.map(({ fingerprint }) => fingerprint))];
}
