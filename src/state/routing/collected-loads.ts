/**
 * Aggregates the load reports of routers. Dozens of routers send prompts to the same engines, and
 * each knows only its own requests; with late or partial knowledge of the others' load, a router
 * queues prompts behind each other. One router therefore collects the reports of all and publishes
 * the totals several times a second. Pure.
 */
import {
  type EngineLoad,
  type LoadReport,
  REPORT_LIFETIME_MS,
  addLoads,
  subtractLoads,
} from './load-table.js';

interface CollectedReport {
  readonly loads: LoadReport;
  readonly receivedMs: number;
  readonly sequence: number;
}

/** Load reports of other routers, as stored by the collector. */
export class CollectedLoads {
  private readonly reports = new Map<string, CollectedReport>();
  private latestMs = -Infinity;

  /** Stores a router's report, unless a newer one has arrived. */
  record(router: string, sequence: number, loads: LoadReport, nowMs: number): void {
    const previous = this.reports.get(router);
    const isFresh = previous !== undefined && nowMs - previous.receivedMs < REPORT_LIFETIME_MS;
    if (isFresh && previous.sequence >= sequence) return;
    this.reports.set(router, { loads, receivedMs: nowMs, sequence });
    this.latestMs = nowMs;
  }

  /** Time since the last report in milliseconds; Infinity if none was received. */
  sinceLastReportMs(nowMs: number): number {
    return nowMs - this.latestMs;
  }

  /** Totals of the unexpired reports and the collector's own load. */
  sums(ownLoads: LoadReport, nowMs: number): Map<string, EngineLoad> {
    const sums = new Map(ownLoads);
    for (const [router, { loads, receivedMs }] of this.reports) {
      if (nowMs - receivedMs >= REPORT_LIFETIME_MS) this.reports.delete(router);
      else for (const [engine, load] of loads) addTo(sums, engine, load);
    }
    return sums;
  }
}

/**
 * The engines included in a summary, in descending order of load. Receivers treat engines that are
 * not included as idle.
 */
export function busiestEngines(
  sums: LoadReport,
  count: number,
): [engine: string, load: EngineLoad][] {
  const entries = [...sums];
  if (entries.length <= count) return entries;
  entries.sort(
    ([, left], [, right]) =>
      right.unreadTokens - left.unreadTokens || right.requests - left.requests,
  );
  return entries.slice(0, count);
}

/** A report that this router has sent to a collector. */
interface SentReport {
  readonly collector: string;
  readonly loads: LoadReport;
  readonly sentMs: number;
}

/** Minimum time before a sent report can be reflected in a received summary, in milliseconds. */
const MINIMUM_TRANSIT_MS = 3;
const MAXIMUM_SENT_REPORTS = 8;

/** Recent reports of this router, used to subtract its own load from a summary. */
export class SentReports {
  private readonly reports: SentReport[] = [];

  note(collector: string, loads: LoadReport, nowMs: number): void {
    this.reports.push({ collector, loads: new Map(loads), sentMs: nowMs });
    if (this.reports.length > MAXIMUM_SENT_REPORTS) this.reports.shift();
  }

  /** Returns the load of the other routers in a summary that was just received. */
  withoutOwnLoad(collector: string, summary: LoadReport, nowMs: number): LoadReport {
    const own = this.reports.findLast(
      (report) => report.sentMs <= nowMs - MINIMUM_TRANSIT_MS && report.collector === collector,
    );
    if (!own || nowMs - own.sentMs >= REPORT_LIFETIME_MS) return summary;
    const others = new Map(summary);
    for (const [engine, load] of own.loads) {
      const previous = others.get(engine);
      if (previous) others.set(engine, subtractLoads(previous, load));
    }
    return others;
  }
}

function addTo(sums: Map<string, EngineLoad>, engine: string, load: EngineLoad): void {
  const previous = sums.get(engine);
  sums.set(engine, previous ? addLoads(previous, load) : load);
}
