/**
 * Learns engine speeds from this router's responses and from those of the other routers. Routers
 * report the pauses that they measured; in a large group the collector sends its estimates to all.
 */
import type { Clock } from '../../runtime/clock.js';
import type { Logger } from '../../runtime/logger.js';
import { memberKey } from '../../state/member-key.js';
import type { EngineRecord } from '../../state/routing/engine-record.js';
import type { EngineRegistry } from '../../state/routing/engine-registry.js';
import { EngineSpeedTable } from '../../state/routing/engine-speed-table.js';
import { prefillTokensPerEvent } from '../../state/routing/stream-gaps.js';
import type { GatewayStatistics } from './gateway-statistics.js';
import type { EngineSpeedEntry, ObservationPart } from './observation-exchange.js';
import { SpeedChangeLog } from './speed-change-log.js';
import type { FirstByte, SpeedObserver } from './speed-observer.js';
import { SpeedSummary } from './speed-summary.js';

/** Dependencies of {@link EngineSpeedExchange}. */
export interface EngineSpeedParts {
  /** Identifier of this router in the group. */
  readonly nodeId: string;
  readonly registry: EngineRegistry;
  readonly statistics: GatewayStatistics;
  readonly clock: Clock;
  readonly logger: Logger;
}

/** Fewer prefilled tokens take too little time to measure the rate. */
const MINIMUM_PREFILL_TOKENS = 1_500;
/** Minimum share of the unread tokens that cannot have been cached without the router's knowledge. */
const MINIMUM_OWN_SHARE = 0.6;
/** Maximum tokens queued at the engine, as a share of the unread ones. */
const MAXIMUM_QUEUED_SHARE = 0.1;
/** Weight of one reported entry: the most pauses that a router sees at an engine in one round. */
const MAXIMUM_ENTRY_WEIGHT = 8;
/** Entries with older observations say nothing of the engine's current speed. */
const MAXIMUM_ENTRY_AGE_MS = 3_000;
/** Estimates in summaries are believed for up to 30 s. */
const MAXIMUM_SUMMARY_AGE_MS = 30_000;
const MINIMUM_EVENT_MS = 1;
const MAXIMUM_EVENT_MS = 10_000;
const MAXIMUM_PREFILL_TOKENS_PER_MS = 10_000;
/** Reports of a router that knows no speeds yet, one per second, so that the collector sends all. */
const MAXIMUM_QUESTIONS = 5;
const QUESTION_PERIOD_MS = 1_000;
/** With one lost summary, a router knows a smaller share of the engines. */
const KNOWN_SHARE = 0.9;

/** Observations of one engine since the last report. */
interface UnreportedPauses {
  count: number;
  shortestMs: number;
  latestMs: number;
  prefillTokensPerMs: number;
}

/** Engine speeds of one router, and their exchange with the others. */
export class EngineSpeedExchange implements SpeedObserver, ObservationPart<EngineSpeedEntry> {
  readonly table: EngineSpeedTable;
  private readonly unreported = new Map<string, UnreportedPauses>();
  private readonly summary: SpeedSummary;
  private engineByKey = new Map<number, EngineRecord>();
  private listed: readonly EngineRecord[] = [];
  private registryVersion = -1;
  private questions = 0;
  private lastQuestionMs = -Infinity;

  constructor(private readonly parts: EngineSpeedParts) {
    const { statistics, logger, clock } = parts;
    this.table = new EngineSpeedTable(new SpeedChangeLog(statistics, logger, clock));
    this.summary = new SpeedSummary(this.table);
  }

  notePause(engine: EngineRecord, measuredMs: number, queuedTokens: number): void {
    const pauseMs = this.withoutPrefill(engine, measuredMs, queuedTokens);
    const now = this.parts.clock.now();
    this.parts.statistics.enginePausesObserved += 1;
    this.table.notePause(engine, pauseMs, now);
    const unreported = this.unreportedOf(engine.id);
    unreported.count += 1;
    unreported.shortestMs = Math.min(unreported.shortestMs, pauseMs);
    unreported.latestMs = now;
  }

  noteFirstByte(engine: EngineRecord, firstByte: FirstByte): void {
    const { ownTokens, unreadTokens, queuedTokens, isPartial, waitedMs } = firstByte;
    if (isPartial || unreadTokens < MINIMUM_PREFILL_TOKENS) return;
    if (ownTokens < unreadTokens * MINIMUM_OWN_SHARE) return;
    if (queuedTokens > unreadTokens * MAXIMUM_QUEUED_SHARE) return;
    const { tokenMs } = this.table.at(engine.id);
    const prefillTokensPerMs = unreadTokens / Math.max(1, waitedMs - tokenMs);
    const now = this.parts.clock.now();
    this.table.notePrefill(engine, prefillTokensPerMs, now);
    this.unreportedOf(engine.id).prefillTokensPerMs = prefillTokensPerMs;
  }

  noteLength({ service }: EngineRecord, expectedTokens: number, events: number): void {
    this.table.noteLength(service, expectedTokens, events, this.parts.clock.now());
  }

  takeOwn(limit: number, nowMs: number): readonly EngineSpeedEntry[] {
    this.updateEngines();
    this.table.refresh(this.listed, nowMs);
    const entries: EngineSpeedEntry[] = [];
    for (const [engineId, unreported] of this.unreported) {
      if (entries.length >= limit) break;
      if (unreported.count === 0) continue;
      this.unreported.delete(engineId);
      entries.push(entryOf(engineId, unreported, nowMs));
    }
    if (entries.length < limit && this.mayAsk(nowMs)) entries.push(EMPTY_ENTRY);
    return entries;
  }

