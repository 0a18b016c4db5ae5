/** What befell the routers of a simulated deployment, for rules that excuse a router for a while. Moments in milliseconds. */

/** A router was disturbed for a while. */
interface Disturbance {
  readonly router: string;
  readonly fromMs: number;
  readonly untilMs: number;
}

/** A router is held to its bounds again this long after a disturbance has ended. */
export const CONTACT_MS = 3_000;

/** The record of one deployment. */
export class Disturbances {
  /** Times in which a router was down, stood still or had no way to the store. */
  private readonly all: Disturbance[] = [];
  /** Times in which a router was cut off from all others. */
  private readonly cuts: Disturbance[] = [];
  /** Times in which a router's process did not run, and its restarts. */
  private readonly interruptions: Disturbance[] = [];

  /** A router has no way to the store, or something else keeps it from meeting its bounds. */
  note(router: string, fromMs: number, forMs: number): void {
    this.all.push({ router, fromMs, untilMs: fromMs + forMs });
  }

  /** A router is cut off from all others. */
  noteCut(router: string, fromMs: number, forMs: number): void {
    this.cuts.push({ router, fromMs, untilMs: fromMs + forMs });
  }

  /** The process ends or stands still, which also keeps it from meeting its bounds. */
  noteInterruption(router: string, fromMs: number, forMs: number): void {
    this.interruptions.push({ router, fromMs, untilMs: fromMs + forMs });
    this.note(router, fromMs, forMs);
  }

  /** Whether a router need not keep its bounds at a moment. */
  isDisturbed(router: string, atMs: number): boolean {
    return this.all.some(
      (each) => each.router === router && each.fromMs <= atMs && atMs <= each.untilMs + CONTACT_MS,
    );
  }

  /** Since when no router has been disturbed, at a moment; undefined where one is. */
  calmSinceMs(atMs: number): number | undefined {
    const begun = this.all.filter(({ fromMs }) => fromMs <= atMs);
    const lastMs = Math.max(0, ...begun.map(({ untilMs }) => untilMs));
    return lastMs <= atMs ? lastMs : undefined;
  }

  /** Whether a router's process did not run all the time between two moments. */
  wasInterrupted(router: string, fromMs: number, untilMs: number): boolean {
    return overlapsAny(this.interruptions, router, fromMs, untilMs);
  }

  /** Whether a router was cut off from the others at some time between two moments. */
  wasCutOff(router: string, fromMs: number, untilMs: number): boolean {
    return overlapsAny(this.cuts, router, fromMs, untilMs);
  }
}

function overlapsAny(
  disturbances: readonly Disturbance[],
  router: string,
  fromMs: number,
  untilMs: number,
): boolean {
  return disturbances.some(
    (each) => each.router === router && each.fromMs <= untilMs && each.untilMs >= fromMs,
  );
}
