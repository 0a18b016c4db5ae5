/**
 * Entries of engines that can't be used: another writer may have left fields out, given them another type,
 * or named a state or service that is not known. Each is counted and logged once for each of its states.
 */
import type { Clock } from '../../runtime/clock.js';
import type { Logger } from '../../runtime/logger.js';
import type { StorePosition } from '../../runtime/store-position.js';
import type { GatewayStatistics } from './gateway-statistics.js';

/** Entries whose last odd state is remembered, so that a list does not repeat what a watch showed. */
const MAXIMUM_REMEMBERED = 1_024;
/** Log lines within one window; further entries are only counted. */
const LINES_PER_WINDOW = 20;
const WINDOW_MS = 60_000;
/** Characters of a key or a reason in the log: both come from the other writer. */
const MAXIMUM_TEXT = 120;
/** Stands for items without a key; no object has it. */
const UNNAMED = '';

/** The odd entries that one router has met. */
export class MalformedEntries {
  private readonly positions = new Map<string, StorePosition>();
  private windowBeganMs = -Infinity;
  private lines = 0;
  private suppressed = 0;

  constructor(
    private readonly statistics: GatewayStatistics,
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {}

  /** An entry can't be used as it stands at a position; `key` is its name. */
  note(key: string, position: StorePosition, reason: string): void {
    if (this.positions.get(key)?.isSame(position)) return;
    this.remember(key, position);
    this.count(key, position, reason, 1);
  }

  /** Items of one answer of the store had not even a key. */
  noteUnnamed(count: number, position: StorePosition): void {
    if (this.positions.get(UNNAMED)?.isSame(position)) return;
    this.remember(UNNAMED, position);
    this.count(UNNAMED, position, 'no key that can be read', count);
  }

  private remember(key: string, position: StorePosition): void {
    this.positions.delete(key);
    this.positions.set(key, position);
    if (this.positions.size <= MAXIMUM_REMEMBERED) return;
    const [oldest] = this.positions.keys();
    if (oldest !== undefined) this.positions.delete(oldest);
  }

  private count(key: string, position: StorePosition, reason: string, entries: number): void {
    this.statistics.oddEntries += entries;
    if (!this.mayLog()) return;
    this.logger.warn('entry_odd', {
      key: key.slice(0, MAXIMUM_TEXT),
      revision: position.revision,
      reason: reason.slice(0, MAXIMUM_TEXT),
      entries,
      suppressed: this.suppressed === 0 ? undefined : this.suppressed,
    });
    this.suppressed = 0;
  }

  private mayLog(): boolean {
    const now = this.clock.now();
    if (now - this.windowBeganMs >= WINDOW_MS) {
      this.windowBeganMs = now;
      this.lines = 0;
    }
    if (this.lines >= LINES_PER_WINDOW) {
      this.suppressed += 1;
      return false;
    }
    this.lines += 1;
    return true;
  }
}
