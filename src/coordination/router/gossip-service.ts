/** Runs the membership state machine over datagrams and carries document revisions along. */
import { type Clock, type Timer, repeat } from '../../runtime/clock.js';
import type { RandomSource } from '../../runtime/random.js';
import type { DatagramSocket, DatagramTransport } from '../../transport/datagram-transport.js';
import type {
  DocumentRevision,
  EngineReport,
  GossipDatagram,
} from '../../protocol/peer/generated/peer_pb.js';
import { decodeGossip, encodeGossip } from '../../protocol/peer/gossip-codec.js';
import {
  type GossipMessage,
  Membership,
  type OutgoingGossip,
  PROBE_PERIOD_MS,
} from '../../state/membership.js';
import { RumorQueue } from '../../state/rumor-queue.js';
import {
  decodeGossipKind,
  decodeMemberUpdate,
  encodeGossipKind,
  encodeMemberUpdate,
} from './member-codec.js';
import type { RouterSettings } from './settings.js';

/** How often the wait for a direct answer is checked. */
const CHECK_PERIOD_MS = 100;
/** Members told at once of a new revision. */
const EAGER_FANOUT = 3;
/** News of members and engines is announced at most this often. */
const ANNOUNCE_PERIOD_MS = 150;
/** Reports of engines in a datagram; with the members' updates it stays under 1,400 bytes. */
const ENGINES_PER_DATAGRAM = 4;

/** What the service asks of and tells its router. */
export interface GossipEvents {
  /** Revisions to carry in each datagram. */
  revisions(): DocumentRevision[];
  /** A member has these revisions. */
  onRevisions(nodeId: string, revisions: readonly DocumentRevision[]): void;
  /** News of engines came with a datagram. */
  onEngineReports(reports: readonly EngineReport[]): void;
  /** The view of the group changed. */
  onViewChange(): void;
}

/** Membership of one router. */
export class GossipService {
  private readonly timers: Timer[] = [];
  private readonly engineNews = new RumorQueue<string, EngineReport>();
  private seenVersion = -1;
  private stopped = false;
  private isAnnouncing = false;

  private constructor(
    readonly membership: Membership,
    private readonly socket: DatagramSocket,
    private readonly clusterKey: string,
    private readonly clock: Clock,
    private readonly events: GossipEvents,
  ) {}

  /** Binds the socket; call {@link start} next. */
  static async open(
    settings: RouterSettings,
    peerAddress: string,
    incarnation: number,
    transport: DatagramTransport,
    clock: Clock,
    random: RandomSource,
    events: GossipEvents,
  ): Promise<GossipService> {
    let receive: (datagram: Uint8Array) => void = () => undefined;
    const socket = await transport.bind(settings.gossipAddress, (datagram) => receive(datagram));
    const { nodeId, zone, region, seeds, clusterKey } = settings;
    const place = { zone, region, capacity: 0 };
    const identity = { nodeId, peerAddress, gossipAddress: socket.address, ...place };
    const membership = new Membership(identity, incarnation, seeds, random);
    const service = new GossipService(membership, socket, clusterKey, clock, events);
    receive = (datagram) => service.receive(datagram);
    return service;
  }

  /** Joins and probes. `firstDelayMs`: a random share of a period, so that a herd is spread. */
  start(firstDelayMs: number): void {
    this.tick();
    const first = this.clock.setTimer(firstDelayMs, () => {
      this.timers.push(repeat(this.clock, PROBE_PERIOD_MS, () => this.tick()));
    });
    const check = repeat(this.clock, CHECK_PERIOD_MS, () =>
      this.transmit(this.membership.checkDirectTimeout(this.clock.now())),
    );
    this.timers.push(first, check);
  }

  /** Tells a few members at once that this node has a new revision; the rest hear from them. */
  announceRevisions(): void {
    this.transmit(this.membership.announce(EAGER_FANOUT));
  }

  /** Passes news of an engine on with the next datagrams, some of which leave soon. */
  spreadEngineReport(report: EngineReport): void {
    this.engineNews.put(report.engineId, report, this.membership.spreadCount);
    this.announceSoon();
  }

  /** A herd that comes up at once must not set off a datagram for each piece of news and node. */
  private announceSoon(): void {
    if (this.isAnnouncing || this.stopped) return;
    this.isAnnouncing = true;
    this.clock.setTimer(ANNOUNCE_PERIOD_MS, () => {
      this.isAnnouncing = false;
      this.transmit(this.membership.announce(EAGER_FANOUT));
    });
  }

  /** Announces that this node leaves. */
  leave(): void {
    this.transmit(this.membership.leave());
    this.reportView();
  }

  stop(): void {
    this.stopped = true;
    for (const timer of this.timers) timer.cancel();
    this.socket.close();
  }

  /** Merges a whole table received over a channel. */
  mergeTable(updates: Parameters<Membership['mergeAll']>[0]): void {
    this.membership.mergeAll(updates, this.clock.now());
    this.reportView();
  }

  private tick(): void {
    this.transmit(this.membership.tick(this.clock.now()));
    this.reportView();
  }

  private receive(datagram: Uint8Array): void {
    const decoded = decodeGossip(datagram, this.clusterKey);
    const message = decoded && messageOf(decoded);
    if (!decoded || !message || this.stopped) return;
    this.transmit(this.membership.receive(message, this.clock.now()));
    this.reportView();
    if (decoded.engines.length > 0) this.events.onEngineReports(decoded.engines);
    this.events.onRevisions(decoded.sender, decoded.revisions);
  }

  private transmit(outgoing: readonly OutgoingGossip[]): void {
    if (outgoing.length === 0 || this.stopped) return;
    const revisions = this.events.revisions();
    for (const { address, message } of outgoing) {
      const contents = {
        sender: message.sender,
        sequence: message.sequence,
        kind: encodeGossipKind(message.kind),
        subject: message.subject,
        updates: message.updates.map(encodeMemberUpdate),
        revisions,
        engines: this.engineNews.take(ENGINES_PER_DATAGRAM),
      };
      this.socket.send(address, encodeGossip(contents, this.clusterKey));
    }
  }

  private reportView(): void {
    if (this.membership.version === this.seenVersion) return;
    this.seenVersion = this.membership.version;
    this.announceSoon();
    this.events.onViewChange();
  }
}

function messageOf(datagram: GossipDatagram): GossipMessage | undefined {
  const kind = decodeGossipKind(datagram.kind);
  if (!kind) return undefined;
  return {
    kind,
    sender: datagram.sender,
    sequence: datagram.sequence,
    subject: datagram.subject,
    updates: datagram.updates.map(decodeMemberUpdate),
  };
}
