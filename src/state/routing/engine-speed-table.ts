/**
 * Learned speeds of engines. The relative speed of an engine comes from the pauses between the events
 * of its streams. The prefill rate is learned for a whole service, as the number of prompt tokens
 * that are prefilled in the time of one such pause, which does not depend on the engine's speed. Pure.
 */
import { DEFAULT_ENGINE_SPEED, type EngineSpeed, type EngineSpeedView } from './engine-speeds.js';
import {
  type PauseEstimate,
  type PauseSample,
  PauseWindow,
  estimatePause,
} from './pause-window.js';
import { medianOf } from './recent-median.js';
import { limitedEventMs } from './reported-pause-limits.js';
import { type ServiceRates, ServiceSpeed } from './service-speed.js';

/** Where a belief comes from. */
export enum SpeedSource {
  /** Only responses to this router. */
  Own = 'own',
  /** Responses to several routers. */
  Group = 'group',
}

/** What is believed of one engine. */
export interface SpeedBelief {
  /** Pause between two events of a stream without prefill of other prompts, in milliseconds. */
  readonly eventMs: number;
  /** Time of the latest response that it rests on. */
  readonly observedMs: number;
  readonly source: SpeedSource;
}

/** A belief that has changed considerably. */
export interface SpeedChange {
  readonly engineId: string;
  /** Undefined if nothing was believed. */
  readonly oldEventMs: number | undefined;
  readonly newEventMs: number;
  readonly source: SpeedSource;
  readonly ageMs: number;
}

/** Receives what {@link EngineSpeedTable.refresh} finds. */
export interface SpeedTableEvents {
  onChange(change: SpeedChange): void;
  /** A reported value was limited by this router's own responses or by the service's median. */
  onLimited(): void;
}

/** Identifies an engine of the registry. */
export interface KnownEngine {
  readonly id: string;
  readonly service: string;
}

/** Engines with relative speeds below this share of the median are believed slow. */
const SLOW_RATIO = 1 / 2;
/** Constant speeds are remembered over pauses of traffic. */
const BELIEF_LIFETIME_MS = 30_000;
/** A disturbance may end without traffic, so a slow engine is soon tried as any other. */
const SLOW_BELIEF_LIFETIME_MS = 6_000;
/** Own responses replace a reported value that is this much older. */
const REPORT_LAG_MS = 2_000;
/** Smallest ratio of two speeds that counts as a change. */
const CHANGE_RATIO = 1.5;

interface EngineState {
  service: string;
  readonly ownPauses: PauseWindow;
  /** Pauses measured by other routers. */
  readonly reportedPauses: PauseWindow;
  hasNewPauses: boolean;
  own: PauseEstimate | undefined;
  /** Estimate from all pauses, if other routers contributed to them. */
  merged: PauseEstimate | undefined;
  /** Estimate of a collector. */
  summary: PauseEstimate | undefined;
  belief: SpeedBelief | undefined;
  /** Whether a reported value is currently limited. */
  isLimited: boolean;
  /** Value of the last reported change. */
  announcedEventMs: number | undefined;
}

/** Speeds of the engines of all services. */
export class EngineSpeedTable implements EngineSpeedView {
  private readonly engines = new Map<string, EngineState>();
  private readonly services = new Map<string, ServiceSpeed>();
  private listed: readonly KnownEngine[] = [];
  private speeds: ReadonlyMap<string, EngineSpeed> = new Map();

  constructor(private readonly events: SpeedTableEvents) {}

  at(engineId: string): EngineSpeed {
    return this.speeds.get(engineId) ?? DEFAULT_ENGINE_SPEED;
  }

  /** What is believed of an engine; undefined if it is treated as the others of its service. */
  beliefOf(engineId: string): SpeedBelief | undefined {
    return this.engines.get(engineId)?.belief;
  }

  /**
   * Pause to expect between two events of an engine: the believed one, or else the median of its
   * service; undefined if neither is known.
   */
  expectedEventMs({ id, service }: KnownEngine): number | undefined {
    return this.beliefOf(id)?.eventMs ?? this.services.get(service)?.medianMs;
  }

  /** Number of engines of which anything is believed. */
  get beliefCount(): number {
    let count = 0;
    for (const { belief } of this.engines.values()) if (belief) count += 1;
    return count;
  }

