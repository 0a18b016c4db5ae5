/** The router group, as seen by one router. */
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

/** A router that received no member table for this time assumes that it is the first. */
const SOLE_MEMBER_AFTER_MS = 3_000;
/** Random initial incarnations are safe, as a member refutes statements on a previous one. */
const INITIAL_INCARNATION_RANGE = 1_000;

/** Callbacks of the group, implemented by its router. */
export type RouterGroupEvents = Omit<GossipEvents, 'onViewChange'>;

/** Group membership of one router and decisions derived from it. */
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

  /** Binds the datagram socket and starts probing. */
  async start(peerAddress: string): Promise<void> {
    this.gossip = await GossipService.open(
      this.settings,
      peerAddress,
      randomInteger(this.random, INITIAL_INCARNATION_RANGE),
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

  /** Announces that this router is leaving. */
  leave(): void {
    this.gossip?.leave();
  }

  /** Address of membership datagrams. */
  get gossipAddress(): string {
    return this.gossip?.membership.own.gossipAddress ?? this.settings.gossipAddress;
  }

  /** All known members, including recently dead ones. */
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

  /**
   * False until a complete member table was received: a partial one gives wrong claim replicas.
   */
  isViewComplete(): boolean {
    return this.tableReceived || this.clock.now() - this.startedMs >= SOLE_MEMBER_AFTER_MS;
  }

  get needsTable(): boolean {
    return !this.tableReceived;
  }

  /** Merges the complete member table of another router. */
  mergeTable(members: readonly MemberUpdate[]): void {
    this.gossip?.mergeTable(members);
    this.tableReceived = true;
  }

  /** Returns whether the view changed since the last call. */
  consumeViewChange(): boolean {
    const changed = this.viewChanged;
    this.viewChanged = false;
    return changed;
  }

  /** Returns a random other working member, or undefined if there is none. */
  randomOther(): string | undefined {
    const others = this.working().filter((nodeId) => nodeId !== this.settings.nodeId);
    return randomElement(this.random, others);
  }

  /** Whether this router is among the first of its region by identifier, and so a reader. */
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

  announceEngineReport(report: EngineReport): void {
    this.gossip?.announceEngineReport(report);
  }

  /** The router table that is sent to agents. */
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
