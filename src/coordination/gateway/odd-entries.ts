/**
 * Entries of engines that can't be used: another writer may have left fields out, given them another type,
 * or named a state or service that is not known. Each is counted and logged once for each of its revisions.
 */
import type { Clock } from '../../runtime/clock.js';
import type { Logger } from '../../runtime/logger.js';
import type { GatewayStatistics } from './gateway-statistics.js';

/** Entries whose last odd revision is remembered, so that a list does not repeat what a watch showed. */
const MAXIMUM_REMEMBERED = 1_024;
/** Log lines within one window; further entries are only counted. */
const LINES_PER_WINDOW = 20;
const WINDOW_MS = 60_000;
/** Characters of a key or a reason in the log: both come from the other writer. */
const MAXIMUM_TEXT = 120;
/** Stands for items without a key; no object has it. */
const UNNAMED = '';

/** The odd entries that one router has met. */
export class OddEntries {
  private readonly revisions = new Map<string, number>();
  private windowBeganMs = -Infinity;
  private lines = 0;
  private suppressed = 0;

  constructor(
    private readonly statistics: GatewayStatistics,
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {}

  /** An entry can't be used as it stands at a revision; `key` is its name. */
  note(key: string, revision: number, reason: string): void {
    if (this.revisions.get(key) === revision) return;
    this.remember(key, revision);
    this.count(key, revision, reason, 1);
  }

  /** Items of one answer of the store had not even a key. */
  noteUnnamed(count: number, revision: number): void {
    if (this.revisions.get(UNNAMED) === revision) return;
    this.remember(UNNAMED, revision);
    this.count(UNNAMED, revision, 'no key that can be read', count);
  }

  private remember(key: string, revision: number): void {
    this.revisions.delete(key);
    this.revisions.set(key, revision);
    if (this.revisions.size <= MAXIMUM_REMEMBERED) return;
    const [oldest] = this.revisions.keys();
    if (oldest !== undefined) this.revisions.delete(oldest);
  }

  private count(key: string, revision: number, reason: string, entries: number): void {
    this.statistics.oddEntries += entries;
    if (!this.mayLog()) return;
    this.logger.warn('entry_odd', {
      key: key.slice(0, MAXIMUM_TEXT),
      revision,
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
