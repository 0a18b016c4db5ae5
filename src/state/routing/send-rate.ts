/** Rate at which this router sends requests or prompt tokens, by model. Pure. */

/** Length of one span of the sliding window. */
const SPAN_MS = 500;
/** Number of complete spans in the window. */
const SPAN_COUNT = 6;
const MILLISECONDS_PER_SECOND = 1_000;

interface SpanAmount {
  readonly span: number;
  amount: number;
}

/** Amounts per second over a sliding window. */
export class SendRate {
  private readonly byModel = new Map<string, SpanAmount[]>();

  record(model: string, amount: number, nowMs: number): void {
    const span = Math.floor(nowMs / SPAN_MS);
    const spans = this.byModel.get(model) ?? [];
    const newest = spans.at(-1);
    if (newest?.span === span) newest.amount += amount;
    else spans.push({ span, amount });
    if (spans.length > SPAN_COUNT + 1) spans.shift();
    this.byModel.set(model, spans);
  }

  /** Mean over the complete spans before the current one. */
  perSecond(model: string, nowMs: number): number {
    const current = Math.floor(nowMs / SPAN_MS);
    const spans = this.byModel.get(model) ?? [];
    const counted = spans.filter(({ span }) => span < current && span >= current - SPAN_COUNT);
    const total = counted.reduce((sum, { amount }) => sum + amount, 0);
    return (total * MILLISECONDS_PER_SECOND) / (SPAN_COUNT * SPAN_MS);
  }
}
