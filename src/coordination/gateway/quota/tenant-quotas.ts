/**
 * Enforces the limits of tenants across all routers. Each tenant has one quota owner, the router
 * that keeps its account. Far from the limit a request is granted at once and charged afterwards;
 * near it the owner is queried first. A router that can't reach an owner spends its own share of
 * the rate.
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
import type { ChargeRequest } from '../../../state/routing/quota/tenant-account.js';
import {
  type QuotaTolerance,
  type TenantLimit,
  chargeOf,
} from '../../../state/routing/quota/tenant-limit.js';
import type { GatewayStatistics } from '../gateway-statistics.js';
import { type AccountNearLimit, type AccountedVerdict, QuotaAccounts } from './quota-accounts.js';
import { IsolatedShares } from './isolated-shares.js';
import type { QuotaGroup } from './quota-group.js';
import { type OnVerdict, QuotaQueries } from './quota-queries.js';
import { QuotaQuestionSender } from './quota-question-sender.js';
import { UsageReports } from './usage-reports.js';

/** Dependencies of {@link TenantQuotas}. */
export interface QuotaParts {
  readonly group: QuotaGroup;
  readonly configuration: ConfigurationState;
  readonly homes: HomeRanking;
  readonly tolerance: QuotaTolerance;
  readonly statistics: GatewayStatistics;
  readonly clock: Clock;
  readonly logger: Logger;
}

/** Which account a granted request was charged to. */
export enum QuotaSource {
  /** The tenant has no limit. */
  Unlimited = 'unlimited',
  /** Far from the limit: granted at once and charged to the quota owner afterwards. */
  ChargedLater = 'charged-later',
  /** The account of the quota owner. */
  Owner = 'owner',
  /** The account of another router, because the quota owner did not respond. */
  Substitute = 'substitute',
  /** This router's own share, because no quota owner was reachable. */
  OwnShare = 'own-share',
}

/** Whether a request is within its tenant's limit. */
export type QuotaDecision = QuotaGrant | QuotaDenial;

/** A request within its tenant's limit. */
export interface QuotaGrant {
  readonly kind: 'granted';
  /** Units; 0 if the tenant has no limit. */
  readonly charge: number;
  readonly source: QuotaSource;
}

/** Why a request is beyond its tenant's limit. */
export interface QuotaDenial {
  readonly kind: 'denied';
  /**
   * Retry delay in milliseconds; undefined if the request exceeds what the limit can ever grant.
   */
  readonly retryAfterMs: number | undefined;
  /** Units that the request would have been charged. */
  readonly charge: number;
  /**
   * Account level in units; undefined if no quota owner was reachable and this router's own share
   * decided.
   */
  readonly level: number | undefined;
  readonly limit: TenantLimit;
}

/** Cached responses, so that a retransmitted query is not charged twice. */
const MAXIMUM_CACHED_RESPONSES = 4_096;
const UNCHARGED: QuotaDecision = {
  kind: 'granted',
  charge: 0,
  source: QuotaSource.Unlimited,
};

/** Enforces quotas at one router. */
export class TenantQuotas {
  private readonly ranking: QuotaOwnerRanking;
  private readonly accounts: QuotaAccounts;
  private readonly queries: QuotaQueries;
  private readonly usageReports: UsageReports;
  private readonly isolatedShares: IsolatedShares;
  private readonly watchedUntilMs = new Map<string, number>();
  /** Keys of queries of other routers that are being forwarded. */
  private readonly forwardedKeys = new Set<string>();
  private readonly responses = createBoundedCache<string, QuotaAnswer>(MAXIMUM_CACHED_RESPONSES);

  constructor(private readonly parts: QuotaParts) {
    const { configuration, group, tolerance, clock, logger, homes } = parts;
    this.ranking = new QuotaOwnerRanking(homes, group);
    this.accounts = new QuotaAccounts(configuration, group, tolerance, clock, (account) =>
      this.announceWatch(account),
    );
    this.isolatedShares = new IsolatedShares(group, clock);
    const sender = new QuotaQuestionSender(group, clock);
    this.usageReports = new UsageReports(
      sender,
      group,
      tolerance.windowMs,
      clock,
      logger,
      (tenant, level) => this.applyOwnerLevel(tenant, level),
    );
    this.queries = new QuotaQueries(sender, this.ranking, clock, logger, ({ owner, query }) =>
      this.usageReports.add(owner, query.tenant, -query.amount),
    );
  }

