/**
 * Lives of engines that others have taken the place of in the list. Starts come from clocks that may step
 * back, so which of two lives is the later one can turn out differently: what was known is kept.
 */
import type { EngineRecord } from './engine-record.js';

/** A life that another one has followed. */
export interface SupersededIncarnation {
  /** What was last known of it, newer versions of weights among it. */
  readonly record: EngineRecord;
  /** Whether its own entry had been taken. */
  readonly isListed: boolean;
  /** Whether its entries are refused from then on: only its own answer brings it back. */
  readonly isForGood: boolean;
}

/** Lives remembered; a list forgets a life that is over within seconds. */
const MAXIMUM_LIVES = 4_096;

/** Followed lives by incarnation. */
export class SupersededIncarnations {
  private readonly lives = new Map<string, SupersededIncarnation>();

  find(incarnation: string): SupersededIncarnation | undefined {
    return this.lives.get(incarnation);
  }

  note(life: SupersededIncarnation): void {
    const { id } = life.record;
    this.lives.delete(id);
    this.lives.set(id, life);
    if (this.lives.size <= MAXIMUM_LIVES) return;
    const [oldest] = this.lives.keys();
    if (oldest !== undefined) this.lives.delete(oldest);
  }

  /** The life is in the list again. */
  take(incarnation: string): SupersededIncarnation | undefined {
    const life = this.lives.get(incarnation);
    this.lives.delete(incarnation);
    return life;
  }
}
