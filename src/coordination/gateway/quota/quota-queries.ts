/** Questions of this router to the routers that keep accounts: sent, sent again, passed on to the next. */
import { create } from '@bufbuild/protobuf';
import type { Clock, Timer } from '../../../runtime/clock.js';
import type { Logger } from '../../../runtime/logger.js';
import { encodeQuotaQuestion } from '../../../protocol/peer/cluster-codec.js';
import {
  type QuotaAnswer,
  QuotaQuestionSchema,
} from '../../../protocol/peer/generated/cluster_pb.js';
import type { QuotaOwnerRanking } from '../../../state/routing/quota/quota-owner-ranking.js';
import type { ChargeRequest } from '../../../state/routing/quota/tenant-account.js';
import type { AccountedVerdict } from './quota-accounts.js';
import type { QuotaGroup } from './quota-group.js';

/** A charge that is asked for. */
export interface QuotaQuery extends ChargeRequest {
  readonly tenant: string;
  /** Whether it is asked for another router. */
  readonly isForwarded: boolean;
}

/** Undefined: no router that may keep the account could be reached. */
export type OnVerdict = (verdict: AccountedVerdict | undefined) => void;

/**
 * Time after which a question is sent again. A way there and back takes 2 ms between zones, and a router
 * that is busy answers after some 10 ms.
 */
const ANSWER_TIMEOUT_MS = 25;
/** A datagram in forty is lost on a bad link, so one repeat leaves one question in some 400 to chance. */
const SENDS_PER_ACCOUNTANT = 2;

/** A question for another router has to be answered before that router gives up. */
const SENDS_FOR_ANOTHER = 1;

/** Leaves the numbers of a life room below the 32 bits of the message. */
const HIGHEST_FIRST_NUMBER = 2 ** 31;

interface PendingQuestion {
  readonly question: QuotaQuery;
  readonly onVerdict: OnVerdict;
  /** Addresses that are left to ask, the present one first. */
  readonly accountants: string[];
  sends: number;
  timer: Timer | undefined;
}

/** The questions under way. */
export class QuotaQueries {
  private readonly pending = new Map<number, PendingQuestion>();
  /** Begins where no earlier life of this router has been, since answers are kept by number. */
  private lastNumber: number;

  constructor(
    private readonly group: QuotaGroup,
    private readonly ranking: QuotaOwnerRanking,
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {
    this.lastNumber = Math.floor(clock.wallNow()) % HIGHEST_FIRST_NUMBER;
  }

  /** @param accountants addresses of other routers, in the order in which they are asked */
  ask(question: QuotaQuery, accountants: readonly string[], onVerdict: OnVerdict): void {
    if (accountants.length === 0) {
      onVerdict(undefined);
      return;
    }
    this.lastNumber += 1;
    const pending = { question, onVerdict, accountants: [...accountants], sends: 0 };
    this.pending.set(this.lastNumber, { ...pending, timer: undefined });
    this.send(this.lastNumber);
  }

  receive({ number, isGranted, retryAfterMs, watchMs, level }: QuotaAnswer): void {
    const pending = this.pending.get(number);
    // An answer that came after the next router was asked decides nothing any more.
    if (!pending) return;
    this.pending.delete(number);
    pending.timer?.cancel();
    this.ranking.noteAnswer(pending.accountants[0] as string);
    const isForever = !isGranted && retryAfterMs === 0;
    pending.onVerdict({
      isGranted,
      retryAfterMs: isForever ? Infinity : retryAfterMs,
      watchMs,
      level: Number(level),
    });
  }

  stop(): void {
    for (const { timer } of this.pending.values()) timer?.cancel();
    this.pending.clear();
  }

  private send(number: number): void {
    const pending = this.pending.get(number) as PendingQuestion;
    const { tenant, amount, isTaken, isForwarded } = pending.question;
    const question = create(QuotaQuestionSchema, {
      replyTo: this.group.ownAddress,
      number,
      tenant,
      amount: BigInt(Math.round(amount)),
      isTaken,
      isForwarded,
    });
    pending.sends += 1;
    this.group.send(pending.accountants[0] as string, encodeQuotaQuestion(question));
    pending.timer = this.clock.setTimer(ANSWER_TIMEOUT_MS, () => this.onSilence(number));
  }

  private onSilence(number: number): void {
    const pending = this.pending.get(number);
    if (!pending) return;
    const { isForwarded } = pending.question;
    const sends = isForwarded ? SENDS_FOR_ANOTHER : SENDS_PER_ACCOUNTANT;
    if (pending.sends >= sends) this.passOver(pending);
    if (pending.accountants.length > 0) {
      this.send(number);
      return;
    }
    this.pending.delete(number);
    pending.onVerdict(undefined);
  }

  private passOver(pending: PendingQuestion): void {
    const address = pending.accountants.shift() as string;
    pending.sends = 0;
    this.ranking.noteSilent(address, this.clock.now());
    this.logger.warn('quota_accountant_silent', {
      accountant: address,
      tenant: pending.question.tenant,
      left: pending.accountants.length,
    });
  }
}