  /**
   * Decides on a request, immediately or a few milliseconds later.
   *
   * @param declaredTokens prompt tokens plus the maximum number of generated tokens; undefined if
   * not declared
   */
  admit(
    tenant: Tenant | undefined,
    declaredTokens: number | undefined,
    onDecision: (decision: QuotaDecision) => void,
  ): void {
    const limit = tenant?.limit;
    if (!limit) {
      onDecision(UNCHARGED);
      return;
    }
    const amount = chargeOf(limit, declaredTokens);
    if (!this.mustQueryOwner(tenant.name)) {
      this.recordUsage(tenant, amount);
      onDecision({ kind: 'granted', charge: amount, source: QuotaSource.ChargedLater });
      return;
    }
    this.charge(tenant.name, { amount, isTaken: false, isLate: false }, (verdict) => {
      onDecision(this.decide(tenant, limit, amount, verdict));
    });
  }

  /** Charges usage without a check; a negative amount is a refund. */
  recordUsage(tenant: Tenant, amount: number): void {
    const { limit } = tenant;
    if (!limit || amount === 0) return;
    this.parts.statistics.quotaByTenant.noteGranted(tenant.name, amount);
    this.charge(tenant.name, { amount, isTaken: true, isLate: false }, (verdict) => {
      if (verdict) this.setWatch(tenant.name, verdict.watchMs);
      else this.chargeOwnShare(tenant.name, limit, amount);
    });
  }

  /** Handles a quota datagram of another router. */
  receive(body: QuotaDatagram): void {
    if (body.case === 'quotaQuestion') this.handleQuery(body.value);
    else if (body.case === 'quotaAnswer') this.handleAnswer(body.value);
    else this.setWatch(body.value.tenant, body.value.watchMs);
  }

  stop(): void {
    this.queries.stop();
    this.usageReports.stop();
  }

  private handleAnswer(answer: QuotaAnswer): void {
    if (!this.usageReports.acknowledge(answer)) this.queries.receive(answer);
  }

  /** Handles a query of another router. */
  private handleQuery(query: QuotaQuestion): void {
    const { replyTo, number, tenant, isTaken, isLate, isForwarded } = query;
    const key = `${replyTo}:${number}`;
    const cached = this.responses.get(key);
    if (cached) {
      this.parts.group.send(replyTo, encodeQuotaAnswer(cached));
      return;
    }
    // The query was retransmitted while it is being forwarded; one response serves both.
    if (this.forwardedKeys.has(key)) return;
    this.forwardedKeys.add(key);
    const request = { amount: Number(query.amount), isTaken, isLate };
    const reply: OnVerdict = (verdict) => {
      this.forwardedKeys.delete(key);
      const response = encodeVerdict(number, verdict ?? this.chargeHere(tenant, request));
      this.responses.set(key, response);
      this.parts.group.send(replyTo, encodeQuotaAnswer(response));
    };
    if (isForwarded) reply(undefined);
    else this.charge(tenant, request, reply, true);
  }

  /** Whether the owner must be queried before a grant: the tenant may be near its limit. */
  private mustQueryOwner(tenantName: string): boolean {
    if (!this.parts.group.isSettled) return true;
    const now = this.parts.clock.now();
    if ((this.watchedUntilMs.get(tenantName) ?? 0) > now) return true;
    return this.rankedOwners(tenantName).length === 0;
  }

  private rankedOwners(tenantName: string): string[] {
    const { group, clock } = this.parts;
    return this.ranking.candidates(tenantName, group.quotaOwnerAddresses, clock.now());
  }

  /**
   * Charges the account, here or at its owner; the verdict is undefined if no owner is reachable.
   */
  private charge(
    tenantName: string,
    request: ChargeRequest,
    onVerdict: OnVerdict,
    isForwarded = false,
  ): void {
    const rankedOwners = this.rankedOwners(tenantName);
    const ownRank = rankedOwners.indexOf(this.parts.group.ownAddress);
    if (ownRank === 0) {
      onVerdict(this.chargeHere(tenantName, request));
      return;
    }
    this.parts.statistics.quotaQuestions += 1;
    const others = ownRank < 0 ? rankedOwners : rankedOwners.slice(0, ownRank);
    const query = { ...request, tenant: tenantName, isForwarded };
    // A second attempt would exceed the timeout of the router that forwarded the query.
    const candidates = isForwarded ? others.slice(0, 1) : others;
    this.queries.submit(query, candidates, (verdict) => {
      if (verdict || ownRank < 0) onVerdict(verdict);
      else onVerdict(this.chargeHere(tenantName, request));
    });
  }

  private chargeHere(tenantName: string, request: ChargeRequest): AccountedVerdict {
    const isSubstitute = this.preferredOwner(tenantName) !== this.parts.group.ownAddress;
    const verdict = this.accounts.charge(tenantName, request, isSubstitute);
    // A late charge is a report itself: routers that disagree on the owner would pass it on forever.
    const isToReport =
      isSubstitute && verdict.isGranted && !verdict.isLimitUnknown && !request.isLate;
    if (isToReport) this.reportToOwner(tenantName, request.amount);
    return verdict;
  }

