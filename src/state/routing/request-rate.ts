/** How many requests this router has sent lately, by model. Pure. */

/** Requests are counted in spans of this length. */
const SPAN_MS = 500;
/** Whole spans that count. */
const SPANS = 6;
const MILLISECONDS_PER_SECOND = 1_000;

interface SpanCount {
  readonly span: number;
  count: number;
}

/** Requests a second over the last few seconds. */
export class RequestRate {
  private readonly byModel = new Map<string, SpanCount[]>();

  note(model: string, nowMs: number): void {
    const span = Math.floor(nowMs / SPAN_MS);
    const counts = this.byModel.get(model) ?? [];
    const newest = counts.at(-1);
    if (newest?.span === span) newest.count += 1;
    else counts.push({ span, count: 1 });
    if (counts.length > SPANS + 1) counts.shift();
    this.byModel.set(model, counts);
  }

  /** Mean over the whole spans before the present one. */
  perSecond(model: string, nowMs: number): number {
    const present = Math.floor(nowMs / SPAN_MS);
    const counts = this.byModel.get(model) ?? [];
    const counted = counts.filter(({ span }) => span < present && span >= present - SPANS);
    const requests = counted.reduce((sum, { count }) => sum + count, 0);
    return (requests * MILLISECONDS_PER_SECOND) / (SPANS * SPAN_MS);
  }
}
