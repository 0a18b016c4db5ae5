/** How much this router has sent lately, by model: requests, or tokens of their prompts. Pure. */

/** Amounts are added up in spans of this length. */
const SPAN_MS = 500;
/** Whole spans that count. */
const SPANS = 6;
const MILLISECONDS_PER_SECOND = 1_000;

interface SpanAmount {
  readonly span: number;
  amount: number;
}

/** Amounts a second over the last few seconds. */
export class SendRate {
  private readonly byModel = new Map<string, SpanAmount[]>();

  note(model: string, amount: number, nowMs: number): void {
    const span = Math.floor(nowMs / SPAN_MS);
    const spans = this.byModel.get(model) ?? [];
    const newest = spans.at(-1);
    if (newest?.span === span) newest.amount += amount;
    else spans.push({ span, amount });
    if (spans.length > SPANS + 1) spans.shift();
    this.byModel.set(model, spans);
  }

  /** Mean over the whole spans before the present one. */
  perSecond(model: string, nowMs: number): number {
    const present = Math.floor(nowMs / SPAN_MS);
    const spans = this.byModel.get(model) ?? [];
    const counted = spans.filter(({ span }) => span < present && span >= present - SPANS);
    const total = counted.reduce((sum, { amount }) => sum + amount, 0);
    return (total * MILLISECONDS_PER_SECOND) / (SPANS * SPAN_MS);
  }
}
