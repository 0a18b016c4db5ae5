/** The load that one send adds to its engine and removes when it ends. */
import type { LoadTable } from '../../state/routing/load-table.js';
import type { GenerationShape } from '../../state/routing/generation.js';

/** Tracks the load of one send. */
export class SendLoad {
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

  /** Removes the load after the send has ended; further calls have no effect. */
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
