/** Work at engines: what this router has sent and what the other routers last told. */

/** Work under way at one engine. */
export interface EngineLoad {
  readonly requests: number;
  /** Prompt tokens not known to be read yet. */
  readonly unreadTokens: number;
  /** Tokens whose memory the requests hold. */
  readonly heldTokens: number;
}

/** A router's report of its work, by engine. */
export type LoadReport = ReadonlyMap<string, EngineLoad>;

interface StoredReport {
  readonly loads: LoadReport;
  readonly receivedMs: number;
  readonly sequence: number;
}

/** Reports older than this say nothing about the present. */
const REPORT_LIFETIME_MS = 2_000;

const NO_LOAD: EngineLoad = { requests: 0, unreadTokens: 0, heldTokens: 0 };

/** Sums own and reported work. */
export class LoadTable {
  private readonly own = new Map<string, EngineLoad>();
  private readonly reports = new Map<string, StoredReport>();
  private totals = new Map<string, EngineLoad>();

  /** Changes this router's own work at an engine by the given amounts. */
  change(engineId: string, change: EngineLoad): void {
    const next = addLoads(this.own.get(engineId) ?? NO_LOAD, change);
    if (next.requests <= 0) this.own.delete(engineId);
    else this.own.set(engineId, next);
  }

  /** This router's own work, to tell the others. */
  get ownLoads(): LoadReport {
    return this.own;
  }

  /** This router's own requests at an engine. */
  ownRequestsAt(engineId: string): number {
    return this.own.get(engineId)?.requests ?? 0;
  }

  /** Takes another router's report; one that was overtaken by a newer is dropped. */
  receive(nodeId: string, sequence: number, loads: LoadReport, nowMs: number): void {
    const present = this.reports.get(nodeId);
    const isFresh = present !== undefined && nowMs - present.receivedMs < REPORT_LIFETIME_MS;
    if (isFresh && present.sequence >= sequence) return;
    this.reports.set(nodeId, { loads, receivedMs: nowMs, sequence });
    this.sumReports(nowMs);
  }

  /** Work of all routers at an engine. */
  at(engineId: string): EngineLoad {
    const own = this.own.get(engineId) ?? NO_LOAD;
    const others = this.totals.get(engineId);
    return others ? addLoads(own, others) : own;
  }

  /** Drops reports that are too old. */
  expire(nowMs: number): void {
    for (const [nodeId, report] of this.reports) {
      if (nowMs - report.receivedMs > REPORT_LIFETIME_MS) this.reports.delete(nodeId);
    }
    this.sumReports(nowMs);
  }

  private sumReports(nowMs: number): void {
    const totals = new Map<string, EngineLoad>();
    for (const report of this.reports.values()) {
      if (nowMs - report.receivedMs > REPORT_LIFETIME_MS) continue;
      for (const [engineId, load] of report.loads) {
        totals.set(engineId, addLoads(totals.get(engineId) ?? NO_LOAD, load));
      }
    }
    this.totals = totals;
  }
}

/** Sum of two loads; tokens never fall below zero. */
function addLoads(left: EngineLoad, right: EngineLoad): EngineLoad {
  return {
    requests: left.requests + right.requests,
    unreadTokens: Math.max(0, left.unreadTokens + right.unreadTokens),
    heldTokens: Math.max(0, left.heldTokens + right.heldTokens),
  };
}
