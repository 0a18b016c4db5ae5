/** Counts how requests and sends ended in logs, by cause, and how long callers waited for a rejection. Pure. */
import { type Histogram, build } from 'hdr-histogram-js';
import type { LogLine } from './log-line.js';

/** Counters by cause, the largest first when printed. */
class Tally {
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

/** The summary of all lines that were added. */
export class LogSummary {
  private readonly outcomes = new Tally();
  private readonly failedSends = new Tally();
  private readonly afterFailure = new Tally();
  private readonly failuresBySecond = new Map<number, Tally>();
  private readonly rejectedAfterMs = new Map<string, Histogram>();
  /** Reason for which each request's last send failed. */
  private readonly lastFailure = new Map<string, string>();
  private firstMs: number | undefined;

  add(line: LogLine): void {
    if (line.timeMs !== undefined) this.firstMs ??= line.timeMs;
    if (line.event === 'send_failed') this.addFailedSend(line);
    if (line.event === 'request_finished') this.addFinished(line);
  }

  /** @param isBySecond whether failures are counted by second of the logs as well */
  format(isBySecond: boolean): string[] {
    return [
      ...this.outcomes.format('Requests by outcome'),
      ...this.failedSends.format('Failed sends by cause'),
      ...this.afterFailure.format('Requests with a failed send'),
      'Time to a rejection that promises nothing ran, ms:',
      ...[...this.rejectedAfterMs].map(([reason, histogram]) => formatWaits(reason, histogram)),
      ...(isBySecond ? this.formatSeconds() : []),
    ];
  }

  private addFailedSend({ fields }: LogLine): void {
    const reason = fields.get('reason') ?? '';
    this.failedSends.add(`${fields.get('kind') ?? ''} ${reason}`);
    this.lastFailure.set(fields.get('request') ?? '', reason);
  }

  private addFinished(line: LogLine): void {
    const { fields } = line;
    const outcome = fields.get('outcome') ?? '';
    const ownStatus = fields.get('own_status');
    const status = ownStatus ?? fields.get('answer_status');
    const described = status === undefined ? outcome : `${outcome} (${status})`;
    this.outcomes.add(described);
    if (outcome !== 'answered') this.noteSecond(line, described);
    if (ownStatus === NOT_RUN_STATUS) this.noteRejection(outcome, Number(fields.get('took_ms')));
    const request = fields.get('request') ?? '';
    const reason = this.lastFailure.get(request);
    if (reason === undefined) return;
    this.lastFailure.delete(request);
    this.afterFailure.add(`after ${reason}, ${fields.get('sends') ?? '?'} sends: ${described}`);
  }

  private noteSecond({ timeMs }: LogLine, described: string): void {
    if (timeMs === undefined || this.firstMs === undefined) return;
    const second = Math.floor((timeMs - this.firstMs) / MILLISECONDS_PER_SECOND);
    const tally = this.failuresBySecond.get(second) ?? new Tally();
    tally.add(described);
    this.failuresBySecond.set(second, tally);
  }

  private noteRejection(reason: string, tookMs: number): void {
    const histogram = this.rejectedAfterMs.get(reason) ?? build();
    histogram.recordValue(Math.max(0, tookMs));
    this.rejectedAfterMs.set(reason, histogram);
  }

  private formatSeconds(): string[] {
    const seconds = [...this.failuresBySecond].sort(([left], [right]) => left - right);
    return seconds.flatMap(([second, tally]) =>
      tally.format(`Without an answer, second ${second}`),
    );
  }
}

function formatWaits(reason: string, histogram: Histogram): string {
  const [median, high, longest] = [50, 99, 100].map((each) => histogram.getValueAtPercentile(each));
  return `  ${String(histogram.totalCount).padStart(7)}  ${reason}: p50 ${median}, p99 ${high}, most ${longest}`;
}
