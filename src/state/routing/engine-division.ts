/**
 * Which engines long prompts go to first and which short ones. Pure.
 *
 * Load pattern: an engine that reads a long prompt makes all its streams wait between two tokens, and a few
 * long prompts in a row make each of these streams late by a pause. Long and short prompts at engines apart
 * spare the streams of the short ones, which are many, and cost the long ones nothing while their engines
 * are as many as their share of the reading. The division is a preference: where one side is overloaded
 * its requests go to the other.
 */
import type { GenerationShape } from './generation.js';

/** Prompts from this size on are long: an engine reads them for some 50 ms, ten tokens of a stream. */
const LONG_PROMPT_TOKENS = 2_000;
/** What was sent longer ago counts half. */
const HALF_LIFE_MS = 5_000;
/** Before so many tokens were sent, nothing is known of the shares. */
const LEAST_TOKENS = 40_000;
/** The division follows the share where the engines that this changes are more than this many. */
const TOLERATED_ENGINES = 1.5;

/** An engine and its fixed place in the order that all routers agree on, from 0 to 1. */
export interface PlacedEngine {
  readonly id: string;
  readonly place: number;
}

/** Whether a prompt is read for so long that streams beside it notice. */
export function isLongPrompt({ promptTokens }: GenerationShape): boolean {
  return promptTokens >= LONG_PROMPT_TOKENS;
}

/** The division of one model's engines, as this router's own prompts suggest it. */
export class EngineDivision {
  private longTokens = 0;
  private allTokens = 0;
  private notedMs = 0;
  private chosenShare: number | undefined;

  /** A prompt was sent of which the engine has to read so much. */
  note(generation: GenerationShape, unreadTokens: number, nowMs: number): void {
    const kept = 0.5 ** ((nowMs - this.notedMs) / HALF_LIFE_MS);
    this.notedMs = nowMs;
    this.longTokens = this.longTokens * kept + (isLongPrompt(generation) ? unreadTokens : 0);
    this.allTokens = this.allTokens * kept + unreadTokens;
  }

  /**
   * The highest place of an engine that is for long prompts; the others are for short ones. Undefined where
   * the engines are not divided.
   *
   * @param places of the engines that may be used
   */
  longUpTo(places: readonly number[]): number | undefined {
    if (this.allTokens < LEAST_TOKENS || places.length < 2) return undefined;
    const share = this.share(places.length);
    const count = Math.round(share * places.length);
    if (count === 0 || count === places.length) return undefined;
    const sorted = [...places].sort((left, right) => left - right);
    return sorted[count - 1];
  }

  /** Share of the reading that is for long prompts; holds still while it changes by little. */
  private share(engines: number): number {
    const share = this.longTokens / this.allTokens;
    const { chosenShare } = this;
    const isNear =
      chosenShare !== undefined && Math.abs(share - chosenShare) * engines < TOLERATED_ENGINES;
    if (!isNear) this.chosenShare = share;
    return this.chosenShare ?? share;
  }
}
