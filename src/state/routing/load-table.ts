/** Work at engines: what this router has sent and what the other routers last told. */

/** Work under way at one engine. */
export interface EngineLoad {
  readonly requests: number;
  /** Prompt tokens not known to be read yet. */
  readonly unreadTokens: number;
  /** Tokens whose memory the requests hold. */
  readonly heldTokens: number;
}

/** A report of work, by engine. */
export type LoadReport = ReadonlyMap<string, EngineLoad>;

interface StoredReport {
  readonly loads: LoadReport;
  readonly untilMs: number;
  readonly sequence: number;
}

/** Reports older than this say nothing about the present. */
export const REPORT_LIFETIME_MS = 2_000;

const NO_LOAD: EngineLoad = { requests: 0, unreadTokens: 0, heldTokens: 0 };

/** Sums own and reported work. */
export class LoadTable {
  private readonly own = new Map<string, EngineLoad>();
  private readonly reports = new Map<string, StoredReport>();
  /** Sums of the reports; kept up by differences, since a report comes for each few requests. */
  private readonly totals = new Map<string, EngineLoad>();
  private changes = 0;

  /** Changes this router's own work at an engine by the given amounts. */
  change(engineId: string, change: EngineLoad): void {
    this.changes += 1;
    const next = addLoads(this.own.get(engineId) ?? NO_LOAD, change);
    if (next.requests <= 0) this.own.delete(engineId);
    else this.own.set(engineId, next);
  }

  /** This router's own work, to tell the others. */
  get ownLoads(): LoadReport {
    return this.own;
  }

  /** Changes with every change of the own work. */
  get ownVersion(): number {
    return this.changes;
  }

  /** This router's own requests at an engine. */
  ownRequestsAt(engineId: string): number {
    return this.own.get(engineId)?.requests ?? 0;
  }

  /**
   * Takes a report of work that is not this router's own; one that was overtaken by a newer is dropped.
   *
   * @param source who reports: a router its own work, or a collector that of many
   */
  receive(
    source: string,
    sequence: number,
    loads: LoadReport,
    nowMs: number,
    lifetimeMs = REPORT_LIFETIME_MS,
  ): void {
    const present = this.reports.get(source);
    const isFresh = present !== undefined && nowMs < present.untilMs;
    if (isFresh && present.sequence >= sequence) return;
    if (present) this.subtract(present.loads);
    this.reports.set(source, { loads, untilMs: nowMs + lifetimeMs, sequence });
    this.add(loads);
  }

  /** Work of all routers at an engine. */
  at(engineId: string): EngineLoad {
    const own = this.own.get(engineId) ?? NO_LOAD;
    const others = this.totals.get(engineId);
    return others ? addLoads(own, others) : own;
  }

  /** Drops reports that are too old. */
  expire(nowMs: number): void {
    for (const [source, report] of this.reports) {
      if (nowMs < report.untilMs) continue;
      this.reports.delete(source);
      this.subtract(report.loads);
    }
  }

  private add(loads: LoadReport): void {
    for (const [engineId, load] of loads) {
      const present = this.totals.get(engineId);
      this.totals.set(engineId, present ? addLoads(present, load) : load);
    }
  }

  private subtract(loads: LoadReport): void {
    for (const [engineId, load] of loads) {
      const left = subtractLoads(this.totals.get(engineId) ?? NO_LOAD, load);
      if (isNothing(left)) this.totals.delete(engineId);
      else this.totals.set(engineId, left);
    }
  }
}

/** Sum of two loads; tokens never fall below zero. */
export function addLoads(left: EngineLoad, right: EngineLoad): EngineLoad {
  return {
    requests: left.requests + right.requests,
    unreadTokens: Math.max(0, left.unreadTokens + right.unreadTokens),
    heldTokens: Math.max(0, left.heldTokens + right.heldTokens),
  };
}

/** What is left of a load without a part of it; nothing falls below zero. */
export function subtractLoads(left: EngineLoad, right: EngineLoad): EngineLoad {
  return {
    requests: Math.max(0, left.requests - right.requests),
    unreadTokens: Math.max(0, left.unreadTokens - right.unreadTokens),
    heldTokens: Math.max(0, left.heldTokens - right.heldTokens),
  };
}

/** Whether nothing is under way. */
export function isNothing({ requests, unreadTokens, heldTokens }: EngineLoad): boolean {
  return requests === 0 && unreadTokens === 0 && heldTokens === 0;
}
