/** The versions of weights that operators have named, and until when older ones may be used. */

import type { StoreOutages } from './store-outages.js';

const MILLISECONDS_PER_SECOND = 1_000;

interface NamedVersion {
  readonly version: number;
  /** When this router may first have been able to know of it. */
  readonly namedMs: number;
}

/** Named versions of all models. */
export class WeightVersions {
  private readonly byModel = new Map<string, NamedVersion[]>();

  /**
   * @param graceMs time from the naming of a version until older ones may serve no new request, not
   *   counting the time in which the store is out
   */
  constructor(
    private readonly graceMs: number,
    private readonly outages: StoreOutages,
  ) {}

  /** Notes a version; false where it is known already or older than the newest. */
  note(model: string, version: number, namedMs: number): boolean {
    const versions = this.byModel.get(model) ?? [];
    const newest = versions.at(-1);
    if (newest && newest.version >= version) return false;
    versions.push({ version, namedMs });
    this.byModel.set(model, versions);
    return true;
  }

  get models(): string[] {
    return [...this.byModel.keys()];
  }

  newest(model: string): number | undefined {
    return this.byModel.get(model)?.at(-1)?.version;
  }

  /** Versions named a second over a span that ends now, in milliseconds. */
  namesPerSecond(model: string, spanMs: number, nowMs: number): number {
    const named = (this.byModel.get(model) ?? []).filter(({ namedMs }) => namedMs > nowMs - spanMs);
    return (named.length * MILLISECONDS_PER_SECOND) / spanMs;
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

  private dueOf({ namedMs }: NamedVersion, nowMs: number): number {
    return namedMs + this.graceMs + this.outages.within(namedMs, nowMs);
  }
}
