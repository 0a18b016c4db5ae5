/**
 * Faults of the routers in a simulated deployment. Rules exempt a router during a fault and for a
 * while after it. All times are in milliseconds.
 */

/** A period in which a router was affected by a fault. */
interface Disturbance {
  readonly router: string;
  readonly fromMs: number;
  readonly untilMs: number;
  /** Whether planned work, or a shortage of processor time, is its cause. */
  readonly isNoDisruption?: boolean;
}

/** A planned stop of a router. */
export interface PlannedStop {
  readonly router: string;
  /** When its signal was sent. */
  readonly sentMs: number;
  readonly graceMs: number;
}

/** Time after a disturbance until the rules apply to the router again. */
export const RECOVERY_MS = 3_000;

/** Time at the end of the grace period for closing connections, as in `platform/`. */
export const CLOSE_ALLOWANCE_MS = 400;

/** All disturbances of one deployment. */
export class Disturbances {
  /** Periods in which a router was down, paused or unable to reach the store. */
  private readonly disturbances: Disturbance[] = [];
  /** Periods in which a router was partitioned from all others. */
  private readonly partitions: Disturbance[] = [];
  /** Periods from the announcement of a planned stop to the end of the process. */
  private readonly stops: Disturbance[] = [];
  readonly plannedStops: PlannedStop[] = [];
  /** Periods in which a router's process did not run. */
  private readonly interruptions: Disturbance[] = [];

  /** Records a fault that keeps a router from meeting its bounds, such as a store outage. */
  recordDisturbance(router: string, fromMs: number, forMs: number): void {
    this.disturbances.push({ router, fromMs, untilMs: fromMs + forMs });
  }

  /** Records a partition of a router from all others. */
  recordPartition(router: string, fromMs: number, forMs: number): void {
    this.partitions.push({ router, fromMs, untilMs: fromMs + forMs });
  }

  /** Records a planned stop, from its announcement to the end of the process. */
  recordStop(router: string, fromMs: number, forMs: number): void {
    this.stops.push({ router, fromMs, untilMs: fromMs + forMs });
    this.plannedStops.push({ router, sentMs: fromMs, graceMs: forMs });
  }

  /** Records that a router's process is down or paused, which is also a disturbance. */
  recordInterruption(router: string, fromMs: number, forMs: number): void {
    this.interruptions.push({ router, fromMs, untilMs: fromMs + forMs });
    this.recordDisturbance(router, fromMs, forMs);
  }

  /**
   * Records that a router's process is down as planned, or short of processor time. It can't meet its
   * bounds, but must lose no request.
   */
  recordPlannedInterruption(router: string, fromMs: number, forMs: number): void {
    const period = { router, fromMs, untilMs: fromMs + forMs, isNoDisruption: true };
    this.interruptions.push(period);
    this.disturbances.push(period);
  }

  /** Whether an unplanned fault affected a router between two points in time. */
  wasDisrupted(router: string, fromMs: number, untilMs: number): boolean {
    const disruptions = this.disturbances.filter(({ isNoDisruption }) => !isNoDisruption);
    return overlapsAny(disruptions, router, fromMs, untilMs);
  }

  /** Whether a router is exempt from its bounds at the given time. */
  isDisturbed(router: string, atMs: number): boolean {
    return this.disturbances.some(
      (each) => each.router === router && each.fromMs <= atMs && atMs <= each.untilMs + RECOVERY_MS,
    );
  }

  /** Time since which no router has been disturbed; undefined if one is at `atMs`. */
  undisturbedSinceMs(atMs: number): number | undefined {
    const started = this.disturbances.filter(({ fromMs }) => fromMs <= atMs);
    const lastMs = Math.max(0, ...started.map(({ untilMs }) => untilMs));
    return lastMs <= atMs ? lastMs : undefined;
  }

  /** Whether a router was about to stop as planned. */
  isStopping(router: string, atMs: number): boolean {
    return overlapsAny(this.stops, router, atMs, atMs);
  }

  /** Whether a planned stop of a router was within the last part of its grace period. */
  isAtEndOfStop(router: string, atMs: number): boolean {
    return this.plannedStops.some(({ router: name, sentMs, graceMs }) => {
      const endMs = sentMs + graceMs;
      return name === router && endMs - CLOSE_ALLOWANCE_MS <= atMs && atMs <= endMs;
    });
  }

  /** Whether a router's process was interrupted between two points in time. */
  wasInterrupted(router: string, fromMs: number, untilMs: number): boolean {
    return overlapsAny(this.interruptions, router, fromMs, untilMs);
  }

  /** Whether a router was partitioned from the others at some point between two times. */
  wasPartitioned(router: string, fromMs: number, untilMs: number): boolean {
    return overlapsAny(this.partitions, router, fromMs, untilMs);
  }
}

function overlapsAny(
  periods: readonly Disturbance[],
  router: string,
  fromMs: number,
  untilMs: number,
): boolean {
  return periods.some(
    (each) => each.router === router && each.fromMs <= untilMs && each.untilMs >= fromMs,
  );
}
