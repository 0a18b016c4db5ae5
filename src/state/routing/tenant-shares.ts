/**
 * Order of tenants when a service has less capacity than its callers ask for. Answers the load of a
 * few tenants that send several times their usual: without an order, who asks most gets most. Each
 * tenant is entitled to its max-min fair share of what the group serves. Shares order waiting
 * requests and grant nothing, so capacity that others leave unused is available to everyone. Pure.
 */
import { memberKey } from '../member-key.js';
import { DecayingRate } from './decaying-rate.js';

/** Ranks tenants by how much of their fair share they use. */
export interface TenantRanking {
  /**
   * Use of a tenant as a multiple of its fair share of the service's capacity, above 1; or 0 while it
   * is within its share, also if nothing is known. Requests of a tenant with a lower value go first.
   */
  useOfShare(service: string, tenant: string | undefined, nowMs: number): number;
}

/** Ranks all tenants equally. */
export const EQUAL_TENANTS: TenantRanking = { useOfShare: () => 0 };

/** Use of one service by one tenant, in tokens per second. */
export interface TenantUse {
  readonly serviceKey: number;
  readonly tenantKey: number;
  /** Tokens sent to engines. */
  readonly tokensPerSecond: number;
  /** Tokens asked for, served or not. */
  readonly demandedTokensPerSecond: number;
}

/**
 * Reports and summaries expire after this time. With 390 routers they are sent every 0.8 s and with
 * 300 every 0.6 s, so that a lost datagram changes nothing.
 */
export const USE_LIFETIME_MS = 1_900;
/** Time over which rates are averaged; several requests of a large tenant at one router. */
const RATE_PERIOD_MS = 1_000;
/** Shares are computed at most this often, since each waiting request reads them. */
const SHARE_CACHE_MS = 100;
/**
 * Tokens counted for one request, far above the memory of an engine. Callers declare the count; an
 * infinite one would never decay.
 */
const MAXIMUM_REQUEST_TOKENS = 10_000_000;
/** Time over which the size of a service's requests is averaged; a false size has to decay soon. */
const SIZE_PERIOD_MS = 2_000;
/**
 * Standard deviations by which the demand of a tenant over its share has to exceed that of the
 * smaller tenants. Rates of a second vary by whole requests: without this condition, equal tenants
 * counted as over their share 44% of the time, and 1.2% with it (16 tenants, 256 requests a second,
 * 0.8 served).
 */
const EVIDENCE_DEVIATIONS = 3;
/** The smaller tenants are represented by the one above this share of all. */
const SMALLER_SHARE = 0.25;
const MILLISECONDS_PER_SECOND = 1_000;
/** Tenants and services tracked by one router. */
const MAXIMUM_TRACKED = 4_096;
/** A tenant that sent nothing for this long is forgotten; its decayed rates would keep their ratio. */
const FORGET_MS = 3_000;

interface TrackedUse {
  readonly serviceKey: number;
  readonly tenantKey: number;
  readonly used: DecayingRate;
  readonly demanded: DecayingRate;
}

interface ReceivedUses {
  readonly uses: readonly TenantUse[];
  readonly untilMs: number;
}

interface ServiceShares {
  readonly computedMs: number;
  /** Uses of the tenants over their share, as multiples of it. */
  readonly overuse: ReadonlyMap<number, number>;
}

/** Mean size of the requests of one service that arrived at this router. */
class RequestSizes {
  private readonly tokens = new DecayingRate(SIZE_PERIOD_MS);
  private readonly requests = new DecayingRate(SIZE_PERIOD_MS);
  private updatedMs = 0;

  add(tokens: number, nowMs: number): void {
    this.tokens.add(tokens, nowMs);
    this.requests.add(1, nowMs);
    this.updatedMs = nowMs;
  }

  /** Tokens of a request; 0 if none is known. */
  get requestTokens(): number {
    // Both rates decay alike, so that their ratio at the last request still holds.
    const requests = this.requests.perSecond(this.updatedMs);
    return requests === 0 ? 0 : this.tokens.perSecond(this.updatedMs) / requests;
  }
}

