/** What a generation request tells of its prompt. */

/** Part of a prompt, known by its identifier. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** What a generation tells of itself. */
export interface GenerationShape {
  readonly model: string;
  /** In order; the last belongs to the request or its session, the others are shared. */
  readonly parts: readonly PromptPart[];
  readonly promptTokens: number;
  readonly maximumOutputTokens: number;
}

/** The parts that other requests may share. */
export function sharedPartsOf(generation: GenerationShape): readonly PromptPart[] {
  return generation.parts.slice(0, -1);
}

/** What the prompt is about: its last shared part, or the request's own where none is shared. */
export function affinityKeyOf(generation: GenerationShape): string {
  const { parts } = generation;
  return (parts.at(-2) ?? parts.at(-1))?.id ?? '';
}

/** Engines look up kept prompts under this text; it names the weights, and the tenant where walled. */
export function cacheSaltOf(
  model: string,
  version: number,
  isolatedTenant: string | undefined,
): string {
  const base = `${model}@${version}`;
  return isolatedTenant === undefined ? base : `${base}/${isolatedTenant}`;
}
