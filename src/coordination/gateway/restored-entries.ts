/**
 * Entries of engines that are there again only because the store was restored from an older copy of itself. An engine
 * whose entry went may serve on a little without taking new work, and some never announce that they leave. So an entry that
 * was seen to go counts, in the list of a restored store, only once it has outlived the time after which an entry lapses
 * that its engine does not write; one that is written in the new era counts at once.
 */
import type { Clock } from '../../runtime/clock.js';
import type { Logger } from '../../runtime/logger.js';
import type { StoredObject } from '../../protocol/object-store/port.js';

/** Lives that are remembered after their entries went; only those of the last seconds can be back. */
const MAXIMUM_GONE = 256;

/** What this works with. */
export interface RestoredEntriesParts {
  readonly clock: Clock;
  readonly logger: Logger;
  /** An entry that its engine does not write for so long lapses, in milliseconds. */
  readonly entryLifetimeMs: number;
  /** Takes an entry that was held back for long enough. */
  release(entry: StoredObject): void;
}

/** The entries that one router holds back. */
export class RestoredEntries {
  /** Lives whose entries went, the newest last. */
  private readonly gone = new Set<string>();
  private readonly held = new Map<string, StoredObject>();
  private isRestored = false;

  constructor(private readonly parts: RestoredEntriesParts) {}

  /** The next list is the first one of a restored store. */
  noteRestored(): void {
    this.isRestored = true;
  }

  /** A list was taken whole. */
  noteListed(): void {
    this.isRestored = false;
  }

  /** The entry of a life went for good. */
  noteGone(life: string): void {
    this.gone.add(life);
    const [oldest] = this.gone;
    if (this.gone.size > MAXIMUM_GONE && oldest !== undefined) this.gone.delete(oldest);
  }

  /** An entry that is held back lapsed, or a later one took its place. */
  drop(name: string): void {
    this.held.delete(name);
  }

  /** Whether the entry of a life must wait; else it counts from now on. */
  holdsBack(entry: StoredObject, life: string): boolean {
    if (this.held.get(entry.name)?.position.isSame(entry.position)) return true;
    if (this.isRestored && this.gone.has(life)) {
      this.hold(entry);
      return true;
    }
    this.held.delete(entry.name);
    this.gone.delete(life);
    return false;
  }

  private hold(entry: StoredObject): void {
    const { clock, logger, entryLifetimeMs, release } = this.parts;
    logger.info('engine_entry_held_back', { engine: entry.name, for_ms: entryLifetimeMs });
    this.held.set(entry.name, entry);
    clock.setTimer(entryLifetimeMs, () => {
      if (this.held.get(entry.name) !== entry) return;
      this.held.delete(entry.name);
      release(entry);
    });
  }
}
