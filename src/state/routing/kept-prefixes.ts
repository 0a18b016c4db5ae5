/**
 * Which parts of prompts engines and cache stores keep, as far as this router has heard.
 * A part counts under its salt only, so that other weights or another tenant never match.
 */
import type { PromptPart } from './generation.js';

/** Beliefs about all holders. A holder is an engine's incarnation or a store's address. */
export class KeptPrefixes {
  private readonly holders = new Map<string, Map<string, number>>();

  /** Notes that a holder keeps `tokens` of a part; 0 where it dropped the part. */
  note(holder: string, salt: string, partId: string, tokens: number): void {
    let parts = this.holders.get(holder);
    if (!parts) {
      parts = new Map();
      this.holders.set(holder, parts);
    }
    const key = keyOf(salt, partId);
    if (tokens > 0) parts.set(key, tokens);
    else parts.delete(key);
  }

  /** Notes that a holder has read a whole prompt. */
  notePrompt(holder: string, salt: string, parts: readonly PromptPart[]): void {
    for (const part of parts) this.note(holder, salt, part.id, part.tokens);
  }

  /** Tokens of the prompt's beginning that the holder keeps. */
  leadingTokens(holder: string, salt: string, parts: readonly PromptPart[]): number {
    const kept = this.holders.get(holder);
    if (!kept) return 0;
    let leading = 0;
    for (const part of parts) {
      const tokens = kept.get(keyOf(salt, part.id)) ?? 0;
      leading += Math.min(tokens, part.tokens);
      if (tokens < part.tokens) break;
    }
    return leading;
  }

  /** Forgets a holder: it restarted, left or took other weights. */
  forget(holder: string): void {
    this.holders.delete(holder);
  }

  /** Forgets all holders that are not listed. */
  retain(holders: ReadonlySet<string>): void {
    for (const holder of this.holders.keys()) {
      if (!holders.has(holder)) this.holders.delete(holder);
    }
  }

  /** Parts believed kept by one holder. */
  sizeOf(holder: string): number {
    return this.holders.get(holder)?.size ?? 0;
  }
}

function keyOf(salt: string, partId: string): string {
  return `${salt}\n${partId}`;
}
