/**
 * Limits of tenants that all routers keep together. Each tenant's account is kept by one router, which all
 * agree on. Far from the limit a request is served at once and its charge entered afterwards; near it a
 * router asks first. A router that can't reach the account spends its own share of the rate.
 */
import { create } from '@bufbuild/protobuf';
import type { Clock } from '../../../runtime/clock.js';
import type { Logger } from '../../../runtime/logger.js';
import {
  type QuotaDatagram,
  encodeQuotaAnswer,
  encodeQuotaNotice,
} from '../../../protocol/peer/cluster-codec.js';
import {
  type QuotaAnswer,
  QuotaAnswerSchema,
  QuotaNoticeSchema,
  type QuotaQuestion,
} from '../../../protocol/peer/generated/cluster_pb.js';
import { createBoundedCache } from '../../../state/bounded-cache.js';
import type { ConfigurationState } from '../../../state/routing/configuration-state.js';
import type { Tenant } from '../../../state/routing/configuration.js';
import type { HomeRanking } from '../../../state/routing/home-ranking.js';
import { QuotaOwnerRanking } from '../../../state/routing/quota/quota-owner-ranking.js';
import { IsolatedShare } from '../../../state/routing/quota/isolated-share.js';
import type { ChargeRequest } from '../../../state/routing/quota/tenant-account.js';
import {
  type QuotaTolerance,
  type TenantLimit,
  chargeOf,
} from '../../../state/routing/quota/tenant-limit.js';
import type { GatewayStatistics } from '../gateway-statistics.js';
import { type AccountedVerdict, QuotaAccounts } from './quota-accounts.js';
import type { QuotaGroup } from './quota-group.js';
import { type OnVerdict, QuotaQueries } from './quota-queries.js';

/** What the quotas work with. */
export interface QuotaParts {
  readonly group: QuotaGroup;
  readonly configuration: ConfigurationState;
  readonly homes: HomeRanking;
  readonly tolerance: QuotaTolerance;
  readonly statistics: GatewayStatistics;
  readonly clock: Clock;
  readonly logger: Logger;
}

/** Whether a request is within its tenant's limit. */
export type QuotaDecision =
  /** `charge` in units; 0 where the tenant has no limit. */
  { readonly kind: 'granted'; readonly charge: number } | QuotaDenial;

/** Why a request is beyond its tenant's limit. */
export interface QuotaDenial {
  readonly kind: 'denied';
  /** In milliseconds; undefined where the request is larger than the limit can ever bear. */
  readonly retryAfterMs: number | undefined;
  /** Units that the request would have been charged. */
  readonly charge: number;
  /** Units that the account held; undefined where none could be reached and the own share decided. */
  readonly level: number | undefined;
  readonly limit: TenantLimit;
}

/** Answers kept, so that a question that is sent again is not charged again. */
const MAXIMUM_KEPT_ANSWERS = 1_024;
const FREE: QuotaDecision = { kind: 'granted', charge: 0 };

/** Quotas at one router. */
export class TenantQuotas {
  private readonly ranking: QuotaOwnerRanking;
  private readonly accounts: QuotaAccounts;
  private readonly questions: QuotaQueries;
  private readonly shares = new Map<string, IsolatedShare>();
  private readonly watchedUntilMs = new Map<string, number>();
  /** Questions of other routers that wait for an answer of the router asked in their place. */
  private readonly passedOn = new Set<string>();
  private readonly answers = createBoundedCache<string, QuotaAnswer>(MAXIMUM_KEPT_ANSWERS);

  constructor(private readonly parts: QuotaParts) {
    const { configuration, group, tolerance, clock, logger, homes } = parts;
    this.ranking = new QuotaOwnerRanking(homes, group);
    this.accounts = new QuotaAccounts(configuration, group, tolerance, clock, (tenant, watchMs) =>
      this.announceWatch(tenant, watchMs),
    );
    this.questions = new QuotaQueries(group, this.ranking, clock, logger);
  }

  /**
   * Decides on a request, at once or a few milliseconds later.
   *
   * @param declaredTokens prompt tokens and the most that may be generated; undefined where not declared
   */
  admit(
    tenant: Tenant | undefined,
    declaredTokens: number | undefined,
    onDecision: (decision: QuotaDecision) => void,
  ): void {
    const limit = tenant?.limit;
    if (!limit) {
      onDecision(FREE);
      return;
    }
    const amount = chargeOf(limit, declaredTokens);
    if (!this.hasToAsk(tenant.name)) {
      this.enter(tenant, amount);
      onDecision({ kind: 'granted', charge: amount });
      return;
    }
    this.charge(tenant.name, { amount, isTaken: false }, (verdict) => {
      onDecision(this.decide(tenant, limit, amount, verdict));
    });
  }

  /** Enters what is used in any case; below 0 gives back what was granted and not used. */
  enter(tenant: Tenant, amount: number): void {
    const { limit } = tenant;
    if (!limit || amount === 0) return;
    this.parts.statistics.quotaByTenant.noteGranted(tenant.name, amount);
    this.charge(tenant.name, { amount, isTaken: true }, (verdict) => {
      if (verdict) this.noteWatch(tenant.name, verdict.watchMs);
      else this.shareOf(tenant.name, limit).take(amount, this.parts.clock.now());
    });
  }

  /** Takes what the quotas of another router sent. */
  receive(body: QuotaDatagram): void {
    if (body.case === 'quotaQuestion') this.answer(body.value);
    else if (body.case === 'quotaAnswer') this.questions.receive(body.value);
    else this.noteWatch(body.value.tenant, body.value.watchMs);
  }

  stop(): void {
    this.questions.stop();
  }

