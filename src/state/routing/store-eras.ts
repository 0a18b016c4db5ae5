/**
 * Tracks the newest store era that one router has observed, and when it replaced another one.
 * Agreements that were made through the store in a previous era may be lost and have to be made
 * again. Pure.
 */
import { StoreEra } from '../../runtime/store-position.js';

/** The store eras observed by one router. */
export class StoreEras {
  private newestEra: number = StoreEra.Unknown;
  private lastChangeMs = -Infinity;

  /**
   * @param isFirstStart whether the whole deployment starts for the first time, so that no previous
   *   era exists
   */
  constructor(private readonly isFirstStart: boolean) {}

  /** {@link StoreEra.Unknown} before the first observation. */
  get newest(): number {
    return this.newestEra;
  }

  /**
   * Monotonic time at which the newest era was first observed, in milliseconds; -Infinity if no
   * agreement can date from a previous era.
   */
  get changedMs(): number {
    return this.lastChangeMs;
  }

  /**
   * Records that an object in the store was written in an era before the newest one, so that the deployment
   * does not start for the first time.
   */
  observePrevious(nowMs: number): void {
    if (this.lastChangeMs === -Infinity) this.lastChangeMs = nowMs;
  }

  /** Records an era reported by the store or by another router. */
  observe(era: number, nowMs: number): void {
    if (era <= this.newestEra) return;
    const isFirst = this.newestEra === StoreEra.Unknown;
    this.newestEra = era;
    // A router that has just started can't know whether the store was restored shortly before.
    const hasPreviousEra = isFirst ? era !== StoreEra.None && !this.isFirstStart : true;
    if (hasPreviousEra) this.lastChangeMs = nowMs;
  }
}
