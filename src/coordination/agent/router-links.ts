/** The routers an agent knows, and its links to them, opened when first needed. */
import { type Clock, type Timer, repeat } from '../../runtime/clock.js';
import type { Hasher } from '../../runtime/hasher.js';
import type { Logger } from '../../runtime/logger.js';
import type { FrameTransport } from '../../transport/frame-transport.js';
import { NodeRole, type RouterTable } from '../../protocol/peer/generated/peer_pb.js';
import type { PeerBody } from '../../protocol/peer/peer-channel.js';
import { rankByRendezvous } from '../../state/rendezvous.js';
import { RouterLink, type RouterLinkEvents } from './router-link.js';
import type { AgentSettings } from './settings.js';

/** Links kept open for configuration even without calls. */
const STANDING_LINKS = 2;
const UPKEEP_PERIOD_MS = 500;
/** A router that could not be reached is not tried again for so long, while others are there. */
const AVOID_MS = 1_000;

/** A router as the agent knows it. */
export interface KnownRouter {
  readonly nodeId: string;
  readonly address: string;
  readonly zone: string;
  readonly leaving: boolean;
}

/** What the links tell the agent. */
export interface RouterLinksEvents {
  onOpen(link: RouterLink): void;
  onMessage(link: RouterLink, body: PeerBody): void;
}

/** All links of one agent. */
export class RouterLinks implements RouterLinkEvents {
  private readonly links = new Map<string, RouterLink>();
  private readonly opening = new Map<string, Promise<RouterLink | undefined>>();
  private readonly avoidedUntilMs = new Map<string, number>();
  private table: KnownRouter[] = [];
  private upkeep: Timer | undefined;
  private stopped = false;

  constructor(
    private readonly settings: AgentSettings,
    private readonly transport: FrameTransport,
    private readonly clock: Clock,
    private readonly hasher: Hasher,
    private readonly logger: Logger,
    private readonly events: RouterLinksEvents,
  ) {}

  start(): void {
    this.keepStanding();
    this.upkeep = repeat(this.clock, UPKEEP_PERIOD_MS, () => this.keepStanding());
  }

  stop(): void {
    this.stopped = true;
    this.upkeep?.cancel();
    for (const link of [...this.links.values()]) link.channel.close();
  }

  get openLinks(): number {
    return this.links.size;
  }

  /** Addresses to try for a key, best first: home, then the others by rank; avoided ones last. */
  rank(key: bigint, tried: ReadonlySet<string>): string[] {
    const usable = this.table.filter((router) => !router.leaving && !tried.has(router.address));
    const addressOf = new Map(usable.map((router) => [router.nodeId, router.address]));
    const ranked = rankByRendezvous(this.hasher, key, [...addressOf.keys()]);
    const addresses = ranked.map((nodeId) => addressOf.get(nodeId) ?? '');
    const seeds = this.table.length === 0 ? this.settings.routers : [];
    const all = [...addresses, ...seeds.filter((address) => !tried.has(address))];
    const nowMs = this.clock.now();
    const isAvoided = (address: string): boolean => (this.avoidedUntilMs.get(address) ?? 0) > nowMs;
    return [
      ...all.filter((address) => !isAvoided(address)),
      ...all.filter((address) => isAvoided(address)),
    ];
  }

  /** An open link to an address; undefined where it can't be reached. */
  async acquire(address: string): Promise<RouterLink | undefined> {
    const present = this.links.get(address);
    if (present?.channel.isOpen) return present;
    let opening = this.opening.get(address);
    if (!opening) {
      opening = this.open(address);
      this.opening.set(address, opening);
      void opening.finally(() => this.opening.delete(address));
    }
    return opening;
  }

  /** Takes over a router's view of the group. */
  takeTable(message: RouterTable): void {
    this.table = message.routers.map(({ nodeId, address, zone, leaving }) => ({
      nodeId,
      address,
      zone,
      leaving,
    }));
  }

  onOpen(link: RouterLink): void {
    this.events.onOpen(link);
  }

  onMessage(link: RouterLink, body: PeerBody): void {
    this.events.onMessage(link, body);
  }

  onClose(link: RouterLink): void {
    if (this.links.get(link.address) === link) this.links.delete(link.address);
    this.avoid(link.address);
  }

  private async open(address: string): Promise<RouterLink | undefined> {
    try {
      const connection = await this.transport.connect(address);
      if (this.stopped) {
        connection.destroy();
        return undefined;
      }
      return await this.introduce(address, connection);
    } catch {
      this.avoid(address);
      this.logger.debug('router_unreachable', { address });
      return undefined;
    }
  }

  /** Resolves when the router introduced itself, or with undefined when it hung up instead. */
  private introduce(
    address: string,
    connection: Awaited<ReturnType<FrameTransport['connect']>>,
  ): Promise<RouterLink | undefined> {
    const introduction = {
      nodeId: this.settings.nodeId,
      zone: this.settings.zone,
      role: NodeRole.AGENT,
    };
    return new Promise((resolve) => {
      const link = new RouterLink(address, connection, introduction, this.clock, {
        onOpen: (opened) => {
          this.links.set(address, opened);
          this.avoidedUntilMs.delete(address);
          this.onOpen(opened);
          resolve(opened);
        },
        onMessage: (from, body) => this.onMessage(from, body),
        onClose: (closed) => {
          this.onClose(closed);
          resolve(undefined);
        },
      });
      if (this.stopped) link.channel.destroy();
    });
  }

  private avoid(address: string): void {
    this.avoidedUntilMs.set(address, this.clock.now() + AVOID_MS);
  }

  private keepStanding(): void {
    if (this.stopped || this.links.size >= STANDING_LINKS) return;
    const known = this.table.filter((router) => !router.leaving).map((router) => router.address);
    const candidates = [...new Set([...known, ...this.settings.routers])];
    for (const address of candidates) {
      if (this.links.size + this.opening.size >= STANDING_LINKS) return;
      if (this.links.has(address) || this.opening.has(address)) continue;
      if ((this.avoidedUntilMs.get(address) ?? 0) > this.clock.now()) continue;
      void this.acquire(address);
    }
  }
}
