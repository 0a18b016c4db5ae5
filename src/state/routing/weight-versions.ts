/** The versions of weights that operators have named, and until when older ones may be used. */

import type { StoreOutages } from './store-outages.js';

const MILLISECONDS_PER_SECOND = 1_000;

/** A version that an operator named. */
export interface NamedVersion {
  readonly version: number;
  /** When this router, or the one that told it, may first have been able to know of it. */
  readonly namedMs: number;
  /**
   * Whether somebody followed the store when the version came; otherwise it was found there later and
   * its time is a guess.
   */
  readonly isWitnessed: boolean;
}

/** Versions remembered of each model; older ones are out of their time. */
const MAXIMUM_REMEMBERED = 16;

/** Named versions of all models. */
export class WeightVersions {
  private readonly byModel = new Map<string, NamedVersion[]>();

  /**
   * @param graceMs time from the naming of a version until older ones may serve no new request, not
   *   counting the time in which the store is out
   * @param beginSlackMs for so long after that what was sent before may still begin on them
   */
  constructor(
    private readonly graceMs: number,
    private readonly outages: StoreOutages,
    private readonly beginSlackMs = 0,
  ) {}

  /**
   * Notes a version; true where it is newer than all known. The time somebody witnessed goes before one
   * that was guessed, the earlier of two before the later.
   */
  note(model: string, named: NamedVersion): boolean {
    const versions = this.byModel.get(model) ?? [];
    const newest = versions.at(-1)?.version ?? 0;
    const known = versions.find((each) => each.version === named.version);
    const others = versions.filter((each) => each !== known);
    const kept = known ? surer(known, named) : named;
    const sorted = [...others, kept].sort((left, right) => left.version - right.version);
    this.byModel.set(model, sorted.slice(-MAXIMUM_REMEMBERED));
    return named.version > newest;
  }

  /** Versions of a model that somebody saw being named since a moment. */
  witnessedSince(model: string, sinceMs: number): NamedVersion[] {
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
   * How often versions are named: from the pauses between those of a span that ends now, in
   * milliseconds, and from the present pause where it is longer than these.
   */
  namesPerSecond(model: string, spanMs: number, nowMs: number): number {
    const named = (this.byModel.get(model) ?? []).filter(({ namedMs }) => namedMs > nowMs - spanMs);
    const overSpan = named.length / spanMs;
    const [first, last] = [named[0], named.at(-1)];
    if (!first || !last || first === last) return overSpan * MILLISECONDS_PER_SECOND;
    const pauses = named.length - 1;
    const meanPauseMs = (last.namedMs - first.namedMs) / pauses;
    const overdueMs = Math.max(0, nowMs - last.namedMs - meanPauseMs);
    const byPauses = pauses / Math.max(1, meanPauseMs * pauses + overdueMs);
    return Math.max(overSpan, byPauses) * MILLISECONDS_PER_SECOND;
  }

  /** The lowest version that may still serve a request begun now. */
  minimum(model: string, nowMs: number): number {
    const versions = this.byModel.get(model) ?? [];
    const due = versions.filter((named) => nowMs >= this.dueOf(named, nowMs)).at(-1);
    return due?.version ?? 0;
  }

  /**
   * When the first version above `version` must be in force, as far as is known now; undefined where
   * there is none.
   */
  dueMs(model: string, version: number, nowMs: number): number | undefined {
    const next = (this.byModel.get(model) ?? []).find((named) => named.version > version);
    return next && this.dueOf(next, nowMs);
  }

  /** Until when a request that was sent to an engine of a version may begin there; undefined: no end is known. */
  lastBeginMs(model: string, version: number, nowMs: number): number | undefined {
    const dueMs = this.dueMs(model, version, nowMs);
    return dueMs === undefined ? undefined : dueMs + this.beginSlackMs;
  }

  private dueOf({ namedMs }: NamedVersion, nowMs: number): number {
    return namedMs + this.graceMs + this.outages.within(namedMs, nowMs);
  }
}

function surer(left: NamedVersion, right: NamedVersion): NamedVersion {
  if (left.isWitnessed !== right.isWitnessed) return left.isWitnessed ? left : right;
  return left.namedMs <= right.namedMs ? left : right;
}