  /** Whether an engine is believed to be much slower than its service. */
  isSlow(engineId: string): boolean {
    const state = this.engines.get(engineId);
    const medianMs = state && this.services.get(state.service)?.medianMs;
    return isSlowBelief(state?.belief, medianMs);
  }

  /** Records a pause within a stream of this router. */
  notePause(engine: KnownEngine, pauseMs: number, nowMs: number): void {
    const state = this.stateOf(engine);
    state.ownPauses.add({ atMs: nowMs, pauseMs, weight: 1 });
    state.hasNewPauses = true;
  }

  /** Records pauses that another router measured. */
  noteReportedPause(engine: KnownEngine, sample: PauseSample): void {
    const state = this.stateOf(engine);
    state.reportedPauses.add(sample);
    state.hasNewPauses = true;
  }

  /** Records the estimate of a collector, unless a newer one is known. */
  noteSummary(engine: KnownEngine, estimate: PauseEstimate): void {
    const state = this.stateOf(engine);
    if (state.summary && state.summary.observedMs > estimate.observedMs) return;
    state.summary = estimate;
  }

  /** Records the prefill rate of a response of this router or of one that reports to it. */
  notePrefill(engine: KnownEngine, tokensPerMs: number, nowMs: number): void {
    const eventMs = this.engines.get(engine.id)?.belief?.eventMs;
    if (eventMs === undefined) return;
    this.serviceOf(engine.service).notePrefill(tokensPerMs, eventMs, nowMs);
  }

  /** Records the prefill rate that a collector believes of an engine. */
  noteSummaryPrefill(service: string, tokensPerMs: number, eventMs: number, nowMs: number): void {
    this.serviceOf(service).noteSummaryPrefill(tokensPerMs, eventMs, nowMs);
  }

  /** Records the length of a completed response of this router. */
  noteLength(service: string, expectedTokens: number, events: number, nowMs: number): void {
    this.serviceOf(service).noteLength(expectedTokens, events, nowMs);
  }

  /** Prefill rate learned for an engine's service; undefined if none. */
  learnedPrefillOf(engineId: string, nowMs: number): number | undefined {
    const state = this.engines.get(engineId);
    if (!state?.belief) return undefined;
    const tokens = this.serviceOf(state.service).prefillPerPause(nowMs);
    return tokens === undefined ? undefined : tokens / state.belief.eventMs;
  }

  /** Updates the beliefs and speeds of all engines, and drops engines that are not listed. */
  refresh(listed: readonly KnownEngine[], nowMs: number): void {
    if (listed !== this.listed) this.dropUnlisted(listed);
    this.listed = listed;
    for (const state of this.engines.values()) updateEstimates(state, nowMs);
    this.updateMedians(nowMs);
    for (const [engineId, state] of this.engines) this.updateBelief(engineId, state, nowMs);
    const rates = new Map(
      [...this.services].map(([name, service]) => [name, service.ratesAt(nowMs)]),
    );
    this.speeds = new Map(
      listed.map((engine) => [engine.id, this.speedOf(engine, rates.get(engine.service))]),
    );
  }

  private dropUnlisted(listed: readonly KnownEngine[]): void {
    const serviceById = new Map(listed.map(({ id, service }) => [id, service]));
    for (const [id, state] of this.engines) {
      const service = serviceById.get(id);
      if (service === undefined) this.engines.delete(id);
      else state.service = service;
    }
    const services = new Set(serviceById.values());
    for (const service of this.services.keys()) {
      if (!services.has(service)) this.services.delete(service);
    }
  }

  private updateMedians(nowMs: number): void {
    const values = new Map<string, number[]>();
    for (const state of this.engines.values()) {
      const estimate = groupEstimateOf(state);
      const eventMs = isFresh(estimate, nowMs) ? estimate.pauseMs : state.belief?.eventMs;
      if (eventMs === undefined) continue;
      const ofService = values.get(state.service);
      if (ofService) ofService.push(eventMs);
      else values.set(state.service, [eventMs]);
    }
    for (const service of this.services.values()) service.medianMs = undefined;
    for (const [name, ofService] of values) this.serviceOf(name).medianMs = medianOf(ofService);
  }

