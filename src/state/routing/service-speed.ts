/**
 * What is learned of all engines of one service: the median of their speeds, their prefill rate and
 * the tokens of an event. Times in milliseconds. Pure.
 */
import { DEFAULT_ENGINE_SPEED } from './engine-speeds.js';
import { RecentMedian } from './recent-median.js';

const SERVICE_LIFETIME_MS = 60_000;
const MINIMUM_PREFILL_SAMPLES = 8;
const MINIMUM_LENGTH_SAMPLES = 8;
const MAXIMUM_TOKENS_PER_EVENT = 64;
/** In shorter streams, an incomplete first or last event distorts the tokens per event. */
const MINIMUM_EVENTS = 4;
/** Part of an event by which streams end before their last event is full, in the mean. */
const INCOMPLETE_EVENT = 0.5;
/** Prefill rates lie within this factor of the default. */
const MAXIMUM_PREFILL_FACTOR = 16;

/** Rates of an engine at the median speed of its service. */
export interface ServiceRates {
  readonly medianMs: number;
  readonly prefillTokensPerMs: number;
  readonly tokensPerEvent: number | undefined;
}

/** The speed of one service. */
export class ServiceSpeed {
  /** Median pause between two events of a stream; undefined while no engine is known. */
  medianMs: number | undefined;
  /** Prompt tokens prefilled in the time of one pause between events. */
  private readonly tokensPerPause = new RecentMedian(MINIMUM_PREFILL_SAMPLES, SERVICE_LIFETIME_MS);
  private readonly summaryTokensPerPause = new RecentMedian(1, SERVICE_LIFETIME_MS);
  private readonly tokensPerEvent = new RecentMedian(MINIMUM_LENGTH_SAMPLES, SERVICE_LIFETIME_MS);

  /** Records the prefill rate of an engine whose pause between two events is `eventMs`. */
  notePrefill(tokensPerMs: number, eventMs: number, nowMs: number): void {
    this.tokensPerPause.add(tokensPerMs * eventMs, nowMs);
  }

  /** Records the prefill rate that a collector believes of such an engine. */
  noteSummaryPrefill(tokensPerMs: number, eventMs: number, nowMs: number): void {
    this.summaryTokensPerPause.add(tokensPerMs * eventMs, nowMs);
  }

  /** Records the length of a completed response. */
  noteLength(expectedTokens: number, events: number, nowMs: number): void {
    if (events < MINIMUM_EVENTS) return;
    const tokensPerEvent = Math.min(
      MAXIMUM_TOKENS_PER_EVENT,
      Math.max(1, expectedTokens / (events - INCOMPLETE_EVENT)),
    );
    this.tokensPerEvent.add(tokensPerEvent, nowMs);
  }

  /** Prompt tokens prefilled in the time of one pause between events; undefined if none is learned. */
  prefillPerPause(nowMs: number): number | undefined {
    return this.tokensPerPause.at(nowMs) ?? this.summaryTokensPerPause.at(nowMs);
  }

  /** Undefined while no engine is known. */
  ratesAt(nowMs: number): ServiceRates | undefined {
    const { medianMs } = this;
    if (!medianMs) return undefined;
    const tokensPerPause = this.prefillPerPause(nowMs);
    const prefillTokensPerMs =
      tokensPerPause === undefined
        ? DEFAULT_ENGINE_SPEED.prefillTokensPerMs
        : boundedPrefill(tokensPerPause / medianMs);
    return { medianMs, prefillTokensPerMs, tokensPerEvent: this.tokensPerEvent.at(nowMs) };
  }
}

function boundedPrefill(tokensPerMs: number): number {
  const { prefillTokensPerMs } = DEFAULT_ENGINE_SPEED;
  const lowest = prefillTokensPerMs / MAXIMUM_PREFILL_FACTOR;
  return Math.min(prefillTokensPerMs * MAXIMUM_PREFILL_FACTOR, Math.max(lowest, tokensPerMs));
}
