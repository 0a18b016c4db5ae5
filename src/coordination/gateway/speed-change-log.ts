/** Logs and counts changed beliefs about the speed of engines. */
import type { Clock } from '../../runtime/clock.js';
import type { Logger } from '../../runtime/logger.js';
import type { SpeedChange, SpeedTableEvents } from '../../state/routing/engine-speed-table.js';
import type { GatewayStatistics } from './gateway-statistics.js';

/** Lines per second; further changes are only counted. */
const MAXIMUM_LINES_PER_SECOND = 10;
const SECOND_MS = 1_000;
/** Decimal places of times in the log. */
const TENTHS = 10;

/** Bounded log of changes. */
export class SpeedChangeLog implements SpeedTableEvents {
  private linesUntilMs = -Infinity;
  private lines = 0;

  constructor(
    private readonly statistics: GatewayStatistics,
    private readonly logger: Logger,
    private readonly clock: Clock,
  ) {}

  onChange({ engineId, oldEventMs, newEventMs, source, ageMs }: SpeedChange): void {
    this.statistics.engineSpeedChanges += 1;
    if (!this.takeLine()) return;
    this.logger.info('engine_speed_changed', {
      engine: engineId,
      old_event_ms: oldEventMs === undefined ? undefined : rounded(oldEventMs),
      new_event_ms: rounded(newEventMs),
      source,
      age_ms: Math.round(ageMs),
    });
  }

  onLimited(): void {
    this.statistics.engineSpeedReportsLimited += 1;
  }

  private takeLine(): boolean {
    const now = this.clock.now();
    if (now >= this.linesUntilMs) {
      this.linesUntilMs = now + SECOND_MS;
      this.lines = 0;
    }
    this.lines += 1;
    return this.lines <= MAXIMUM_LINES_PER_SECOND;
  }
}

function rounded(valueMs: number): number {
  return Math.round(valueMs * TENTHS) / TENTHS;
}
