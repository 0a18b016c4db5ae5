/** The group of routers as one of them sees it. */
import { create } from '@bufbuild/protobuf';
import type { Clock } from '../../runtime/clock.js';
import { type RandomSource, randomElement, randomInteger } from '../../runtime/random.js';
import type { DatagramTransport } from '../../transport/datagram-transport.js';
import {
  type EngineReport,
  type RouterTable,
  RouterEntrySchema,
  RouterTableSchema,
} from '../../protocol/peer/generated/peer_pb.js';
import {
  MemberStatus,
  type MemberUpdate,
  type Membership,
  PROBE_PERIOD_MS,
  isWorking,
} from '../../state/membership.js';
import { type GossipEvents, GossipService } from './gossip-service.js';
import { READERS_PER_REGION } from './platform-reader.js';
import type { RouterSettings } from './settings.js';

/** A router that hears of nobody for so long takes itself for the first. */
const ALONE_AFTER_MS = 3_000;
/** A member refutes whatever is said of an earlier life, so the first incarnation may be random. */
const FIRST_INCARNATIONS = 1_000;

/** What the group asks of and tells its router. */
export type RouterGroupEvents = Omit<GossipEvents, 'onViewChange'>;

/** Membership of one router and what follows from it. */
export class RouterGroup {
  private readonly startedMs: number;
  private gossip: GossipService | undefined;
  private tableReceived = false;
  private viewChanged = false;

  constructor(
    private readonly settings: RouterSettings,
    private readonly datagrams: DatagramTransport,
    private readonly clock: Clock,
    private readonly random: RandomSource,
    private readonly events: RouterGroupEvents,
  ) {
    this.startedMs = clock.now();
  }

  /** Binds the datagram socket and begins to probe. */
  async start(peerAddress: string): Promise<void> {
    this.gossip = await GossipService.open(
      this.settings,
      peerAddress,
      randomInteger(this.random, FIRST_INCARNATIONS),
      this.datagrams,
      this.clock,
      this.random,
      {
        ...this.events,
        onViewChange: () => {
          this.viewChanged = true;
        },
      },
    );
    this.gossip.start(this.random.next() * PROBE_PERIOD_MS);
  }

  stop(): void {
    this.gossip?.stop();
  }

  /** Announces that this router leaves. */
  leave(): void {
    this.gossip?.leave();
  }

  /** Address of membership datagrams. */
  get gossipAddress(): string {
    return this.gossip?.membership.own.gossipAddress ?? this.settings.gossipAddress;
  }

  /** All members known, the dead of the last minutes among them. */
  members(): MemberUpdate[] {
    return this.gossip?.membership.all() ?? [];
  }

  /** Identifiers of the working members. */
  working(): string[] {
    return this.gossip?.membership.working().map((member) => member.nodeId) ?? [];
  }

  /** Suspicions raised and deaths declared by this router. */
  get counters(): Membership['counters'] {
    return this.gossip?.membership.counters ?? { suspicions: 0, deaths: 0 };
  }

  addressOf(nodeId: string): string | undefined {
    return this.members().find((member) => member.nodeId === nodeId)?.peerAddress;
  }

  /** False until a whole member table was seen: a part of it would name wrong claim replicas. */
  isViewComplete(): boolean {
    return this.tableReceived || this.clock.now() - this.startedMs >= ALONE_AFTER_MS;
  }

  get lacksTable(): boolean {
    return !this.tableReceived;
  }

  /** Takes over a member's whole table. */
  mergeTable(members: readonly MemberUpdate[]): void {
    this.gossip?.mergeTable(members);
    this.tableReceived = true;
  }

  /** Whether the view changed since the last asking. */
  takeViewChange(): boolean {
    const changed = this.viewChanged;
    this.viewChanged = false;
    return changed;
  }

  /** Any other working member; undefined where there is none. */
  randomOther(): string | undefined {
    const others = this.working().filter((nodeId) => nodeId !== this.settings.nodeId);
    return randomElement(this.random, others);
  }

  /** The first routers of the region by identifier read the platform. */
  isReader(): boolean {
    const { region, nodeId } = this.settings;
    const ranked = this.members()
      .filter((member) => member.region === region && isWorking(member))
      .map((member) => member.nodeId)
      .sort();
    return ranked.slice(0, READERS_PER_REGION).includes(nodeId);
  }

  announceRevisions(): void {
    this.gossip?.announceRevisions();
  }

  spreadEngineReport(report: EngineReport): void {
    this.gossip?.spreadEngineReport(report);
  }

  /** The routers, for agents. */
  routerTable(): RouterTable {
    const present = this.members().filter((member) => member.status !== MemberStatus.Dead);
    const routers = present.map((member) =>
      create(RouterEntrySchema, {
        nodeId: member.nodeId,
        address: member.peerAddress,
        zone: member.zone,
        leaving: member.status === MemberStatus.Leaving,
      }),
    );
    return create(RouterTableSchema, { routers });
  }
}
