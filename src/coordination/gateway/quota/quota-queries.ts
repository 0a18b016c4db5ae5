/** Queries to quota owners, with retries and failover to the next owner in the ranking. */
import type { Clock, Timer } from '../../../runtime/clock.js';
import type { Logger } from '../../../runtime/logger.js';
import { createBoundedCache } from '../../../state/bounded-cache.js';
import type { QuotaAnswer } from '../../../protocol/peer/generated/cluster_pb.js';
import type { QuotaOwnerRanking } from '../../../state/routing/quota/quota-owner-ranking.js';
import type { AccountedVerdict } from './quota-accounts.js';
import type { QuotaQuery, QuotaQuestionSender } from './quota-question-sender.js';

/** Receives the verdict, or undefined if no quota owner was reachable. */
export type OnVerdict = (verdict: AccountedVerdict | undefined) => void;

/** A query that an owner charged after this router had stopped waiting for it. */
export interface LateCharge {
  readonly owner: string;
  readonly query: QuotaQuery;
}

/**
 * Response timeout of a query. A round trip between zones takes 2 ms, and a busy router responds
 * after about 10 ms.
 */
const RESPONSE_TIMEOUT_MS = 25;
/**
 * Attempts for each quota owner. One datagram in 40 is lost on a bad link, so one repeat leaves
 * about one query in 400 without a response.
 */
const SENDS_PER_OWNER = 2;

/** A forwarded query must end before the timeout of its sender. */
const SENDS_PER_FORWARDED_QUERY = 1;

/** Queries that timed out and whose responses may still arrive. */
const MAXIMUM_TIMED_OUT_QUERIES = 1_024;

interface PendingQuery {
  readonly query: QuotaQuery;
  readonly onVerdict: OnVerdict;
  /** Remaining addresses; the first one is being queried. */
  readonly owners: string[];
  sends: number;
  timer: Timer | undefined;
}

/** Pending queries to quota owners. */
export class QuotaQueries {
  private readonly pending = new Map<number, PendingQuery>();
  private readonly timedOut = createBoundedCache<string, LateCharge>(MAXIMUM_TIMED_OUT_QUERIES);

  /** @param onLateCharge called for a charge that no verdict of this router contains */
  constructor(
    private readonly sender: QuotaQuestionSender,
    private readonly ranking: QuotaOwnerRanking,
    private readonly clock: Clock,
    private readonly logger: Logger,
    private readonly onLateCharge: (charge: LateCharge) => void,
  ) {}

  /**
   * Sends a query.
   *
   * @param owners addresses of other routers, in the order in which they are queried
   */
  submit(query: QuotaQuery, owners: readonly string[], onVerdict: OnVerdict): void {
    if (owners.length === 0) {
      onVerdict(undefined);
      return;
    }
    this.start({ query, onVerdict, owners: [...owners], sends: 0, timer: undefined });
  }

  receive(answer: QuotaAnswer): void {
    const { number, isGranted, retryAfterMs, watchMs, level, isLimitUnknown } = answer;
    const pending = this.pending.get(number);
    if (!pending) {
      this.handleLate(number, isGranted && !isLimitUnknown);
      return;
    }
    this.pending.delete(number);
    pending.timer?.cancel();
    const account = pending.owners[0] as string;
    this.ranking.recordResponse(account);
    if (isLimitUnknown) {
      this.skipOwnerWithoutLimit(pending);
      return;
    }
    const isPermanent = !isGranted && retryAfterMs === 0;
    pending.onVerdict({
      isGranted,
      retryAfterMs: isPermanent ? Infinity : retryAfterMs,
      watchMs,
      level: Number(level),
      account,
      isLimitUnknown: false,
    });
  }

  stop(): void {
    for (const { timer } of this.pending.values()) timer?.cancel();
    this.pending.clear();
  }

  private handleLate(number: number, isCharged: boolean): void {
    const charge = this.timedOut.get(String(number));
    if (!charge) return;
    this.timedOut.delete(String(number));
    if (isCharged) this.onLateCharge(charge);
  }

  /** Each owner is queried under a number of its own, which distinguishes late responses. */
  private start(pending: PendingQuery): void {
    const number = this.sender.nextNumber();
    pending.sends = 0;
    this.pending.set(number, pending);
    this.send(number, pending);
  }

  private send(number: number, pending: PendingQuery): void {
    pending.sends += 1;
    this.sender.send(pending.owners[0] as string, number, pending.query);
    pending.timer = this.clock.setTimer(RESPONSE_TIMEOUT_MS, () => this.onTimeout(number));
  }

  private onTimeout(number: number): void {
    const pending = this.pending.get(number);
    if (!pending) return;
    const { isForwarded } = pending.query;
    const maximumSends = isForwarded ? SENDS_PER_FORWARDED_QUERY : SENDS_PER_OWNER;
    if (pending.sends < maximumSends) {
      this.send(number, pending);
      return;
    }
    this.pending.delete(number);
    this.skipUnresponsiveOwner(number, pending);
    this.continueWithNextOwner(pending);
  }

  private continueWithNextOwner(pending: PendingQuery): void {
    if (pending.owners.length > 0) this.start(pending);
    else pending.onVerdict(undefined);
  }

  /** An owner whose configuration is older than the limit would grant everything. */
  private skipOwnerWithoutLimit(pending: PendingQuery): void {
    const { owners, query } = pending;
    const owner = owners.shift() as string;
    this.logger.info('quota_limit_unknown', { accountant: owner, tenant: query.tenant });
    this.continueWithNextOwner(pending);
  }

  private skipUnresponsiveOwner(number: number, pending: PendingQuery): void {
    const { owners, query } = pending;
    const owner = owners.shift() as string;
    this.timedOut.set(String(number), { owner, query });
    this.ranking.recordTimeout(owner, this.clock.now());
    this.logger.warn('quota_accountant_silent', {
      accountant: owner,
      tenant: query.tenant,
      left: owners.length,
    });
  }
}
