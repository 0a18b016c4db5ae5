/**
 * Which router keeps a tenant's account: an order of the routers that all agree on (rendezvous hashing),
 * without those that lately failed to answer this one. Pure.
 */
import type { HomeRanking } from '../home-ranking.js';
import { PassedOver } from '../passed-over.js';

/** Routers that may keep an account, the first one first; a router beyond these is never asked. */
const RANKED = 3;
/**
 * A router that did not answer is passed over for this long. Longer than a lost datagram and its repeat, and
 * short against the time after which a dead one leaves the group's view, so that it costs few waits.
 */
const SILENT_MS = 2_000;

/** The order of accountants, by their datagram addresses. */
export class AccountantRanking {
  private readonly silent = new PassedOver(SILENT_MS);

  constructor(private readonly homes: HomeRanking) {}

  /** Addresses to ask for a tenant, the first one first; empty where none of them answers. */
  of(tenant: string, addresses: readonly string[], nowMs: number): string[] {
    const ranked = this.homes.first(tenant, addresses, (address) => address, RANKED);
    return ranked.filter((address) => !this.silent.has(address, nowMs));
  }

  noteSilent(address: string, nowMs: number): void {
    this.silent.add(address, nowMs);
  }

  noteAnswer(address: string): void {
    this.silent.remove(address);
  }
}