  receive(
    _sender: string,
    entries: readonly EngineSpeedEntry[],
    isSummary: boolean,
    nowMs: number,
  ): void {
    if (!isSummary) return;
    this.updateEngines();
    for (const entry of entries) this.receiveEstimate(entry, nowMs);
  }

  collect(sender: string, entries: readonly EngineSpeedEntry[], nowMs: number): void {
    this.updateEngines();
    if (entries.some(({ weight }) => weight === 0)) this.summary.restart(nowMs);
    // This router's own pauses are in the table already.
    if (sender === this.parts.nodeId) return;
    for (const entry of entries) this.collectPauses(entry, nowMs);
  }

  takeSummary(limit: number, nowMs: number): readonly EngineSpeedEntry[] {
    return this.summary.take(this.listed, limit, nowMs);
  }

  /**
   * Subtracts the time that the prefill of other prompts may have taken from a pause that is longer
   * than expected. Engines that prefill all the time would otherwise count as slow.
   */
  private withoutPrefill(engine: EngineRecord, measuredMs: number, queuedTokens: number): number {
    const expectedMs = this.table.expectedEventMs(engine);
    if (expectedMs === undefined || measuredMs <= expectedMs) return measuredMs;
    const prefillMs =
      prefillTokensPerEvent(queuedTokens) / this.table.at(engine.id).prefillTokensPerMs;
    return Math.max(expectedMs, measuredMs - prefillMs);
  }

  /** Keeps an entry of another router's report. */
  private collectPauses(entry: EngineSpeedEntry, nowMs: number): void {
    const engine = this.engineByKey.get(entry.engineKey);
    if (!engine || !isPlausible(entry, MAXIMUM_ENTRY_AGE_MS)) return;
    const weight = Math.min(MAXIMUM_ENTRY_WEIGHT, entry.weight);
    const sample = { atMs: nowMs - entry.ageMs, pauseMs: entry.eventMs, weight };
    this.table.noteReportedPause(engine, sample);
    if (isPlausiblePrefill(entry)) {
      this.table.notePrefill(engine, entry.prefillTokensPerMs, nowMs);
    }
  }

  private receiveEstimate(entry: EngineSpeedEntry, nowMs: number): void {
    const engine = this.engineByKey.get(entry.engineKey);
    if (!engine || !isPlausible(entry, MAXIMUM_SUMMARY_AGE_MS)) return;
    const { weight, eventMs, prefillTokensPerMs } = entry;
    const observedMs = nowMs - entry.ageMs;
    const estimate = { pauseMs: eventMs, weight, observedMs, earliestMs: observedMs };
    this.table.noteSummary(engine, estimate);
    if (isPlausiblePrefill(entry)) {
      this.table.noteSummaryPrefill(engine.service, prefillTokensPerMs, eventMs, nowMs);
    }
  }

  /** Whether to ask the collector for all estimates, as at the start and while most are unknown. */
  private mayAsk(nowMs: number): boolean {
    const knowsMost = this.table.beliefCount > this.listed.length * KNOWN_SHARE;
    if (this.questions >= MAXIMUM_QUESTIONS || (this.questions > 0 && knowsMost)) return false;
    if (nowMs - this.lastQuestionMs < QUESTION_PERIOD_MS) return false;
    this.questions += 1;
    this.lastQuestionMs = nowMs;
    return true;
  }

  private unreportedOf(engineId: string): UnreportedPauses {
    let unreported = this.unreported.get(engineId);
    if (!unreported) {
      unreported = { count: 0, shortestMs: Infinity, latestMs: 0, prefillTokensPerMs: 0 };
      this.unreported.set(engineId, unreported);
    }
    return unreported;
  }

  private updateEngines(): void {
    const { registry } = this.parts;
    if (this.registryVersion === registry.version) return;
    this.registryVersion = registry.version;
    this.listed = [...registry.ids].flatMap((id) => registry.find(id)?.record ?? []);
    this.engineByKey = new Map(this.listed.map((record) => [memberKey(record.id), record]));
    for (const id of this.unreported.keys()) {
      if (!registry.find(id)) this.unreported.delete(id);
    }
  }
}

/** An entry without a weight means that its sender knows no speeds. */
const EMPTY_ENTRY: EngineSpeedEntry = {
  engineKey: 0,
  weight: 0,
  prefillTokensPerMs: 0,
  ageMs: 0,
  eventMs: 0,
};

function entryOf(engineId: string, pauses: UnreportedPauses, nowMs: number): EngineSpeedEntry {
  return {
    ...EMPTY_ENTRY,
    engineKey: memberKey(engineId),
    weight: pauses.count,
    prefillTokensPerMs: pauses.prefillTokensPerMs,
    eventMs: pauses.shortestMs,
    ageMs: Math.max(0, Math.round(nowMs - pauses.latestMs)),
  };
}

function isPlausible({ weight, eventMs, ageMs }: EngineSpeedEntry, maximumAgeMs: number): boolean {
  const isPause = eventMs >= MINIMUM_EVENT_MS && eventMs <= MAXIMUM_EVENT_MS;
  return isPause && weight >= 1 && Number.isFinite(weight) && ageMs <= maximumAgeMs;
}

function isPlausiblePrefill({ prefillTokensPerMs }: EngineSpeedEntry): boolean {
  return prefillTokensPerMs > 0 && prefillTokensPerMs <= MAXIMUM_PREFILL_TOKENS_PER_MS;
}
