/** Load reports with the staleness of a real engine's reports. */
import type { Clock } from '../../runtime/clock.js';
import type { EngineLoadReport } from '../../protocol/engine/port.js';

/** Caches a load report and refreshes it on a read after `lagMs`. */
export class DelayedLoadReport {
  private lastReport: EngineLoadReport;
  private lastReportAtMs = Number.NEGATIVE_INFINITY;

  /**
   * @param lagMs time for which a report is returned before the load is measured again
   * @param measure returns the current load
   */
  constructor(
    private readonly lagMs: number,
    private readonly clock: Clock,
    private readonly measure: () => EngineLoadReport,
  ) {
    this.lastReport = measure();
  }

  get report(): EngineLoadReport {
    const nowMs = this.clock.now();
    if (nowMs - this.lastReportAtMs >= this.lagMs) {
      this.lastReportAtMs = nowMs;
      this.lastReport = this.measure();
    }
    return this.lastReport;
  }
}
