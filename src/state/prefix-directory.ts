/**
 * Estimates which engines have cached the prefixes of which this router is the home.
 *
 * An estimate states that an engine incarnation has cached the prefix up to a mark. A wrong
 * estimate costs recomputation but never a wrong response, since the engine itself compares the
 * hashes. The number of marks is bounded; the least recently used ones are evicted first.
 */
import { createBoundedCache } from './bounded-cache.js';

const MAXIMUM_MARKS = 200_000;

/** Lifetime of an estimate that the engine's feed has not confirmed. */
const UNCONFIRMED_LIFETIME_MS = 4_000;

/** Confidence in an unconfirmed estimate, or in one about an engine whose feed has a gap. */
const LOW_CONFIDENCE = 0.6;

interface Estimate {
  incarnation: number;
  /** Whether the engine confirmed it; otherwise it is assumed from a dispatch of this router. */
  isConfirmed: boolean;
  recordedAtMs: number;
}

/** Estimated part of a prompt that an engine has cached. */
export interface PrefixDepth {
  /** Number of leading marks. */
  marks: number;
  /** From 0 to 1; 1 if all marks are confirmed. */
  confidence: number;
}

/** The part of the directory at one router. */
export class PrefixDirectory {
  private readonly marks = createBoundedCache<bigint, Map<string, Estimate>>(MAXIMUM_MARKS);
  private readonly incarnations = new Map<string, number>();
  private readonly unreliableEngines = new Set<string>();

  /** Number of marks with at least one estimate. */
  get size(): number {
    return this.marks.size;
  }

  /** Records an engine's incarnation; invalidates estimates about previous ones. */
  setIncarnation(engineId: string, incarnation: number): void {
    const present = this.incarnations.get(engineId) ?? 0;
    if (incarnation > present) this.incarnations.set(engineId, incarnation);
  }

  /** Removes an engine that left or failed. */
  dropEngine(engineId: string): void {
    this.incarnations.delete(engineId);
    this.unreliableEngines.delete(engineId);
  }

  /** Lowers the confidence in all estimates about an engine while its feed has a gap. */
  setFeedGap(engineId: string, hasGap: boolean): void {
    if (hasGap) this.unreliableEngines.add(engineId);
    else this.unreliableEngines.delete(engineId);
  }

  /** Records that the engine's feed reported the mark as stored or removed. */
  recordMark(
    engineId: string,
    incarnation: number,
    mark: bigint,
    present: boolean,
    nowMs: number,
  ): void {
    this.setIncarnation(engineId, incarnation);
    if (incarnation !== this.incarnations.get(engineId)) return;
    if (present) this.put(mark, engineId, { incarnation, isConfirmed: true, recordedAtMs: nowMs });
    else this.remove(mark, engineId);
  }

  /** Records that a prompt was sent to the engine, which is assumed to cache its marks. */
  assume(engineId: string, marks: readonly bigint[], nowMs: number): void {
    const incarnation = this.incarnations.get(engineId);
    if (incarnation === undefined) return;
    for (const mark of marks) {
      const present = this.marks.get(mark)?.get(engineId);
      if (present?.isConfirmed && present.incarnation === incarnation) continue;
      this.put(mark, engineId, { incarnation, isConfirmed: false, recordedAtMs: nowMs });
    }
  }

  /** Records that the engine computed the prompt, so that all its marks are cached. */
  confirm(engineId: string, incarnation: number, marks: readonly bigint[], nowMs: number): void {
    for (const mark of marks) this.recordMark(engineId, incarnation, mark, true, nowMs);
  }

  /** Removes the estimates beyond the number of marks that a response reported as cached. */
  correct(engineId: string, marks: readonly bigint[], cachedMarks: number): void {
    for (const mark of marks.slice(cachedMarks)) this.remove(mark, engineId);
  }

  /** Estimated depth of the prompt's chain for each engine that has cached a part of it. */
  depths(marks: readonly bigint[], nowMs: number): Map<string, PrefixDepth> {
    const depths = new Map<string, PrefixDepth>();
    for (const [index, mark] of marks.entries()) {
      const estimates = this.marks.get(mark);
      if (!estimates || !this.extendDepths(depths, estimates, index, nowMs)) break;
    }
    return depths;
  }

  /** Adds the mark at `index` to engines that have cached all before it; false if none has. */
  private extendDepths(
    depths: Map<string, PrefixDepth>,
    estimates: ReadonlyMap<string, Estimate>,
    index: number,
    nowMs: number,
  ): boolean {
    let extended = false;
    for (const [engineId, estimate] of estimates) {
      if (!this.isValid(engineId, estimate, nowMs)) continue;
      const confidence = this.confidence(engineId, estimate);
      const depth = depths.get(engineId);
      if (index === 0) depths.set(engineId, { marks: 1, confidence });
      else if (depth?.marks === index) {
        depth.marks += 1;
        depth.confidence = Math.min(depth.confidence, confidence);
      } else continue;
      extended = true;
    }
    return extended;
  }

  private isValid(engineId: string, estimate: Estimate, nowMs: number): boolean {
    if (estimate.incarnation !== this.incarnations.get(engineId)) return false;
    return estimate.isConfirmed || nowMs - estimate.recordedAtMs < UNCONFIRMED_LIFETIME_MS;
  }

  private confidence(engineId: string, estimate: Estimate): number {
    return estimate.isConfirmed && !this.unreliableEngines.has(engineId) ? 1 : LOW_CONFIDENCE;
  }

  private put(mark: bigint, engineId: string, estimate: Estimate): void {
    const estimates = this.marks.get(mark);
    if (estimates) estimates.set(engineId, estimate);
    else this.marks.set(mark, new Map([[engineId, estimate]]));
  }

  private remove(mark: bigint, engineId: string): void {
    const estimates = this.marks.get(mark);
    if (!estimates?.delete(engineId)) return;
    if (estimates.size === 0) this.marks.delete(mark);
  }
}
