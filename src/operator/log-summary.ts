/** Summarizes logs: outcomes of requests and sends by cause, and the time to a rejection. Pure. */
import { type Histogram, build } from 'hdr-histogram-js';
import type { LogLine } from './log-line.js';

/** Counts by cause, formatted in descending order. */
class CauseCounter {
  private readonly counts = new Map<string, number>();

  add(cause: string): void {
    this.counts.set(cause, (this.counts.get(cause) ?? 0) + 1);
  }

  format(title: string): string[] {
    const rows = [...this.counts].sort(([, left], [, right]) => right - left);
    const total = rows.reduce((sum, [, count]) => sum + count, 0);
    const lines = rows.map(([cause, count]) => `  ${String(count).padStart(7)}  ${cause}`);
    return [`${title}: ${total}`, ...lines];
  }
}

const MILLISECONDS_PER_SECOND = 1_000;
const NOT_RUN_STATUS = '503';

/** Accumulates a summary of log lines. */
export class LogSummary {
  private readonly outcomes = new CauseCounter();
  private readonly failedSends = new CauseCounter();
  private readonly outcomesAfterFailure = new CauseCounter();
  private readonly failuresBySecond = new Map<number, CauseCounter>();
  private readonly rejectionDelaysMs = new Map<string, Histogram>();
  /** Reason of the last failed send, by request. */
  private readonly lastFailureReason = new Map<string, string>();
  private firstMs: number | undefined;

  add(line: LogLine): void {
    if (line.timeMs !== undefined) this.firstMs ??= line.timeMs;
    if (line.event === 'send_failed') this.addFailedSend(line);
    if (line.event === 'request_finished') this.addFinished(line);
  }

  /** @param isBySecond whether to include failures per second of the logs */
  format(isBySecond: boolean): string[] {
    return [
      ...this.outcomes.format('Requests by outcome'),
      ...this.failedSends.format('Failed sends by cause'),
      ...this.outcomesAfterFailure.format('Requests with a failed send'),
      'Time to a rejection of requests that did not run, ms:',
      ...[...this.rejectionDelaysMs].map(([reason, histogram]) => formatDelays(reason, histogram)),
      ...(isBySecond ? this.formatFailuresBySecond() : []),
    ];
  }

  private addFailedSend({ fields }: LogLine): void {
    const reason = fields.get('reason') ?? '';
    this.failedSends.add(`${fields.get('kind') ?? ''} ${reason}`);
    this.lastFailureReason.set(fields.get('request') ?? '', reason);
  }

  private addFinished(line: LogLine): void {
    const { fields } = line;
    const outcome = fields.get('outcome') ?? '';
    const ownStatus = fields.get('own_status');
    const status = ownStatus ?? fields.get('answer_status');
    const outcomeWithStatus = status === undefined ? outcome : `${outcome} (${status})`;
    this.outcomes.add(outcomeWithStatus);
    if (outcome !== 'answered') this.countFailure(line, outcomeWithStatus);
    if (ownStatus === NOT_RUN_STATUS) this.recordRejection(outcome, Number(fields.get('took_ms')));
    const request = fields.get('request') ?? '';
    const reason = this.lastFailureReason.get(request);
    if (reason === undefined) return;
    this.lastFailureReason.delete(request);
    this.outcomesAfterFailure.add(
      `after ${reason}, ${fields.get('sends') ?? '?'} sends: ${outcomeWithStatus}`,
    );
  }

  private countFailure({ timeMs }: LogLine, outcomeWithStatus: string): void {
    if (timeMs === undefined || this.firstMs === undefined) return;
    const second = Math.floor((timeMs - this.firstMs) / MILLISECONDS_PER_SECOND);
    const counter = this.failuresBySecond.get(second) ?? new CauseCounter();
    counter.add(outcomeWithStatus);
    this.failuresBySecond.set(second, counter);
  }

  private recordRejection(reason: string, tookMs: number): void {
    const histogram = this.rejectionDelaysMs.get(reason) ?? build();
    histogram.recordValue(Math.max(0, tookMs));
    this.rejectionDelaysMs.set(reason, histogram);
  }

  private formatFailuresBySecond(): string[] {
    const seconds = [...this.failuresBySecond].sort(([left], [right]) => left - right);
    return seconds.flatMap(([second, counter]) => counter.format(`Failures in second ${second}`));
  }
}

function formatDelays(reason: string, histogram: Histogram): string {
  const [median, high, longest] = [50, 99, 100].map((each) => histogram.getValueAtPercentile(each));
  return `  ${String(histogram.totalCount).padStart(7)}  ${reason}: p50 ${median}, p99 ${high}, max ${longest}`;
}
