/** KV memory that a generation takes at its engine. Pure. */
import { type GenerationShape, expectedOutputOf, sharedPartsOf } from './generation.js';
import type { HeldPart } from './load-table.js';

/** Tokens of KV memory that one generation takes. */
export interface MemoryUse {
  /** Prompt tokens that are not in `cachedParts`. */
  readonly promptTokens: number;
  /** Shared parts that the engine is known to have cached and stores once for all requests. */
  readonly cachedParts: readonly HeldPart[];
  readonly expectedOutputTokens: number;
  readonly maximumOutputTokens: number;
}

/** Memory of a generation whose whole prompt and largest output are counted. */
export function wholeMemoryUse({ promptTokens, maximumOutputTokens }: GenerationShape): MemoryUse {
  const expectedOutputTokens = maximumOutputTokens;
  return { promptTokens, cachedParts: [], expectedOutputTokens, maximumOutputTokens };
}

/**
 * Memory of a generation at an engine with a cached prefix of its prompt.
 *
 * @param cachedTokens length of the prefix that the engine is known to have cached
 */
export function expectedMemoryUse(
  generation: GenerationShape,
  salt: string,
  cachedTokens: number,
): MemoryUse {
  const cachedParts: HeldPart[] = [];
  let remainingTokens = cachedTokens;
  for (const { id, tokens } of sharedPartsOf(generation)) {
    if (tokens > remainingTokens) break;
    remainingTokens -= tokens;
    cachedParts.push({ key: `${salt}\n${id}`, tokens });
  }
  return {
    promptTokens: generation.promptTokens - (cachedTokens - remainingTokens),
    cachedParts,
    expectedOutputTokens: expectedOutputOf(generation),
    maximumOutputTokens: generation.maximumOutputTokens,
  };
}
