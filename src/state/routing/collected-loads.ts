/**
 * What one router has collected of the work of all that report to it, and what a router knows of others
 * from a summary that contains its own work. Pure.
 *
 * Load pattern: dozens of routers send prompts to the same engines, each knowing only its own. An engine
 * reads a long prompt in 0.2 s, so a router that knows the others' work of a second ago, or of a third of
 * them, sends a prompt behind others that wait already. One router collects the work of all and tells the
 * sums ten times a second.
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

/** The reports of other routers, as the collector keeps them. */
export class CollectedLoads {
  private readonly reports = new Map<string, CollectedReport>();
  private latestMs = -Infinity;

  /** Takes a router's report; one that was overtaken by a newer is dropped. */
  take(router: string, sequence: number, loads: LoadReport, nowMs: number): void {
    const present = this.reports.get(router);
    const isFresh = present !== undefined && nowMs - present.receivedMs < REPORT_LIFETIME_MS;
    if (isFresh && present.sequence >= sequence) return;
    this.reports.set(router, { loads, receivedMs: nowMs, sequence });
    this.latestMs = nowMs;
  }

  /** Time since the last report, in milliseconds; Infinity where none came. */
  silenceMs(nowMs: number): number {
    return nowMs - this.latestMs;
  }

  /** The sums of the reports that are not too old and of the collector's own work. */
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
 * The engines that a summary names, the busiest first. The others are taken for idle, which is nearly true of
 * them where many are named.
 */
export function busiest(sums: LoadReport, count: number): [engine: string, load: EngineLoad][] {
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

/** A summary can't contain a report that was sent later than this before the summary came. */
const SHORTEST_WAY_MS = 3;
const MAXIMUM_REMEMBERED = 8;

/** The reports that this router sent lately, to know its own part of a summary. */
export class SentReports {
  private readonly reports: SentReport[] = [];

  note(collector: string, loads: LoadReport, nowMs: number): void {
    this.reports.push({ collector, loads: new Map(loads), sentMs: nowMs });
    if (this.reports.length > MAXIMUM_REMEMBERED) this.reports.shift();
  }

  /** The work of the others in a summary that has just come. */
  othersOf(collector: string, summary: LoadReport, nowMs: number): LoadReport {
    const own = this.reports.findLast(
      (report) => report.sentMs <= nowMs - SHORTEST_WAY_MS && report.collector === collector,
    );
    if (!own || nowMs - own.sentMs >= REPORT_LIFETIME_MS) return summary;
    const others = new Map(summary);
    for (const [engine, load] of own.loads) {
      const present = others.get(engine);
      if (present) others.set(engine, subtractLoads(present, load));
    }
    return others;
  }
}

function addTo(sums: Map<string, EngineLoad>, engine: string, load: EngineLoad): void {
  const present = sums.get(engine);
  sums.set(engine, present ? addLoads(present, load) : load);
}