  private updateBelief(engineId: string, state: EngineState, nowMs: number): void {
    const { medianMs } = this.serviceOf(state.service);
    state.belief = this.nextBelief(state, medianMs, nowMs);
    const { belief, announcedEventMs } = state;
    if (!belief) return;
    const ratio = belief.eventMs / (announcedEventMs ?? 0);
    if (ratio < CHANGE_RATIO && ratio > 1 / CHANGE_RATIO) return;
    state.announcedEventMs = belief.eventMs;
    this.events.onChange({
      engineId,
      oldEventMs: announcedEventMs,
      newEventMs: belief.eventMs,
      source: belief.source,
      ageMs: nowMs - belief.observedMs,
    });
  }

  private nextBelief(
    state: EngineState,
    medianMs: number | undefined,
    nowMs: number,
  ): SpeedBelief | undefined {
    const estimate = groupEstimateOf(state);
    if (!estimate || medianMs === undefined) return undefined;
    const isOwn = estimate === state.own;
    const eventMs = limitedEventMs(estimate.pauseMs, state.own, medianMs, nowMs);
    const isLimited = eventMs !== estimate.pauseMs;
    if (isLimited && !state.isLimited) this.events.onLimited();
    state.isLimited = isLimited;
    const source = isOwn ? SpeedSource.Own : SpeedSource.Group;
    const belief = { eventMs, observedMs: estimate.observedMs, source };
    const lifetimeMs = isSlowBelief(belief, medianMs)
      ? SLOW_BELIEF_LIFETIME_MS
      : BELIEF_LIFETIME_MS;
    return nowMs - belief.observedMs <= lifetimeMs ? belief : undefined;
  }

  private speedOf({ id }: KnownEngine, rates: ServiceRates | undefined): EngineSpeed {
    if (!rates) return DEFAULT_ENGINE_SPEED;
    const { medianMs, prefillTokensPerMs, tokensPerEvent } = rates;
    const eventMs = this.engines.get(id)?.belief?.eventMs ?? medianMs;
    const slowness = eventMs / medianMs;
    const { tokenMs, runningRequestMs } = DEFAULT_ENGINE_SPEED;
    return {
      prefillTokensPerMs: prefillTokensPerMs / slowness,
      tokenMs: tokensPerEvent === undefined ? tokenMs * slowness : eventMs / tokensPerEvent,
      runningRequestMs: runningRequestMs * slowness,
    };
  }

  private stateOf({ id, service }: KnownEngine): EngineState {
    let state = this.engines.get(id);
    if (!state) {
      state = newEngineState(service);
      this.engines.set(id, state);
    }
    return state;
  }

  private serviceOf(name: string): ServiceSpeed {
    let service = this.services.get(name);
    if (!service) {
      service = new ServiceSpeed();
      this.services.set(name, service);
    }
    return service;
  }
}

function newEngineState(service: string): EngineState {
  return {
    service,
    ownPauses: new PauseWindow(),
    reportedPauses: new PauseWindow(),
    hasNewPauses: false,
    own: undefined,
    merged: undefined,
    summary: undefined,
    belief: undefined,
    isLimited: false,
    announcedEventMs: undefined,
  };
}

function updateEstimates(state: EngineState, nowMs: number): void {
  if (!state.hasNewPauses) return;
  state.hasNewPauses = false;
  const own = state.ownPauses.recent(nowMs);
  const reported = state.reportedPauses.recent(nowMs);
  state.own = estimatePause(own, nowMs) ?? state.own;
  if (reported.length === 0) return;
  state.merged = estimatePause([...own, ...reported], nowMs) ?? state.merged;
}

/** The estimate to believe: that of many routers, unless another one is much more recent. */
function groupEstimateOf({ own, merged, summary }: EngineState): PauseEstimate | undefined {
  return [summary, own].reduce(
    (chosen, other) =>
      !chosen || (other && other.observedMs > chosen.observedMs + REPORT_LAG_MS) ? other : chosen,
    merged,
  );
}

function isFresh(estimate: PauseEstimate | undefined, nowMs: number): estimate is PauseEstimate {
  return estimate !== undefined && nowMs - estimate.observedMs <= BELIEF_LIFETIME_MS;
}

function isSlowBelief(belief: SpeedBelief | undefined, medianMs: number | undefined): boolean {
  return !!belief && medianMs !== undefined && belief.eventMs * SLOW_RATIO > medianMs;
}
