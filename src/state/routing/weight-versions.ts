/** The weight versions that operators have published, and how long older ones may be used. */

import type { StoreOutages } from './store-outages.js';

const MILLISECONDS_PER_SECOND = 1_000;

/** A version that an operator published. */
export interface PublishedVersion {
  readonly version: number;
  /** Earliest time at which this router or the announcing one may have observed the version. */
  readonly namedMs: number;
  /**
   * Whether a router was following the store when the version was published. Otherwise the version
   * was found later and its time is an estimate.
   */
  readonly isWitnessed: boolean;
}

/** Versions retained per model; older ones are past their deadline. */
const MAXIMUM_VERSIONS = 16;

/** Published versions of all models. */
export class WeightVersions {
  private readonly byModel = new Map<string, PublishedVersion[]>();

  /**
   * @param graceMs time from the publication of a version until older ones must not serve new
   *   requests, excluding outages of the store
   * @param beginSlackMs additional time in which requests that were sent before may still start on
   *   them
   */
  constructor(
    private readonly graceMs: number,
    private readonly outages: StoreOutages,
    private readonly beginSlackMs = 0,
  ) {}

  /**
   * Records a version; returns whether it is newer than all known ones. Observed times take
   * precedence over estimated ones, earlier times over later ones.
   */
  record(model: string, published: PublishedVersion): boolean {
    const versions = this.byModel.get(model) ?? [];
    const newest = versions.at(-1)?.version ?? 0;
    const known = versions.find((each) => each.version === published.version);
    const others = versions.filter((each) => each !== known);
    const kept = known ? moreReliable(known, published) : published;
    const sorted = [...others, kept].sort((left, right) => left.version - right.version);
    this.byModel.set(model, sorted.slice(-MAXIMUM_VERSIONS));
    return published.version > newest;
  }

  /** Versions of a model whose publication was observed at or after `sinceMs`. */
  observedSince(model: string, sinceMs: number): PublishedVersion[] {
    const versions = this.byModel.get(model) ?? [];
    return versions.filter(({ isWitnessed, namedMs }) => isWitnessed && namedMs >= sinceMs);
  }

  get models(): string[] {
    return [...this.byModel.keys()];
  }

  newest(model: string): number | undefined {
    return this.byModel.get(model)?.at(-1)?.version;
  }

  /**
   * Estimates the publication rate from the intervals between the versions of the last `spanMs`
   * milliseconds, and from the time since the last one if that exceeds the mean interval.
   */
  publicationsPerSecond(model: string, spanMs: number, nowMs: number): number {
    const published = (this.byModel.get(model) ?? []).filter(
      ({ namedMs }) => namedMs > nowMs - spanMs,
    );
    const overSpan = published.length / spanMs;
    const [first, last] = [published[0], published.at(-1)];
    if (!first || !last || first === last) return overSpan * MILLISECONDS_PER_SECOND;
    const intervals = published.length - 1;
    const meanIntervalMs = (last.namedMs - first.namedMs) / intervals;
    const overdueMs = Math.max(0, nowMs - last.namedMs - meanIntervalMs);
    const byIntervals = intervals / Math.max(1, meanIntervalMs * intervals + overdueMs);
    return Math.max(overSpan, byIntervals) * MILLISECONDS_PER_SECOND;
  }

  /** The lowest version that may serve a new request. */
  minimum(model: string, nowMs: number): number {
    const versions = this.byModel.get(model) ?? [];
    const due = versions.filter((published) => nowMs >= this.deadlineMsOf(published, nowMs)).at(-1);
    return due?.version ?? 0;
  }

  /**
   * The deadline by which engines must have replaced `version`, extended by the outages so far;
   * undefined if there is no newer version.
   */
  dueMs(model: string, version: number, nowMs: number): number | undefined {
    const next = (this.byModel.get(model) ?? []).find((published) => published.version > version);
    return next && this.deadlineMsOf(next, nowMs);
  }

  /**
   * Until when a request sent to an engine with `version` may start; undefined without a deadline.
   */
  lastStartMs(model: string, version: number, nowMs: number): number | undefined {
    const dueMs = this.dueMs(model, version, nowMs);
    return dueMs === undefined ? undefined : dueMs + this.beginSlackMs;
  }

  private deadlineMsOf({ namedMs }: PublishedVersion, nowMs: number): number {
    return namedMs + this.graceMs + this.outages.outageMsBetween(namedMs, nowMs);
  }
}

function moreReliable(left: PublishedVersion, right: PublishedVersion): PublishedVersion {
  if (left.isWitnessed !== right.isWitnessed) return left.isWitnessed ? left : right;
  return left.namedMs <= right.namedMs ? left : right;
}
