/** Measures sample traffic: errors, cache hit rate, recomputation and time to first token. */
import { type Histogram, build } from 'hdr-histogram-js';

/** Measurement of one finished request at its caller. */
export interface RequestMeasurement {
  /** Kind of error; empty for a complete response. */
  readonly error: string;
  readonly firstTokenMs: number;
  readonly promptTokens: number;
  readonly cachedTokens: number;
  /** Length of the prompt prefix, in tokens, that earlier requests also contained. */
  readonly repeatedTokens: number;
}

/** Aggregated measurements of many requests. */
export interface MeasurementSummary {
  readonly requests: number;
  readonly errors: number;
  readonly errorKinds: Readonly<Record<string, number>>;
  /** Share of prompt tokens that came from an engine's cache. */
  readonly hitRate: number;
  /** Share of prompt tokens recomputed although an earlier request had the same prefix. */
  readonly wastedShare: number;
  readonly firstTokenMs: { readonly p50: number; readonly p95: number; readonly p99: number };
}

const MICROSECONDS_PER_MS = 1_000;

/** Aggregates measurements of requests. */
export class Measurements {
  private readonly firstToken: Histogram = build({ numberOfSignificantValueDigits: 3 });
  private readonly errorKinds = new Map<string, number>();
  private requests = 0;
  private promptTokens = 0;
  private cachedTokens = 0;
  private wastedTokens = 0;

  add(measurement: RequestMeasurement): void {
    this.requests += 1;
    if (measurement.error !== '') {
      const previousCount = this.errorKinds.get(measurement.error) ?? 0;
      this.errorKinds.set(measurement.error, previousCount + 1);
      return;
    }
    const { firstTokenMs, promptTokens, cachedTokens, repeatedTokens } = measurement;
    this.firstToken.recordValue(Math.round(firstTokenMs * MICROSECONDS_PER_MS));
    this.promptTokens += promptTokens;
    this.cachedTokens += cachedTokens;
    this.wastedTokens += Math.max(0, repeatedTokens - cachedTokens);
  }

  summary(): MeasurementSummary {
    const errors = [...this.errorKinds.values()].reduce((sum, count) => sum + count, 0);
    const tokens = Math.max(1, this.promptTokens);
    return {
      requests: this.requests,
      errors,
      errorKinds: Object.fromEntries(this.errorKinds),
      hitRate: this.cachedTokens / tokens,
      wastedShare: this.wastedTokens / tokens,
      firstTokenMs: {
        p50: this.percentile(50),
        p95: this.percentile(95),
        p99: this.percentile(99),
      },
    };
  }

  private percentile(percent: number): number {
    return this.firstToken.getValueAtPercentile(percent) / MICROSECONDS_PER_MS;
  }
}

/** Formats the summary as lines for a terminal. */
export function formatSummary(summary: MeasurementSummary): string {
  const { requests, errors, errorKinds, hitRate, wastedShare, firstTokenMs } = summary;
  const percent = (value: number): string => `${(value * 100).toFixed(1)} %`;
  const kinds = Object.entries(errorKinds).map(([kind, count]) => `${kind}: ${count}`);
  return [
    `requests               ${requests}`,
    `errors                 ${errors}${kinds.length > 0 ? ` (${kinds.join(', ')})` : ''}`,
    `prefix hit rate        ${percent(hitRate)} of prompt tokens`,
    `wasted recomputation   ${percent(wastedShare)} of prompt tokens`,
    `time to first token    p50 ${firstTokenMs.p50.toFixed(1)} ms, p95 ${firstTokenMs.p95.toFixed(1)} ms, p99 ${firstTokenMs.p99.toFixed(1)} ms`,
  ].join('\n');
}
