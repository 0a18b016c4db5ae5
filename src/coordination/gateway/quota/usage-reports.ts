/**
 * Usage that was granted without the quota owner, and is reported to it afterwards. A report is
 * repeated until the owner acknowledges it, so that the owner subtracts from its account what a
 * substitute, or a router on its own, has granted in the meantime.
 */
import type { Clock, Timer } from '../../../runtime/clock.js';
import type { Logger } from '../../../runtime/logger.js';
import type { QuotaAnswer } from '../../../protocol/peer/generated/cluster_pb.js';
import type { QuotaGroup } from './quota-group.js';
import type { QuotaQuestionSender } from './quota-question-sender.js';

/** Usage of one tenant that its owner has not acknowledged. */
interface UnacknowledgedUsage {
  readonly owner: string;
  readonly tenant: string;
  /** Units that are in no report yet; negative for refunds. */
  unreportedUnits: number;
  /** The report that awaits its acknowledgement. */
  report: PendingReport | undefined;
}

interface PendingReport {
  readonly number: number;
  readonly units: number;
  readonly firstSentMs: number;
  sends: number;
  timer: Timer | undefined;
}

/** Pause before the first repetition of a report; doubles up to {@link MAXIMUM_REPEAT_MS}. */
const FIRST_REPEAT_MS = 25;
const MAXIMUM_REPEAT_MS = 400;
/** Above the number of tenants whose owners are unresponsive at the same time. */
const MAXIMUM_ENTRIES = 1_024;

/** Reports usage to quota owners. */
export class UsageReports {
  private readonly entries = new Map<string, UnacknowledgedUsage>();
  private readonly entriesByNumber = new Map<number, UnacknowledgedUsage>();

  /**
   * @param lifetimeMs age at which usage no longer counts towards any limit
   * @param onOwnerLevel receives the level of the owner's account with each acknowledgement, in units
   */
  constructor(
    private readonly sender: QuotaQuestionSender,
    private readonly group: QuotaGroup,
    private readonly lifetimeMs: number,
    private readonly clock: Clock,
    private readonly logger: Logger,
    private readonly onOwnerLevel: (tenant: string, level: number) => void,
  ) {}

  /** Adds units, negative for a refund, to what is reported to the owner. */
  add(owner: string, tenant: string, units: number): void {
    if (owner === this.group.ownAddress) return;
    const key = keyOf(owner, tenant);
    let entry = this.entries.get(key);
    if (!entry) {
      this.evictOldest();
      entry = { owner, tenant, unreportedUnits: 0, report: undefined };
      this.entries.set(key, entry);
    }
    entry.unreportedUnits += units;
    if (!entry.report) this.sendNext(entry);
  }

  /** Handles an acknowledgement; returns false if the number is of no report. */
  acknowledge({ number, level }: QuotaAnswer): boolean {
    const entry = this.entriesByNumber.get(number);
    if (!entry) return false;
    this.endReport(entry);
    this.onOwnerLevel(entry.tenant, Number(level));
    this.sendNext(entry);
    return true;
  }

  stop(): void {
    for (const entry of this.entries.values()) entry.report?.timer?.cancel();
    this.entries.clear();
    this.entriesByNumber.clear();
  }

  private sendNext(entry: UnacknowledgedUsage): void {
    const units = Math.round(entry.unreportedUnits);
    entry.unreportedUnits = 0;
    if (units === 0) {
      this.entries.delete(keyOf(entry.owner, entry.tenant));
      return;
    }
    const number = this.sender.nextNumber();
    const firstSentMs = this.clock.now();
    const report: PendingReport = { number, units, firstSentMs, sends: 0, timer: undefined };
    entry.report = report;
    this.entriesByNumber.set(number, entry);
    this.send(entry, report);
  }

  private send(entry: UnacknowledgedUsage, report: PendingReport): void {
    const { owner, tenant } = entry;
    const { number, units } = report;
    // A forwarded question is charged where it arrives.
    const charge = { amount: units, isTaken: true, isLate: true };
    this.sender.send(owner, number, { ...charge, tenant, isForwarded: true });
    report.sends += 1;
    const pauseMs = Math.min(MAXIMUM_REPEAT_MS, FIRST_REPEAT_MS * 2 ** (report.sends - 1));
    report.timer = this.clock.setTimer(pauseMs, () => this.repeat(entry, report));
  }

  private repeat(entry: UnacknowledgedUsage, report: PendingReport): void {
    if (this.clock.now() - report.firstSentMs < this.lifetimeMs) {
      this.send(entry, report);
      return;
    }
    const { owner, tenant } = entry;
    this.logger.warn('quota_usage_expired', { accountant: owner, tenant, units: report.units });
    this.endReport(entry);
    this.sendNext(entry);
  }

  private endReport(entry: UnacknowledgedUsage): void {
    if (!entry.report) return;
    entry.report.timer?.cancel();
    this.entriesByNumber.delete(entry.report.number);
    entry.report = undefined;
  }

  private evictOldest(): void {
    if (this.entries.size < MAXIMUM_ENTRIES) return;
    const [oldest] = this.entries;
    if (!oldest) return;
    this.endReport(oldest[1]);
    this.entries.delete(oldest[0]);
  }
}

function keyOf(owner: string, tenant: string): string {
  return `${owner}|${tenant}`;
}
