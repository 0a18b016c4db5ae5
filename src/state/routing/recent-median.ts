/** Median of the latest values of a quantity that hardly changes. Pure. */

const MAXIMUM_VALUES = 63;

/** Keeps the latest values with their times. */
export class RecentMedian {
  private readonly values: number[] = [];
  private latestMs = -Infinity;
  private cached: number | undefined;

  /**
   * @param minimumValues a median of fewer values is not used
   * @param lifetimeMs the median expires this long after the last value
   */
  constructor(
    private readonly minimumValues: number,
    private readonly lifetimeMs: number,
  ) {}

  add(value: number, nowMs: number): void {
    if (nowMs - this.latestMs > this.lifetimeMs) this.values.length = 0;
    this.latestMs = nowMs;
    this.values.push(value);
    if (this.values.length > MAXIMUM_VALUES) this.values.shift();
    this.cached = undefined;
  }

  /** The median; undefined if there are too few values or they have expired. */
  at(nowMs: number): number | undefined {
    if (this.values.length < this.minimumValues) return undefined;
    if (nowMs - this.latestMs > this.lifetimeMs) return undefined;
    this.cached ??= medianOf(this.values);
    return this.cached;
  }
}

/** The median of at least one value; the lower of the two middle ones. */
export function medianOf(values: readonly number[]): number {
  const sorted = values.toSorted((left, right) => left - right);
  return sorted[(sorted.length - 1) >> 1] as number;
}
