/**
 * Which parts of prompts engines and cache stores keep, as far as this router has heard.
 * A part counts under its salt only, so that other weights or another tenant never match.
 */
import type { PromptPart } from './generation.js';

/** Beliefs about all holders. A holder is an engine's incarnation or a store's address. */
export class CachedPrefixes {
  /** Tokens kept by holder, for each part under its salt. */
  private readonly holdersByPart = new Map<string, Map<string, number>>();
  /** Turn in which each part was noted last, by holder. */
  private readonly partsByHolder = new Map<string, Map<string, number>>();
  private turn = 0;
  private reported: ReadonlySet<string> = new Set();

  /** Notes that a holder keeps `tokens` of a part; 0 where it dropped the part. */
  note(holder: string, salt: string, partId: string, tokens: number): void {
    const key = keyOf(salt, partId);
    if (tokens > 0) this.add(holder, key, tokens);
    else this.drop(holder, key);
  }

  /** Notes that a holder has read a whole prompt. */
  notePrompt(holder: string, salt: string, parts: readonly PromptPart[]): void {
    for (const part of parts) this.note(holder, salt, part.id, part.tokens);
  }

  /** Tokens of the prompt's beginning by holder; holders of nothing are left out. */
  leadingTokens(salt: string, parts: readonly PromptPart[]): Map<string, number> {
    const leading = new Map<string, number>();
    let unbroken: Iterable<string> | undefined;
    for (const part of parts) {
      const kept = this.holdersByPart.get(keyOf(salt, part.id));
      if (!kept) break;
      const next: string[] = [];
      for (const holder of unbroken ?? kept.keys()) {
        const tokens = Math.min(kept.get(holder) ?? 0, part.tokens);
        if (tokens === 0) continue;
        leading.set(holder, (leading.get(holder) ?? 0) + tokens);
        if (tokens === part.tokens) next.push(holder);
      }
      unbroken = next;
    }
    return leading;
  }

  /** Forgets a holder: it restarted, left or took other weights. */
  forget(holder: string): void {
    for (const key of [...(this.partsByHolder.get(holder)?.keys() ?? [])]) this.drop(holder, key);
    this.partsByHolder.delete(holder);
  }

  /** Forgets all holders that are not listed. */
  retain(holders: ReadonlySet<string>): void {
    for (const holder of [...this.partsByHolder.keys()]) {
      if (!holders.has(holder)) this.forget(holder);
    }
  }

  /** Sets which holders report what they keep and drop; nothing tells that of the others. */
  setReported(holders: ReadonlySet<string>): void {
    this.reported = holders;
  }

  /** Whether what is believed of a holder follows its own reports. */
  isReported(holder: string): boolean {
    return this.reported.has(holder);
  }

  /**
   * Begins a new turn: of holders that do not report, what was not noted in this turn or the one before
   * is forgotten, since nothing would tell that they dropped it.
   */
  expire(): void {
    for (const [holder, parts] of this.partsByHolder) {
      if (this.isReported(holder)) continue;
      for (const [key, notedTurn] of [...parts]) {
        if (notedTurn < this.turn) this.drop(holder, key);
      }
    }
    this.turn += 1;
  }

  /** Parts believed kept by one holder. */
  sizeOf(holder: string): number {
    return this.partsByHolder.get(holder)?.size ?? 0;
  }

  private add(holder: string, key: string, tokens: number): void {
    let holders = this.holdersByPart.get(key);
    if (!holders) {
      holders = new Map();
      this.holdersByPart.set(key, holders);
    }
    holders.set(holder, tokens);
    let parts = this.partsByHolder.get(holder);
    if (!parts) {
      parts = new Map();
      this.partsByHolder.set(holder, parts);
    }
    parts.set(key, this.turn);
  }

  private drop(holder: string, key: string): void {
    const holders = this.holdersByPart.get(key);
    if (!holders?.delete(holder)) return;
    if (holders.size === 0) this.holdersByPart.delete(key);
    this.partsByHolder.get(holder)?.delete(key);
  }
}

function keyOf(salt: string, partId: string): string {
  return `${salt}\n${partId}`;
}
