/**
 * Which router keeps a tenant's account: an order of the routers that all agree on (rendezvous hashing),
 * without those that lately failed to answer this one. Pure.
 */
import { createBoundedCache } from '../../bounded-cache.js';
import type { HomeRanking } from '../home-ranking.js';
import { PeerCooldowns } from '../peer-cooldowns.js';

/** Routers that may keep an account, the first one first; a router beyond these is never asked. */
const RANKED = 3;
/**
 * A router that did not answer is passed over for this long. Longer than a lost datagram and its repeat, and
 * short against the time after which a dead one leaves the group's view, so that it costs few waits.
 */
const SILENT_MS = 2_000;

/**
 * A router that is heard again is asked again after this long: two accounts of one tenant, each asked by a
 * part of the routers, would grant its rate twice. One that is only slow is not asked at once.
 */
const SHORTEST_SILENT_MS = 500;
/** Far more than tenants that are near their limits at any time. */
const MAXIMUM_RANKINGS = 1_024;

/** What a router hears of the others. */
export interface RouterLiveness {
  /** Time since the router at an address was last heard, in milliseconds; Infinity where it never was. */
  silenceMs(address: string): number;
  /** Whether it is cut off or down for certain. */
  isMissing(address: string): boolean;
}

/** The order of accountants, by their datagram addresses. */
export class QuotaOwnerRanking {
  /** Orders by tenant, for the addresses that they were made of. */
  private readonly rankings = createBoundedCache<string, readonly string[]>(MAXIMUM_RANKINGS);
  private rankedAddresses: readonly string[] = [];
  /** Routers that failed to answer, until they are heard again. */
  private readonly silent = new PeerCooldowns(SILENT_MS);
  /** Those that failed so lately that it doesn't count yet that they are heard. */
  private readonly justFailed = new PeerCooldowns(SHORTEST_SILENT_MS);

  constructor(
    private readonly homes: HomeRanking,
    private readonly heard: RouterLiveness,
  ) {}

  /** Addresses to ask for a tenant, the first one first; empty where none of them answers. */
  of(tenant: string, addresses: readonly string[], nowMs: number): string[] {
    return this.ranked(tenant, addresses).filter((address) => !this.isSilent(address, nowMs));
  }

  /** Who keeps the account while all answer. */
  first(tenant: string, addresses: readonly string[]): string | undefined {
    return this.ranked(tenant, addresses)[0];
  }

  noteSilent(address: string, nowMs: number): void {
    this.silent.add(address, nowMs);
    this.justFailed.add(address, nowMs);
  }

  noteAnswer(address: string): void {
    this.silent.remove(address);
    this.justFailed.remove(address);
  }

  /** The order without regard to silence; kept, since each request of a limited tenant needs it. */
  private ranked(tenant: string, addresses: readonly string[]): readonly string[] {
    if (addresses !== this.rankedAddresses) {
      this.rankedAddresses = addresses;
      this.rankings.clear();
    }
    let ranking = this.rankings.get(tenant);
    if (!ranking) {
      ranking = this.homes.first(tenant, addresses, (address) => address, RANKED);
      this.rankings.set(tenant, ranking);
    }
    return ranking;
  }

  private isSilent(address: string, nowMs: number): boolean {
    if (this.heard.isMissing(address)) return true;
    if (!this.silent.has(address, nowMs)) return false;
    const heardMs = nowMs - this.heard.silenceMs(address);
    if (this.justFailed.has(address, heardMs)) return true;
    this.silent.remove(address);
    return false;
  }
}
