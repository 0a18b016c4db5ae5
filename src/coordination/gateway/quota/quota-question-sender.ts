/** Sends questions to quota owners under numbers that no other question of this router has. */
import { create } from '@bufbuild/protobuf';
import type { Clock } from '../../../runtime/clock.js';
import { encodeQuotaQuestion } from '../../../protocol/peer/cluster-codec.js';
import { QuotaQuestionSchema } from '../../../protocol/peer/generated/cluster_pb.js';
import type { ChargeRequest } from '../../../state/routing/quota/tenant-account.js';
import type { QuotaGroup } from './quota-group.js';

/** A charge to request from a quota owner. */
export interface QuotaQuery extends ChargeRequest {
  readonly tenant: string;
  /** Whether it is charged where it arrives, even if another router is the owner. */
  readonly isForwarded: boolean;
}

/** Upper bound of the first number, well below the 32-bit limit of the message field. */
const FIRST_NUMBER_LIMIT = 2 ** 31;

/** Numbers and sends the questions of one router. */
export class QuotaQuestionSender {
  /**
   * Starts at a number that no previous incarnation of this router used, since responses are cached
   * by number.
   */
  private lastNumber: number;

  constructor(
    private readonly group: QuotaGroup,
    clock: Clock,
  ) {
    this.lastNumber = Math.floor(clock.wallNow()) % FIRST_NUMBER_LIMIT;
  }

  nextNumber(): number {
    this.lastNumber += 1;
    return this.lastNumber;
  }

  /** Sends a question; one that is sent again keeps its number. */
  send(owner: string, number: number, query: QuotaQuery): void {
    const { tenant, amount, isTaken, isLate, isForwarded } = query;
    const question = create(QuotaQuestionSchema, {
      replyTo: this.group.ownAddress,
      number,
      tenant,
      amount: BigInt(Math.round(amount)),
      isTaken,
      isLate,
      isForwarded,
    });
    this.group.send(owner, encodeQuotaQuestion(question));
  }
}