  /** Reports usage that was granted without the owner, which subtracts it from its account. */
  private reportToOwner(tenantName: string, amount: number): void {
    const owner = this.preferredOwner(tenantName);
    if (owner !== undefined) this.usageReports.add(owner, tenantName, amount);
  }

  /** Grants nothing in place of an owner whose account is overdrawn until it has made up for it. */
  private applyOwnerLevel(tenantName: string, level: number): void {
    if (level >= 0) return;
    this.accounts.lowerTo(tenantName, level);
    this.isolatedShares.lowerToPartOf(tenantName, level);
  }

  private preferredOwner(tenantName: string): string | undefined {
    return this.ranking.preferred(tenantName, this.parts.group.quotaOwnerAddresses);
  }

  private sourceOf(tenantName: string, { account }: AccountedVerdict): QuotaSource {
    return account === this.preferredOwner(tenantName) ? QuotaSource.Owner : QuotaSource.Substitute;
  }

  private decide(
    tenant: Tenant,
    limit: TenantLimit,
    amount: number,
    verdict: AccountedVerdict | undefined,
  ): QuotaDecision {
    if (verdict) this.setWatch(tenant.name, verdict.watchMs);
    const decision = verdict
      ? decisionOf(verdict, limit, amount, this.sourceOf(tenant.name, verdict))
      : this.spendIsolatedShare(tenant, limit, amount);
    const { statistics } = this.parts;
    if (decision.kind === 'denied') {
      statistics.quotaDenials += 1;
      statistics.quotaByTenant.noteDenied(tenant.name, amount);
    } else statistics.quotaByTenant.noteGranted(tenant.name, amount);
    return decision;
  }

  /** Decides by this router's own share, since no quota owner is reachable. */
  private spendIsolatedShare(tenant: Tenant, limit: TenantLimit, amount: number): QuotaDecision {
    const now = this.parts.clock.now();
    const share = this.isolatedShares.of(tenant.name, limit);
    this.parts.statistics.quotaIsolated += 1;
    if (share.tryCharge(amount, now)) {
      this.reportToOwner(tenant.name, amount);
      return { kind: 'granted', charge: amount, source: QuotaSource.OwnShare };
    }
    const retryAfterMs = share.retryAfterMs(now);
    return { kind: 'denied', retryAfterMs, charge: amount, level: undefined, limit };
  }

  /** Charges usage to this router's own share, and to the owner once it responds again. */
  private chargeOwnShare(tenantName: string, limit: TenantLimit, amount: number): void {
    this.isolatedShares.of(tenantName, limit).charge(amount, this.parts.clock.now());
    this.reportToOwner(tenantName, amount);
  }

  private setWatch(tenantName: string, watchMs: number): void {
    if (watchMs === 0) this.watchedUntilMs.delete(tenantName);
    else this.watchedUntilMs.set(tenantName, this.parts.clock.now() + watchMs);
  }

  private announceWatch({ tenant, watchMs, ...account }: AccountNearLimit): void {
    const { group, logger } = this.parts;
    logger.info('quota_watched', {
      tenant,
      watch_ms: watchMs,
      account_level: Math.round(account.level),
      granted: Math.round(account.grantedUnits),
      substitute: account.isSubstitute,
    });
    const announcement = create(QuotaNoticeSchema, { tenant, watchMs });
    const datagram = encodeQuotaNotice(announcement);
    for (const address of group.quotaOwnerAddresses) {
      if (address !== group.ownAddress) group.send(address, datagram);
    }
    this.setWatch(tenant, watchMs);
  }
}

function decisionOf(
  { isGranted, retryAfterMs, level }: AccountedVerdict,
  limit: TenantLimit,
  charge: number,
  source: QuotaSource,
): QuotaDecision {
  if (isGranted) return { kind: 'granted', charge, source };
  const isPermanent = retryAfterMs === Infinity;
  return {
    kind: 'denied',
    retryAfterMs: isPermanent ? undefined : retryAfterMs,
    charge,
    level,
    limit,
  };
}

function encodeVerdict(number: number, verdict: AccountedVerdict): QuotaAnswer {
  const { isGranted, retryAfterMs, watchMs, level, isLimitUnknown } = verdict;
  return create(QuotaAnswerSchema, {
    number,
    isGranted,
    retryAfterMs: retryAfterMs === Infinity ? 0 : Math.ceil(retryAfterMs),
    watchMs,
    level: BigInt(Math.round(level)),
    isLimitUnknown,
  });
}