/** Fair shares of all tenants, from the uses that the routers of the group report. */
export class TenantShares implements TenantRanking {
  private readonly own = new Map<string, TrackedUse>();
  private readonly reports = new Map<string, ReceivedUses>();
  private summary: ReceivedUses | undefined;
  private readonly shares = new Map<number, ServiceShares>();
  private readonly sizes = new Map<number, RequestSizes>();

  /** Records a request that arrived, before it is admitted. */
  noteDemand(service: string, tenant: string | undefined, tokens: number, nowMs: number): void {
    const tracked = this.trackedOf(service, tenant);
    if (!tracked) return;
    const amount = Math.min(tokens, MAXIMUM_REQUEST_TOKENS);
    tracked.demanded.add(amount, nowMs);
    this.sizesOf(tracked.serviceKey).add(amount, nowMs);
  }

  /** Records a request that is sent to an engine. */
  noteUse(service: string, tenant: string | undefined, tokens: number, nowMs: number): void {
    const amount = Math.min(tokens, MAXIMUM_REQUEST_TOKENS);
    this.trackedOf(service, tenant)?.used.add(amount, nowMs);
  }

  useOfShare(service: string, tenant: string | undefined, nowMs: number): number {
    if (tenant === undefined) return 0;
    return this.sharesOf(memberKey(service), nowMs).overuse.get(memberKey(tenant)) ?? 0;
  }

  /** Use of a tenant by the whole group, as far as known; undefined if nothing is known. */
  knownUseOf(service: string, tenant: string, nowMs: number): TenantUse | undefined {
    const [serviceKey, tenantKey] = [memberKey(service), memberKey(tenant)];
    return this.knownUses(nowMs).find(
      (use) => use.serviceKey === serviceKey && use.tenantKey === tenantKey,
    );
  }

  /** This router's uses, the largest demands first. */
  ownUses(nowMs: number): TenantUse[] {
    const uses: TenantUse[] = [];
    for (const [key, { serviceKey, tenantKey, used, demanded }] of this.own) {
      if (Math.min(used.idleMs(nowMs), demanded.idleMs(nowMs)) >= FORGET_MS) {
        this.own.delete(key);
        continue;
      }
      const tokensPerSecond = used.perSecond(nowMs);
      const demandedTokensPerSecond = demanded.perSecond(nowMs);
      uses.push({ serviceKey, tenantKey, tokensPerSecond, demandedTokensPerSecond });
    }
    return uses.sort(byDemand);
  }

  /** Uses of the whole group, as far as known to this router, the largest demands first. */
  groupUses(nowMs: number): TenantUse[] {
    const reported = [...this.reports].flatMap(([sender, { uses, untilMs }]) => {
      if (nowMs < untilMs) return uses;
      this.reports.delete(sender);
      return [];
    });
    return sumOf([...this.ownUses(nowMs), ...reported]).sort(byDemand);
  }

  /** Handles the uses that another router reports of itself. */
  receiveReport(sender: string, uses: readonly TenantUse[], nowMs: number): void {
    this.reports.set(sender, { uses, untilMs: nowMs + USE_LIFETIME_MS });
  }

  /** Handles the uses of the whole group, this router included. */
  receiveSummary(uses: readonly TenantUse[], nowMs: number): void {
    this.summary = { uses, untilMs: nowMs + USE_LIFETIME_MS };
  }

  private trackedOf(service: string, tenant: string | undefined): TrackedUse | undefined {
    if (tenant === undefined) return undefined;
    const key = `${service}\n${tenant}`;
    let tracked = this.own.get(key);
    if (!tracked) {
      if (this.own.size >= MAXIMUM_TRACKED) return undefined;
      tracked = {
        serviceKey: memberKey(service),
        tenantKey: memberKey(tenant),
        used: new DecayingRate(RATE_PERIOD_MS),
        demanded: new DecayingRate(RATE_PERIOD_MS),
      };
      this.own.set(key, tracked);
    }
    return tracked;
  }

