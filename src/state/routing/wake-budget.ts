/**
 * Number of requests that a router may send to a service whose engines are nearly full. All routers
 * see the same free capacity in the same load report; if each filled it, the engines would reject
 * most of the requests. Pure.
 */

/** Sends that one router may make before the next load report. */
export class WakeBudget {
  private credits: number;
  private maximum = MINIMUM_BANK;

  /** @param initialShare 0 to 1, random, so that routers with small shares take turns */
  constructor(initialShare: number) {
    this.credits = MINIMUM_BANK * initialShare;
  }

  /**
   * Adds the sends that load reports allow.
   *
   * @param room requests that the engines have room for
   * @param share this router's share of the traffic
   * @param reports number of reports since the last call
   */
  renew(room: number, share: number, reports = 1): void {
    const ownRoom = room * share;
    this.maximum = Math.max(MINIMUM_BANK, ownRoom);
    this.add(ownRoom * usedPart(share) * reports);
  }

  /** Records that a request of this router has ended, whose place the next one may take. */
  noteEnd(share: number): void {
    this.add(usedPart(share));
  }

  get isEmpty(): boolean {
    return this.credits < 1;
  }

  /** Records a send, also one that needed no credit. */
  spend(): void {
    this.credits = Math.max(0, this.credits - 1);
  }

  private add(amount: number): void {
    this.credits = Math.min(this.maximum, this.credits + amount);
  }
}

/**
 * Unused sends that a router keeps, so that it can send at once when a request arrives. Routers whose
 * share of the room is below one send need at least one.
 */
const MINIMUM_BANK = 1.5;
/**
 * Part of the room of a report, and of the places of requests that end, that a router with a very
 * small share fills. Both show the same free capacity, and a report is one to two periods old, so
 * filling all of it overshoots. In the model of `queue-wakes.test.ts`, parts of 0.5 to 0.6 gave the
 * most requests in time and hardly any rejections for 84 routers.
 */
const STALE_PART = 0.55;

/**
 * The part grows with the share, since a router knows of its own requests without a report: a router
 * alone fills everything. In tests with three routers, a part that grows in proportion to the share
 * left a tenth of the capacity idle.
 */
function usedPart(share: number): number {
  return STALE_PART + (1 - STALE_PART) * Math.sqrt(share);
}

/** Age of the load that a router sees just before the next report, in milliseconds. */
const REPORT_AGE_MS = 200;

/**
 * Whether the requests that arrive before the next load report may exceed the room that the last one
 * shows. Otherwise a request is sent without a credit.
 *
 * @param room requests that the engines have room for
 * @param share this router's share of the traffic
 * @param arrivalsPerSecond requests that arrive at this router
 * @param endsPerSecond requests of this router that end
 */
export function isRoomScarce(
  room: number,
  share: number,
  arrivalsPerSecond: number,
  endsPerSecond: number,
): boolean {
  const ownExcessPerSecond = Math.max(0, arrivalsPerSecond - endsPerSecond);
  // The router's own requests are known, so only those of the others can be missing.
  const excessPerSecond = ownExcessPerSecond * (1 / share - 1);
  return room < (excessPerSecond * REPORT_AGE_MS) / 1_000;
}
