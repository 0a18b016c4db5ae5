/** Shape of a generation request: its model, prompt parts and token counts. */
import type { CacheNamespace } from './cache-namespace.js';

/** Part of a prompt, identified by its content. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** The properties of a generation request that matter to routing. */
export interface GenerationShape {
  readonly model: string;
  /** In prompt order; the last part belongs to the request or session, the others may be shared. */
  readonly parts: readonly PromptPart[];
  readonly promptTokens: number;
  readonly maximumOutputTokens: number;
  /** The caller's guess of the output tokens: right in the median, often far off. */
  readonly expectedOutputTokens?: number | undefined;
}

/** The parts that other requests may share. */
export function sharedPartsOf(generation: GenerationShape): readonly PromptPart[] {
  return generation.parts.slice(0, -1);
}

/** Output tokens to expect: the caller's guess within its limit, or the limit without a guess. */
export function expectedOutputOf(generation: GenerationShape): number {
  const { expectedOutputTokens, maximumOutputTokens } = generation;
  return Math.min(expectedOutputTokens ?? maximumOutputTokens, maximumOutputTokens);
}

/** Groups requests by their last shared part, or by the request's own part if none is shared. */
export function affinityKeyOf(generation: GenerationShape): string {
  const { parts } = generation;
  return (parts.at(-2) ?? parts.at(-1))?.id ?? '';
}

/** Under which engines keep prefixes: the weight version, and who may share them. */
export function cacheSaltOf(model: string, version: number, namespace: CacheNamespace): string {
  return `${model}@${version}${namespace}`;
}
