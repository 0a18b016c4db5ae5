/**
 * Chooses the router that forwards this router's connections to an engine, among those that
 * recently reported that they can reach engines. Pure; times are monotonic, in milliseconds.
 */
import { memberKey } from '../member-key.js';
import type { MemberUpdate } from '../membership.js';

/** A router that offers to forward connections. */
interface KnownForwarder {
  readonly address: string;
  readonly reportedMs: number;
}

/** An offer expires without a further report, as heartbeats do. */
const OFFER_LIFETIME_MS = 2_500;
/** A router that did not forward a connection is avoided for this long while there are others. */
const AVOIDANCE_MS = 500;
/** Routers of other zones are used if fewer of this zone's routers than this share can forward. */
const MINIMUM_ZONE_SHARE = 1 / 3;

/** The routers that offer to forward connections. */
export class EngineForwarders {
  private readonly known = new Map<string, KnownForwarder>();
  private readonly avoidedUntilMs = new Map<string, number>();
  private offerLifetimeMs = OFFER_LIFETIME_MS;

  /** Applies a router's report; an empty address withdraws its offer. */
  receive(nodeId: string, address: string, nowMs: number): void {
    if (address === '') this.known.delete(nodeId);
    else this.known.set(nodeId, { address, reportedMs: nowMs });
  }

  /** Keeps the present offers: a router that leaves its group receives no further reports. */
  keepOffers(): void {
    this.offerLifetimeMs = Infinity;
  }

  /** Records that a connection was not forwarded. */
  noteFailure(address: string, nowMs: number): void {
    this.avoidedUntilMs.set(address, nowMs + AVOIDANCE_MS);
  }

  /** Drops expired entries; must be called periodically. */
  expire(nowMs: number): void {
    for (const [nodeId, { reportedMs }] of this.known) {
      if (nowMs - reportedMs > this.offerLifetimeMs) this.known.delete(nodeId);
    }
    for (const [address, untilMs] of this.avoidedUntilMs) {
      if (untilMs <= nowMs) this.avoidedUntilMs.delete(address);
    }
  }

  /** Addresses of all routers that offer to forward connections. */
  get addresses(): Set<string> {
    return new Set([...this.known.values()].map(({ address }) => address));
  }

  /**
   * Returns the address of the router to use for an engine, or undefined if there is none. The same
   * router is chosen for all connections to an engine while the offers don't change, so that its
   * connections are reused, and different ones for different engines.
   *
   * @param working members that accept work, including `own`
   */
  choose(
    engineId: string,
    own: MemberUpdate,
    working: readonly MemberUpdate[],
    nowMs: number,
  ): string | undefined {
    const offering = working.filter((member) => member !== own && this.offers(member, nowMs));
    const near = nearestOf(offering, own, working);
    const eligible = near.filter((member) => !this.isAvoided(member, nowMs));
    const candidates = firstNonEmpty(
      eligible,
      offering.filter((member) => !this.isAvoided(member, nowMs)),
      offering,
    );
    const chosen = highestRanked(candidates, engineId);
    return chosen && this.known.get(chosen.nodeId)?.address;
  }

  private offers({ nodeId }: MemberUpdate, nowMs: number): boolean {
    const offer = this.known.get(nodeId);
    return offer !== undefined && nowMs - offer.reportedMs <= this.offerLifetimeMs;
  }

  private isAvoided({ nodeId }: MemberUpdate, nowMs: number): boolean {
    const address = this.known.get(nodeId)?.address ?? '';
    return nowMs < (this.avoidedUntilMs.get(address) ?? -Infinity);
  }
}

/** Members of the own zone if enough of them offer to forward, otherwise of the region or of all. */
function nearestOf(
  offering: readonly MemberUpdate[],
  own: MemberUpdate,
  working: readonly MemberUpdate[],
): readonly MemberUpdate[] {
  const inZone = offering.filter(({ zone }) => zone === own.zone);
  const zoneSize = working.filter(({ zone }) => zone === own.zone).length;
  if (inZone.length > 0 && inZone.length >= zoneSize * MINIMUM_ZONE_SHARE) return inZone;
  return firstNonEmpty(
    offering.filter(({ region }) => region === own.region),
    offering,
  );
}

function firstNonEmpty<Element>(...lists: (readonly Element[])[]): readonly Element[] {
  return lists.find((list) => list.length > 0) ?? [];
}

/** Rendezvous hashing over the members. */
function highestRanked(
  members: readonly MemberUpdate[],
  engineId: string,
): MemberUpdate | undefined {
  let best: MemberUpdate | undefined;
  let bestRank = -1;
  for (const member of members) {
    const rank = memberKey(`${member.nodeId}/${engineId}`);
    if (rank <= bestRank) continue;
    best = member;
    bestRank = rank;
  }
  return best;
}
