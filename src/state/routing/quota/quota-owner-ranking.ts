/**
 * Ranks the routers that may be the quota owner of a tenant. The ranking is the same at all routers
 * (rendezvous hashing), except that each router excludes those that are unresponsive to it. Pure.
 */
import { createBoundedCache } from '../../bounded-cache.js';
import type { HomeRanking } from '../home-ranking.js';
import { PeerCooldowns } from '../peer-cooldowns.js';

/** Number of routers that may own the account of a tenant. */
const RANKED_ROUTERS = 3;
/**
 * Cooldown of a router that did not respond. Longer than the loss of a datagram and its
 * retransmission, and shorter than the time after which a failed router is removed from the group.
 */
const COOLDOWN_MS = 2_000;

/**
 * Minimum cooldown, after which a router from which messages are received is queried again. A full
 * cooldown could leave two accounts of a tenant in use, which together grant its rate twice.
 */
const MINIMUM_COOLDOWN_MS = 500;
/** Above the number of tenants that are near their limits at the same time. */
const MAXIMUM_RANKINGS = 1_024;

/** Liveness of the other routers as observed by this one. */
export interface RouterLiveness {
  /** Time since the last message from a router, in milliseconds; Infinity if none was received. */
  heartbeatAgeMs(address: string): number;
  /** Whether a router is known to be down or partitioned. */
  isMissing(address: string): boolean;
}

/** Rankings of quota owners, by datagram address. */
export class QuotaOwnerRanking {
  /** Rankings by tenant, valid for `rankedAddresses`. */
  private readonly rankings = createBoundedCache<string, readonly string[]>(MAXIMUM_RANKINGS);
  private rankedAddresses: readonly string[] = [];
  /** Routers that did not respond to a query. */
  private readonly cooldowns = new PeerCooldowns(COOLDOWN_MS);
  /** Routers whose messages do not end their cooldown yet. */
  private readonly minimumCooldowns = new PeerCooldowns(MINIMUM_COOLDOWN_MS);

  constructor(
    private readonly homes: HomeRanking,
    private readonly liveness: RouterLiveness,
  ) {}

  /** Addresses to query for a tenant, in order of preference; empty if none responds. */
  candidates(tenant: string, addresses: readonly string[], nowMs: number): string[] {
    return this.ranked(tenant, addresses).filter((address) => !this.isUnresponsive(address, nowMs));
  }

  /** The quota owner while all routers are responsive. */
  preferred(tenant: string, addresses: readonly string[]): string | undefined {
    return this.ranked(tenant, addresses)[0];
  }

  recordTimeout(address: string, nowMs: number): void {
    this.cooldowns.add(address, nowMs);
    this.minimumCooldowns.add(address, nowMs);
  }

  recordResponse(address: string): void {
    this.cooldowns.remove(address);
    this.minimumCooldowns.remove(address);
  }

  /** The ranking regardless of cooldowns; cached, since many requests need it. */
  private ranked(tenant: string, addresses: readonly string[]): readonly string[] {
    if (addresses !== this.rankedAddresses) {
      this.rankedAddresses = addresses;
      this.rankings.clear();
    }
    let ranking = this.rankings.get(tenant);
    if (!ranking) {
      ranking = this.homes.first(tenant, addresses, (address) => address, RANKED_ROUTERS);
      this.rankings.set(tenant, ranking);
    }
    return ranking;
  }

  private isUnresponsive(address: string, nowMs: number): boolean {
    if (this.liveness.isMissing(address)) return true;
    if (!this.cooldowns.has(address, nowMs)) return false;
    const lastReceivedMs = nowMs - this.liveness.heartbeatAgeMs(address);
    if (this.minimumCooldowns.has(address, lastReceivedMs)) return true;
    this.cooldowns.remove(address);
    return false;
  }
}
