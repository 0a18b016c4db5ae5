/**
 * The newest era of the store that one router knows of, and when it followed on another. What was agreed through the store in a former
 * era may be lost: whoever acts on that has to agree anew. Pure.
 */
import { StoreEra } from '../../runtime/store-position.js';

/** Eras as one router learns of them. */
export class StoreEras {
  private newestEra: number = StoreEra.Unknown;
  private lastChangeMs = -Infinity;

  /** @param isFirstStart whether the whole deployment starts for the first time: no era came before the first one */
  constructor(private readonly isFirstStart: boolean) {}

  /** {@link StoreEra.Unknown} before the first answer. */
  get newest(): number {
    return this.newestEra;
  }

  /**
   * Steady time at which the newest era was first heard of, in milliseconds; -Infinity where nothing can have been
   * agreed in a former one.
   */
  get changedMs(): number {
    return this.lastChangeMs;
  }

  /** An answer of the store, or another router, shows an era. */
  note(era: number, nowMs: number): void {
    if (era <= this.newestEra) return;
    const isFirst = this.newestEra === StoreEra.Unknown;
    this.newestEra = era;
    // A router that has just started can't know whether the store was restored a moment ago.
    const hasFormer = isFirst ? era !== StoreEra.None && !this.isFirstStart : true;
    if (hasFormer) this.lastChangeMs = nowMs;
  }
}