  /** Another router asks for a charge. */
  private answer(question: QuotaQuestion): void {
    const { replyTo, number, tenant, isTaken, isForwarded } = question;
    const key = `${replyTo}:${number}`;
    const kept = this.answers.get(key);
    if (kept) {
      this.parts.group.send(replyTo, encodeQuotaAnswer(kept));
      return;
    }
    // Sent again while the answer is under way: the one charge answers both.
    if (this.passedOn.has(key)) return;
    this.passedOn.add(key);
    const request = { amount: Number(question.amount), isTaken };
    const reply: OnVerdict = (verdict) => {
      this.passedOn.delete(key);
      const answer = answerOf(number, verdict ?? this.chargeHere(tenant, request));
      this.answers.set(key, answer);
      this.parts.group.send(replyTo, encodeQuotaAnswer(answer));
    };
    if (isForwarded) reply(undefined);
    else this.charge(tenant, request, reply, true);
  }

  /** Whether the tenant is near its limit, as far as this router can know. */
  private hasToAsk(tenantName: string): boolean {
    if (!this.parts.group.isSettled) return true;
    const now = this.parts.clock.now();
    if ((this.watchedUntilMs.get(tenantName) ?? 0) > now) return true;
    return this.accountants(tenantName).length === 0;
  }

  private accountants(tenantName: string): string[] {
    const { group, clock } = this.parts;
    return this.ranking.of(tenantName, group.accountantAddresses, clock.now());
  }

  /** Charges the account, here or at the router that keeps it; undefined where none can be reached. */
  private charge(
    tenantName: string,
    request: ChargeRequest,
    onVerdict: OnVerdict,
    isForwarded = false,
  ): void {
    const accountants = this.accountants(tenantName);
    const own = accountants.indexOf(this.parts.group.ownAddress);
    if (own === 0) {
      onVerdict(this.chargeHere(tenantName, request));
      return;
    }
    this.parts.statistics.quotaQuestions += 1;
    const others = own < 0 ? accountants : accountants.slice(0, own);
    const question = { ...request, tenant: tenantName, isForwarded };
    // The router that waits for the answer would take a longer silence for the end of this one.
    const asked = isForwarded ? others.slice(0, 1) : others;
    this.questions.ask(question, asked, (verdict) => {
      if (verdict || own < 0) onVerdict(verdict);
      else onVerdict(this.chargeHere(tenantName, request));
    });
  }

  private chargeHere(tenantName: string, request: ChargeRequest): AccountedVerdict {
    const { ownAddress, accountantAddresses } = this.parts.group;
    const isSubstitute = this.ranking.first(tenantName, accountantAddresses) !== ownAddress;
    return this.accounts.charge(tenantName, request, isSubstitute);
  }

  private decide(
    tenant: Tenant,
    limit: TenantLimit,
    amount: number,
    verdict: AccountedVerdict | undefined,
  ): QuotaDecision {
    if (verdict) this.noteWatch(tenant.name, verdict.watchMs);
    const decision = verdict
      ? decisionOf(verdict, limit, amount)
      : this.spendShare(tenant, limit, amount);
    const { statistics } = this.parts;
    if (decision.kind === 'denied') {
      statistics.quotaDenials += 1;
      statistics.quotaByTenant.noteDenied(tenant.name, amount);
    } else statistics.quotaByTenant.noteGranted(tenant.name, amount);
    return decision;
  }

  /** No account can be reached: this router's own share decides. */
  private spendShare(tenant: Tenant, limit: TenantLimit, amount: number): QuotaDecision {
    const now = this.parts.clock.now();
    const share = this.shareOf(tenant.name, limit);
    this.parts.statistics.quotaIsolated += 1;
    if (share.tryTake(amount, now)) return { kind: 'granted', charge: amount };
    const retryAfterMs = share.retryAfterMs(now);
    return { kind: 'denied', retryAfterMs, charge: amount, level: undefined, limit };
  }

  private shareOf(tenantName: string, limit: TenantLimit): IsolatedShare {
    const now = this.parts.clock.now();
    const { ownShare } = this.parts.group;
    let share = this.shares.get(tenantName);
    if (!share) {
      share = new IsolatedShare(limit, ownShare, now);
      this.shares.set(tenantName, share);
    }
    share.adapt(limit, ownShare, now);
    return share;
  }

  private noteWatch(tenantName: string, watchMs: number): void {
    if (watchMs === 0) this.watchedUntilMs.delete(tenantName);
    else this.watchedUntilMs.set(tenantName, this.parts.clock.now() + watchMs);
  }

  private announceWatch(tenantName: string, watchMs: number): void {
    const { group, logger } = this.parts;
    logger.info('quota_watched', { tenant: tenantName, watch_ms: watchMs });
    const notice = create(QuotaNoticeSchema, { tenant: tenantName, watchMs });
    const datagram = encodeQuotaNotice(notice);
    for (const address of group.accountantAddresses) {
      if (address !== group.ownAddress) group.send(address, datagram);
    }
    this.noteWatch(tenantName, watchMs);
  }
}

function decisionOf(
  { isGranted, retryAfterMs, level }: AccountedVerdict,
  limit: TenantLimit,
  charge: number,
): QuotaDecision {
  if (isGranted) return { kind: 'granted', charge };
  const isForever = retryAfterMs === Infinity;
  return {
    kind: 'denied',
    retryAfterMs: isForever ? undefined : retryAfterMs,
    charge,
    level,
    limit,
  };
}

function answerOf(number: number, verdict: AccountedVerdict): QuotaAnswer {
  const { isGranted, retryAfterMs, watchMs, level } = verdict;
  return create(QuotaAnswerSchema, {
    number,
    isGranted,
    retryAfterMs: retryAfterMs === Infinity ? 0 : Math.ceil(retryAfterMs),
    watchMs,
    level: BigInt(Math.round(level)),
  });
}
