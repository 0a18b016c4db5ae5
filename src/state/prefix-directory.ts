/**
 * What a home router believes the engines keep of the prefixes it is home of.
 *
 * A belief says that an engine incarnation keeps the prefix up to a mark. Beliefs are soft: a wrong
 * one costs recomputation, never a wrong answer, since the engine itself matches hashes. Memory is
 * bounded: the marks unused for longest are forgotten first.
 */
import { createBoundedCache } from './bounded-cache.js';

/** Marks kept at most: 200,000 marks stand for 3.2 million blocks. */
const MAXIMUM_MARKS = 200_000;

/** How long a belief that was never confirmed by the engine's feed is held. */
const ASSUMED_BELIEF_MS = 4_000;

/** Confidence in a mark that was only assumed, or that an engine with a broken feed reported. */
const LOW_CONFIDENCE = 0.6;

interface Belief {
  incarnation: number;
  /** False while only this router's own dispatch speaks for it. */
  heard: boolean;
  sinceMs: number;
}

/** How much of a prompt an engine is believed to keep. */
export interface PrefixDepth {
  /** Leading marks believed kept. */
  marks: number;
  /** 1: all heard from the engine's feed. */
  confidence: number;
}

/** One router's share of the directory. */
export class PrefixDirectory {
  private readonly marks = createBoundedCache<bigint, Map<string, Belief>>(MAXIMUM_MARKS);
  private readonly incarnations = new Map<string, number>();
  private readonly doubted = new Set<string>();

  /** Marks with at least one belief. */
  get size(): number {
    return this.marks.size;
  }

  /** Notes an engine's incarnation; beliefs about an earlier one count no more. */
  setIncarnation(engineId: string, incarnation: number): void {
    const present = this.incarnations.get(engineId) ?? 0;
    if (incarnation > present) this.incarnations.set(engineId, incarnation);
  }

  /** Forgets an engine that left or died. */
  dropEngine(engineId: string): void {
    this.incarnations.delete(engineId);
    this.doubted.delete(engineId);
  }

  /** Lowers or restores the confidence in all beliefs about an engine (its feed has a gap). */
  setDoubted(engineId: string, doubted: boolean): void {
    if (doubted) this.doubted.add(engineId);
    else this.doubted.delete(engineId);
  }

  /** The engine's feed says that it keeps the mark, or dropped it. */
  hear(engineId: string, incarnation: number, mark: bigint, present: boolean, nowMs: number): void {
    this.setIncarnation(engineId, incarnation);
    if (incarnation !== this.incarnations.get(engineId)) return;
    if (present) this.put(mark, engineId, { incarnation, heard: true, sinceMs: nowMs });
    else this.remove(mark, engineId);
  }

  /** A prompt was sent to the engine, which will keep its marks for a while. */
  assume(engineId: string, marks: readonly bigint[], nowMs: number): void {
    const incarnation = this.incarnations.get(engineId);
    if (incarnation === undefined) return;
    for (const mark of marks) {
      const present = this.marks.get(mark)?.get(engineId);
      if (present?.heard && present.incarnation === incarnation) continue;
      this.put(mark, engineId, { incarnation, heard: false, sinceMs: nowMs });
    }
  }

  /** The engine has just computed the prompt, and so keeps all its marks now. */
  confirm(engineId: string, incarnation: number, marks: readonly bigint[], nowMs: number): void {
    for (const mark of marks) this.hear(engineId, incarnation, mark, true, nowMs);
  }

  /** An answer said how many marks were really kept: beliefs beyond those were wrong. */
  correct(engineId: string, marks: readonly bigint[], keptMarks: number): void {
    for (const mark of marks.slice(keptMarks)) this.remove(mark, engineId);
  }

  /** Believed depth of the prompt's chain for each engine that keeps any of it. */
  depths(marks: readonly bigint[], nowMs: number): Map<string, PrefixDepth> {
    const depths = new Map<string, PrefixDepth>();
    for (const [index, mark] of marks.entries()) {
      const beliefs = this.marks.get(mark);
      if (!beliefs || !this.extendDepths(depths, beliefs, index, nowMs)) break;
    }
    return depths;
  }

  /** Extends the engines that keep all marks before `index`; false where none does. */
  private extendDepths(
    depths: Map<string, PrefixDepth>,
    beliefs: ReadonlyMap<string, Belief>,
    index: number,
    nowMs: number,
  ): boolean {
    let extended = false;
    for (const [engineId, belief] of beliefs) {
      if (!this.counts(engineId, belief, nowMs)) continue;
      const confidence = this.confidence(engineId, belief);
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

  private counts(engineId: string, belief: Belief, nowMs: number): boolean {
    if (belief.incarnation !== this.incarnations.get(engineId)) return false;
    return belief.heard || nowMs - belief.sinceMs < ASSUMED_BELIEF_MS;
  }

  private confidence(engineId: string, belief: Belief): number {
    return belief.heard && !this.doubted.has(engineId) ? 1 : LOW_CONFIDENCE;
  }

  private put(mark: bigint, engineId: string, belief: Belief): void {
    const beliefs = this.marks.get(mark);
    if (beliefs) beliefs.set(engineId, belief);
    else this.marks.set(mark, new Map([[engineId, belief]]));
  }

  private remove(mark: bigint, engineId: string): void {
    const beliefs = this.marks.get(mark);
    if (!beliefs?.delete(engineId)) return;
    if (beliefs.size === 0) this.marks.delete(mark);
  }
}
