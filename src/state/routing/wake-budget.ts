/**
 * Number of waiting requests that a router may send for capacity that has become free. All routers
 * see the same free capacity in the same load report; if each filled it, the engines would reject
 * most of the requests. Pure.
 */
import type { RandomSource } from '../../runtime/random.js';

/** Sends that one router may make until the next load report. */
export class WakeBudget {
  private sends = 0;

  constructor(private readonly random: RandomSource) {}

  /**
   * Starts a new period.
   *
   * @param room requests that the engines have room for
   * @param share of the room that is this router's, as its share of the traffic
   */
  renew(room: number, share: number): void {
    // The random rounding gives routers with less than one send each a turn, without a message.
    this.sends = Math.floor(room * share + this.random.next());
  }

  /** Records that a request of this router has ended, whose place the next one takes. */
  noteEnd(): void {
    this.sends += 1;
  }

  get isEmpty(): boolean {
    return this.sends < 1;
  }

  spend(): void {
    this.sends -= 1;
  }
}
