/**
 * Holds back entries that reappear only because the store was restored from an older copy of
 * itself. An engine whose entry was removed may keep running for a while without accepting new
 * requests. If the list of a restored store contains such an entry, it is used only after the
 * lifetime of an entry that its engine doesn't write again. An entry written in the new store era
 * is used at once.
 */
import type { Clock } from '../../runtime/clock.js';
import type { Logger } from '../../runtime/logger.js';
import type { StoredObject } from '../../protocol/object-store/port.js';

/** Remembered incarnations with removed entries; only recently removed entries can reappear. */
const MAXIMUM_REMOVED = 256;

/** Dependencies and settings of {@link RestoredEntries}. */
export interface RestoredEntriesParts {
  readonly clock: Clock;
  readonly logger: Logger;
  /** Time after which an entry lapses if its engine doesn't write it again, in milliseconds. */
  readonly entryLifetimeMs: number;
  /** Called with an entry that no longer needs to be held back. */
  release(entry: StoredObject): void;
}

/** Holds back reappeared entries for one router. */
export class RestoredEntries {
  /** Incarnations whose entries were removed, the newest last. */
  private readonly removed = new Set<string>();
  private readonly heldBack = new Map<string, StoredObject>();
  private isRestored = false;

  constructor(private readonly parts: RestoredEntriesParts) {}

  /** Marks the next list as the first one of a restored store. */
  noteRestored(): void {
    this.isRestored = true;
  }

  /** Records that a list was applied completely. */
  noteListed(): void {
    this.isRestored = false;
  }

  /** Records that the entry of an incarnation was removed. */
  recordRemoved(incarnation: string): void {
    this.removed.add(incarnation);
    const [oldest] = this.removed;
    if (this.removed.size > MAXIMUM_REMOVED && oldest !== undefined) this.removed.delete(oldest);
  }

  /** Drops an entry that was held back and has lapsed or been replaced. */
  drop(name: string): void {
    this.heldBack.delete(name);
  }

  /** Whether an incarnation's entry is held back; otherwise the entry is used from now on. */
  holdsBack(entry: StoredObject, incarnation: string): boolean {
    if (this.heldBack.get(entry.name)?.position.equals(entry.position)) return true;
    if (this.isRestored && this.removed.has(incarnation)) {
      this.holdBack(entry);
      return true;
    }
    this.heldBack.delete(entry.name);
    this.removed.delete(incarnation);
    return false;
  }

  private holdBack(entry: StoredObject): void {
    const { clock, logger, entryLifetimeMs, release } = this.parts;
    logger.info('engine_entry_held_back', { engine: entry.name, for_ms: entryLifetimeMs });
    this.heldBack.set(entry.name, entry);
    clock.setTimer(entryLifetimeMs, () => {
      if (this.heldBack.get(entry.name) !== entry) return;
      this.heldBack.delete(entry.name);
      release(entry);
    });
  }
}
