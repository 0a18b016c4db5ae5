/**
 * Counts and logs malformed engine entries: entries with missing fields, fields of a wrong type, or
 * an unknown state or service. Each entry is reported once per store position.
 */
import type { Clock } from '../../runtime/clock.js';
import type { Logger } from '../../runtime/logger.js';
import type { StorePosition } from '../../runtime/store-position.js';
import type { GatewayStatistics } from './gateway-statistics.js';

/** Remembered entries; prevents a list from reporting an entry again that a watch reported. */
const MAXIMUM_REMEMBERED = 1_024;
/** Log lines per window; further entries are only counted. */
const LOG_LINES_PER_WINDOW = 20;
const WINDOW_MS = 60_000;
/** Characters of a key or a reason in the log; both may contain untrusted text. */
const MAXIMUM_TEXT_LENGTH = 120;
/** Represents items without a key; no object has an empty key. */
const NO_KEY = '';

/** The malformed entries that one router has observed. */
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

  /** Reports the entry `key` as malformed at a store position. */
  report(key: string, position: StorePosition, reason: string): void {
    if (this.positions.get(key)?.equals(position)) return;
    this.remember(key, position);
    this.countAndLog(key, position, reason, 1);
  }

  /** Reports items of one store response that had no key. */
  reportUnnamed(count: number, position: StorePosition): void {
    if (this.positions.get(NO_KEY)?.equals(position)) return;
    this.remember(NO_KEY, position);
    this.countAndLog(NO_KEY, position, 'no key that can be read', count);
  }

  private remember(key: string, position: StorePosition): void {
    this.positions.delete(key);
    this.positions.set(key, position);
    if (this.positions.size <= MAXIMUM_REMEMBERED) return;
    const [oldest] = this.positions.keys();
    if (oldest !== undefined) this.positions.delete(oldest);
  }

  private countAndLog(key: string, position: StorePosition, reason: string, entries: number): void {
    this.statistics.oddEntries += entries;
    if (!this.mayLog()) return;
    this.logger.warn('entry_odd', {
      key: key.slice(0, MAXIMUM_TEXT_LENGTH),
      revision: position.revision,
      reason: reason.slice(0, MAXIMUM_TEXT_LENGTH),
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
    if (this.lines >= LOG_LINES_PER_WINDOW) {
      this.suppressed += 1;
      return false;
    }
    this.lines += 1;
    return true;
  }
}
