/** What one send adds to the load of its engine, and takes back when it ends. */
import type { LoadTable } from '../../state/routing/load-table.js';
import type { GenerationShape } from '../../state/routing/generation.js';

/** The load of one send. */
export class LoadShare {
  private unreadTokens: number;
  private readonly heldTokens: number;
  private isReleased = false;

  constructor(
    private readonly loads: LoadTable,
    private readonly engineId: string,
    generation: GenerationShape | undefined,
    unreadTokens: number,
  ) {
    this.unreadTokens = unreadTokens;
    this.heldTokens = generation ? generation.promptTokens + generation.maximumOutputTokens : 0;
    loads.change(engineId, { requests: 1, unreadTokens, heldTokens: this.heldTokens });
  }

  /** The first token came, so the prompt has been read. */
  notePromptRead(): void {
    if (this.isReleased || this.unreadTokens === 0) return;
    this.loads.change(this.engineId, {
      requests: 0,
      unreadTokens: -this.unreadTokens,
      heldTokens: 0,
    });
    this.unreadTokens = 0;
  }

  /** The send has ended; harmless when called again. */
  release(): void {
    if (this.isReleased) return;
    this.isReleased = true;
    this.loads.change(this.engineId, {
      requests: -1,
      unreadTokens: -this.unreadTokens,
      heldTokens: -this.heldTokens,
    });
  }
}
