/** The load that one send adds to its engine and removes when it ends. */
import type { LoadTable } from '../../state/routing/load-table.js';
import type { MemoryUse } from '../../state/routing/memory-use.js';

/** Tracks the load of one send. */
export class SendLoad {
  private unreadTokens: number;
  /** KV memory counted for this send alone: the prompt without cached parts, and the output. */
  private heldTokens: number;
  private outputTokens: number;
  private eventCount = 0;
  private isReleased = false;

  /** @param memory undefined for requests that generate no tokens */
  constructor(
    private readonly loads: LoadTable,
    private readonly engineId: string,
    unreadTokens: number,
    private readonly memory: MemoryUse | undefined,
  ) {
    this.unreadTokens = unreadTokens;
    this.outputTokens = memory?.expectedOutputTokens ?? 0;
    this.heldTokens = (memory?.promptTokens ?? 0) + this.outputTokens;
    loads.change(engineId, { requests: 1, unreadTokens, heldTokens: this.heldTokens });
    for (const part of memory?.cachedParts ?? []) loads.holdPart(engineId, part);
  }

  /** Removes the unread prompt tokens once the engine sends its first token. */
  notePromptRead(): void {
    if (this.isReleased || this.unreadTokens === 0) return;
    this.loads.change(this.engineId, {
      requests: 0,
      unreadTokens: -this.unreadTokens,
      heldTokens: 0,
    });
    this.unreadTokens = 0;
  }

  /**
   * Notes an event of the response, which carries at least one token. A stream that outgrows its
   * expected output is expected to become twice as long, up to the caller's limit.
   */
  noteEvent(): void {
    this.eventCount += 1;
    const { memory, outputTokens } = this;
    if (this.isReleased || !memory || this.eventCount <= outputTokens) return;
    const nextTokens = Math.min(2 * this.eventCount, memory.maximumOutputTokens);
    const addedTokens = nextTokens - outputTokens;
    if (addedTokens <= 0) return;
    this.outputTokens = nextTokens;
    this.heldTokens += addedTokens;
    this.loads.change(this.engineId, { requests: 0, unreadTokens: 0, heldTokens: addedTokens });
  }

  /** Removes the load after the send has ended; further calls have no effect. */
  release(): void {
    if (this.isReleased) return;
    this.isReleased = true;
    for (const part of this.memory?.cachedParts ?? []) {
      this.loads.releasePart(this.engineId, part);
    }
    this.loads.change(this.engineId, {
      requests: -1,
      unreadTokens: -this.unreadTokens,
      heldTokens: -this.heldTokens,
    });
  }
}