  private sharesOf(serviceKey: number, nowMs: number): ServiceShares {
    const cached = this.shares.get(serviceKey);
    if (cached && nowMs - cached.computedMs < SHARE_CACHE_MS) return cached;
    const uses = this.knownUses(nowMs).filter((use) => use.serviceKey === serviceKey);
    const requestTokens = this.sizesOf(serviceKey).requestTokens;
    const shares = { computedMs: nowMs, overuse: overuseOf(uses, requestTokens) };
    this.shares.set(serviceKey, shares);
    return shares;
  }

  private sizesOf(serviceKey: number): RequestSizes {
    let sizes = this.sizes.get(serviceKey);
    if (!sizes) {
      sizes = new RequestSizes();
      this.sizes.set(serviceKey, sizes);
    }
    return sizes;
  }

  /** A summary covers the whole group; without one, only the routers that report to this one count. */
  private knownUses(nowMs: number): readonly TenantUse[] {
    if (this.summary && nowMs < this.summary.untilMs) return this.summary.uses;
    return this.groupUses(nowMs);
  }
}

/**
 * Max-min fair level: the largest amount that no one may exceed if all demands up to it are met and
 * their sum is the capacity. Demands that sum to less than the capacity are all met, and the level
 * is the largest of them.
 */
export function maxMinFairLevel(demands: readonly number[], capacity: number): number {
  const ascending = [...demands].sort((left, right) => left - right);
  let remaining = capacity;
  for (const [index, demand] of ascending.entries()) {
    const equalShare = remaining / (ascending.length - index);
    if (demand > equalShare) return equalShare;
    remaining -= demand;
  }
  return ascending.at(-1) ?? 0;
}

/** Uses of the tenants over their share of one service, as multiples of the share. */
function overuseOf(uses: readonly TenantUse[], requestTokens: number): Map<number, number> {
  const served = uses.reduce((sum, use) => sum + use.tokensPerSecond, 0);
  const demands = uses.map((use) => use.demandedTokensPerSecond);
  const entitlement = maxMinFairLevel(demands, served);
  const ascending = demands.sort((left, right) => left - right);
  const smaller = ascending[Math.floor((ascending.length - 1) * SMALLER_SHARE)] ?? 0;
  const over = uses.filter(
    ({ tokensPerSecond, demandedTokensPerSecond }) =>
      tokensPerSecond > entitlement &&
      isClearlyAbove(demandedTokensPerSecond, smaller, requestTokens),
  );
  return new Map(over.map((use) => [use.tenantKey, use.tokensPerSecond / entitlement]));
}

/** Whether independent requests of this size rarely make two equal rates differ that much. */
function isClearlyAbove(larger: number, smaller: number, requestTokens: number): boolean {
  const periodS = RATE_PERIOD_MS / MILLISECONDS_PER_SECOND;
  // The variance of a rate that decays over a period is its mean times the size over two periods.
  const variance = ((larger + smaller) * requestTokens) / (2 * periodS);
  return larger - smaller > EVIDENCE_DEVIATIONS * Math.sqrt(variance);
}

/** Sums uses of the same tenant and service. */
function sumOf(uses: readonly TenantUse[]): TenantUse[] {
  const sums = new Map<string, TenantUse>();
  for (const use of uses) {
    const key = `${use.serviceKey} ${use.tenantKey}`;
    const previous = sums.get(key);
    sums.set(key, previous ? addUses(previous, use) : use);
  }
  return [...sums.values()];
}

function addUses(left: TenantUse, right: TenantUse): TenantUse {
  return {
    ...left,
    tokensPerSecond: left.tokensPerSecond + right.tokensPerSecond,
    demandedTokensPerSecond: left.demandedTokensPerSecond + right.demandedTokensPerSecond,
  };
}

function byDemand(left: TenantUse, right: TenantUse): number {
  return right.demandedTokensPerSecond - left.demandedTokensPerSecond;
}
