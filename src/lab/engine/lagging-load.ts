/** A load report as engines give it: some time old, and renewed only when it is asked for. */
import type { Clock } from '../../runtime/clock.js';
import type { EngineLoadReport } from '../../protocol/engine/port.js';

/** Shows a measured load with a lag. */
export class LaggingLoad {
  private shown: EngineLoadReport;
  private shownAtMs = Number.NEGATIVE_INFINITY;

  /**
   * @param lagMs a report is shown for this long before it is measured anew
   * @param measure the load at this moment
   */
  constructor(
    private readonly lagMs: number,
    private readonly clock: Clock,
    private readonly measure: () => EngineLoadReport,
  ) {
    this.shown = measure();
  }

  get report(): EngineLoadReport {
    const nowMs = this.clock.now();
    if (nowMs - this.shownAtMs >= this.lagMs) {
      this.shownAtMs = nowMs;
      this.shown = this.measure();
    }
    return this.shown;
  }
}
