/** The routers known to an agent and the links to them, which are opened on demand. */
import { type Clock, type Timer, repeat } from '../../runtime/clock.js';
import type { Hasher } from '../../runtime/hasher.js';
import type { Logger } from '../../runtime/logger.js';
import type { FrameTransport } from '../../transport/frame-transport.js';
import { NodeRole, type RouterTable } from '../../protocol/peer/generated/peer_pb.js';
import type { PeerBody } from '../../protocol/peer/peer-channel.js';
import { rankByRendezvous } from '../../state/rendezvous.js';
import { RouterLink, type RouterLinkEvents } from './router-link.js';
import type { AgentSettings } from './settings.js';

/** Number of links kept open without calls, to receive configuration updates. */
const MINIMUM_LINKS = 2;
const MAINTENANCE_PERIOD_MS = 500;
/** After a failure, a router is ranked behind all others for this time. */
const RECONNECT_COOLDOWN_MS = 1_000;

/** An entry of the router table. */
export interface KnownRouter {
  readonly nodeId: string;
  readonly address: string;
  readonly zone: string;
  readonly leaving: boolean;
}

/** Events of the links, for the agent. */
export interface RouterLinksEvents {
  onOpen(link: RouterLink): void;
  onMessage(link: RouterLink, body: PeerBody): void;
}

/** The links of one agent. */
export class RouterLinks implements RouterLinkEvents {
  private readonly links = new Map<string, RouterLink>();
  private readonly opening = new Map<string, Promise<RouterLink | undefined>>();
  private readonly cooldownUntilMs = new Map<string, number>();
  private table: KnownRouter[] = [];
  private maintenanceTimer: Timer | undefined;
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
    this.maintainLinks();
    this.maintenanceTimer = repeat(this.clock, MAINTENANCE_PERIOD_MS, () => this.maintainLinks());
  }

  stop(): void {
    this.stopped = true;
    this.maintenanceTimer?.cancel();
    for (const link of [...this.links.values()]) link.channel.close();
  }

  get openLinks(): number {
    return this.links.size;
  }

  /**
   * Returns addresses for a key by descending preference: the home router, then the others by rank;
   * routers in cooldown last.
   */
  rank(key: bigint, tried: ReadonlySet<string>): string[] {
    const usable = this.table.filter((router) => !router.leaving && !tried.has(router.address));
    const addressOf = new Map(usable.map((router) => [router.nodeId, router.address]));
    const ranked = rankByRendezvous(this.hasher, key, [...addressOf.keys()]);
    const addresses = ranked.map((nodeId) => addressOf.get(nodeId) ?? '');
    const seeds = this.table.length === 0 ? this.settings.routers : [];
    const all = [...addresses, ...seeds.filter((address) => !tried.has(address))];
    const nowMs = this.clock.now();
    const isCoolingDown = (address: string): boolean =>
      (this.cooldownUntilMs.get(address) ?? 0) > nowMs;
    return [
      ...all.filter((address) => !isCoolingDown(address)),
      ...all.filter((address) => isCoolingDown(address)),
    ];
  }

  /** Returns an open link to an address, or undefined if the router is unreachable. */
  async acquire(address: string): Promise<RouterLink | undefined> {
    const existing = this.links.get(address);
    if (existing?.channel.isOpen) return existing;
    let opening = this.opening.get(address);
    if (!opening) {
      opening = this.open(address);
      this.opening.set(address, opening);
      void opening.finally(() => this.opening.delete(address));
    }
    return opening;
  }

  /** Replaces the router table by the one received from a router. */
  applyTable(message: RouterTable): void {
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
    this.startCooldown(link.address);
  }

  private async open(address: string): Promise<RouterLink | undefined> {
    try {
      const connection = await this.transport.connect(address);
      if (this.stopped) {
        connection.destroy();
        return undefined;
      }
      return await this.handshake(address, connection);
    } catch {
      this.startCooldown(address);
      this.logger.debug('router_unreachable', { address });
      return undefined;
    }
  }

  /** Resolves on the router's hello message, or with undefined if the connection closes first. */
  private handshake(
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
          this.cooldownUntilMs.delete(address);
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

  private startCooldown(address: string): void {
    this.cooldownUntilMs.set(address, this.clock.now() + RECONNECT_COOLDOWN_MS);
  }

  private maintainLinks(): void {
    if (this.stopped || this.links.size >= MINIMUM_LINKS) return;
    const known = this.table.filter((router) => !router.leaving).map((router) => router.address);
    const candidates = [...new Set([...known, ...this.settings.routers])];
    for (const address of candidates) {
      if (this.links.size + this.opening.size >= MINIMUM_LINKS) return;
      if (this.links.has(address) || this.opening.has(address)) continue;
      if ((this.cooldownUntilMs.get(address) ?? 0) > this.clock.now()) continue;
      void this.acquire(address);
    }
  }
}
