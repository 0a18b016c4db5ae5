/** Load of the engines: requests sent by this router and load reported by other routers. */
import { RecentUnread } from './recent-unread.js';

/** Load of one engine. */
export interface EngineLoad {
  readonly requests: number;
  /** Prompt tokens still to be prefilled, as far as known. */
  readonly unreadTokens: number;
  /** Tokens of KV cache used by the requests. */
  readonly heldTokens: number;
}

/** A prompt part that an engine has cached and that a request uses. */
export interface HeldPart {
  /** Identifies the part together with its salt. */
  readonly key: string;
  readonly tokens: number;
}

/** Load by engine. */
export type LoadReport = ReadonlyMap<string, EngineLoad>;

interface StoredReport {
  readonly loads: LoadReport;
  readonly untilMs: number;
  readonly sequence: number;
}

/** Lifetime of a load report. */
export const REPORT_LIFETIME_MS = 2_000;

const NO_LOAD: EngineLoad = { requests: 0, unreadTokens: 0, heldTokens: 0 };

/** Sums this router's own load and the reported loads. */
export class LoadTable {
  private readonly own = new Map<string, EngineLoad>();
  private readonly reports = new Map<string, StoredReport>();
  /** Sums of the reports; updated incrementally, because reports are frequent. */
  private readonly reportedTotals = new Map<string, EngineLoad>();
  private readonly recentUnread = new RecentUnread();
  /** Cached prompt parts that this router's requests use, by engine and part. */
  private readonly heldParts = new Map<string, { uses: number; readonly tokens: number }>();
  private ownChanges = 0;

  /** Adds the given amounts, which may be negative, to this router's load at an engine. */
  change(engineId: string, change: EngineLoad): void {
    this.ownChanges += 1;
    const next = addLoads(this.own.get(engineId) ?? NO_LOAD, change);
    if (next.requests <= 0) this.own.delete(engineId);
    else this.own.set(engineId, next);
  }

  /** This router's own load, to be reported to the others. */
  get ownLoads(): LoadReport {
    return this.own;
  }

  /** Changes whenever this router's own load changes. */
  get ownVersion(): number {
    return this.ownChanges;
  }

  /** Number of this router's running requests at an engine. */
  ownRequestsAt(engineId: string): number {
    return this.own.get(engineId)?.requests ?? 0;
  }

  /**
   * Stores a load report from another source, unless a newer one has arrived.
   *
   * @param source a router that reports its own load, or a collector that reports the load of many
   */
  receive(
    source: string,
    sequence: number,
    loads: LoadReport,
    nowMs: number,
    lifetimeMs = REPORT_LIFETIME_MS,
  ): void {
    const previous = this.reports.get(source);
    const isFresh = previous !== undefined && nowMs < previous.untilMs;
    if (isFresh && previous.sequence >= sequence) return;
    if (previous) this.subtract(previous.loads);
    this.reports.set(source, { loads, untilMs: nowMs + lifetimeMs, sequence });
    this.add(loads);
  }

  /** Load of an engine from all routers. */
  at(engineId: string): EngineLoad {
    const own = this.own.get(engineId) ?? NO_LOAD;
    const others = this.reportedTotals.get(engineId);
    return others ? addLoads(own, others) : own;
  }

  /** Mean of the unread tokens at an engine over about the last two seconds. */
  recentUnreadAt(engineId: string): number {
    return this.recentUnread.at(engineId);
  }

  /** Updates the means of the unread tokens, if due. */
  sampleUnread(nowMs: number): void {
    if (!this.recentUnread.isDue(nowMs)) return;
    const unreadTokens = new Map<string, number>();
    for (const engineId of this.reportedTotals.keys()) this.addUnread(unreadTokens, engineId);
    for (const engineId of this.own.keys()) this.addUnread(unreadTokens, engineId);
    this.recentUnread.sample(unreadTokens, nowMs);
  }

  /**
   * Adds a use of a prompt part that an engine has cached. The engine stores it once, so only the
   * first use by this router adds its tokens.
   */
  holdPart(engineId: string, { key, tokens }: HeldPart): void {
    const use = `${engineId}\n${key}`;
    const held = this.heldParts.get(use);
    if (held) {
      held.uses += 1;
      return;
    }
    this.heldParts.set(use, { uses: 1, tokens });
    this.change(engineId, { requests: 0, unreadTokens: 0, heldTokens: tokens });
  }

  /** Ends a use added by {@link holdPart}; the last one removes the part's tokens. */
  releasePart(engineId: string, { key }: HeldPart): void {
    const use = `${engineId}\n${key}`;
    const held = this.heldParts.get(use);
    if (!held) return;
    held.uses -= 1;
    if (held.uses > 0) return;
    this.heldParts.delete(use);
    this.change(engineId, { requests: 0, unreadTokens: 0, heldTokens: -held.tokens });
  }

  /** Removes expired reports. */
  expire(nowMs: number): void {
    for (const [source, report] of this.reports) {
      if (nowMs < report.untilMs) continue;
      this.reports.delete(source);
      this.subtract(report.loads);
    }
  }

  private addUnread(unreadTokens: Map<string, number>, engineId: string): void {
    const tokens = this.at(engineId).unreadTokens;
    if (tokens > 0) unreadTokens.set(engineId, tokens);
  }

  private add(loads: LoadReport): void {
    for (const [engineId, load] of loads) {
      const previous = this.reportedTotals.get(engineId);
      this.reportedTotals.set(engineId, previous ? addLoads(previous, load) : load);
    }
  }

  private subtract(loads: LoadReport): void {
    for (const [engineId, load] of loads) {
      const remaining = subtractLoads(this.reportedTotals.get(engineId) ?? NO_LOAD, load);
      if (isIdle(remaining)) this.reportedTotals.delete(engineId);
      else this.reportedTotals.set(engineId, remaining);
    }
  }
}

/** Sum of two loads; token counts are clamped at zero. */
export function addLoads(left: EngineLoad, right: EngineLoad): EngineLoad {
  return {
    requests: left.requests + right.requests,
    unreadTokens: Math.max(0, left.unreadTokens + right.unreadTokens),
    heldTokens: Math.max(0, left.heldTokens + right.heldTokens),
  };
}

/** Difference of two loads, clamped at zero. */
export function subtractLoads(left: EngineLoad, right: EngineLoad): EngineLoad {
  return {
    requests: Math.max(0, left.requests - right.requests),
    unreadTokens: Math.max(0, left.unreadTokens - right.unreadTokens),
    heldTokens: Math.max(0, left.heldTokens - right.heldTokens),
  };
}

/** Whether all amounts are zero. */
export function isIdle({ requests, unreadTokens, heldTokens }: EngineLoad): boolean {
  return requests === 0 && unreadTokens === 0 && heldTokens === 0;
}
