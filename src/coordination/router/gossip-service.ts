/** Runs the membership protocol over datagrams, which also carry revisions and engine reports. */
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

/** Period of the check for direct probes that timed out. */
const PROBE_CHECK_PERIOD_MS = 100;
/** Number of members that receive an announcement directly. */
const ANNOUNCE_FANOUT = 3;
/** Minimum interval between announcements of members and engines. */
const ANNOUNCE_PERIOD_MS = 150;
/** Engine reports per datagram; together with member updates it stays below 1,400 bytes. */
const ENGINES_PER_DATAGRAM = 4;

/** Callbacks of the gossip service, implemented by its router. */
export interface GossipEvents {
  /** Returns the document revisions to include in each datagram. */
  revisions(): DocumentRevision[];
  /** Received the document revisions of a member. */
  onRevisions(nodeId: string, revisions: readonly DocumentRevision[]): void;
  /** Received engine reports in a datagram. */
  onEngineReports(reports: readonly EngineReport[]): void;
  /** The membership view changed. */
  onViewChange(): void;
}

/** Gossip membership of one router. */
export class GossipService {
  private readonly timers: Timer[] = [];
  private readonly engineReports = new RumorQueue<string, EngineReport>();
  private notifiedVersion = -1;
  private stopped = false;
  private isAnnouncementScheduled = false;

  private constructor(
    readonly membership: Membership,
    private readonly socket: DatagramSocket,
    private readonly clusterKey: string,
    private readonly clock: Clock,
    private readonly events: GossipEvents,
  ) {}

  /** Binds the socket. Call {@link start} to join the group. */
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

  /**
   * Joins the group and starts probing. `firstDelayMs` is a random part of the period, so that
   * routers that start together don't probe at the same time.
   */
  start(firstDelayMs: number): void {
    this.tick();
    const first = this.clock.setTimer(firstDelayMs, () => {
      this.timers.push(repeat(this.clock, PROBE_PERIOD_MS, () => this.tick()));
    });
    const check = repeat(this.clock, PROBE_CHECK_PERIOD_MS, () =>
      this.transmit(this.membership.checkDirectTimeout(this.clock.now())),
    );
    this.timers.push(first, check);
  }

  /** Announces a new revision to a few members, which gossip it to the others. */
  announceRevisions(): void {
    this.transmit(this.membership.announce(ANNOUNCE_FANOUT));
  }

  /** Queues an engine report for the next datagrams and schedules an announcement. */
  announceEngineReport(report: EngineReport): void {
    this.engineReports.put(report.engineId, report, this.membership.transmissionCount);
    this.scheduleAnnouncement();
  }

  /** Batches changes, to avoid one datagram per change when many nodes start together. */
  private scheduleAnnouncement(): void {
    if (this.isAnnouncementScheduled || this.stopped) return;
    this.isAnnouncementScheduled = true;
    this.clock.setTimer(ANNOUNCE_PERIOD_MS, () => {
      this.isAnnouncementScheduled = false;
      this.transmit(this.membership.announce(ANNOUNCE_FANOUT));
    });
  }

  /** Announces that this node is leaving. */
  leave(): void {
    this.transmit(this.membership.leave());
    this.notifyViewChange();
  }

  stop(): void {
    this.stopped = true;
    for (const timer of this.timers) timer.cancel();
    this.socket.close();
  }

  /** Merges a complete member table received over a channel. */
  mergeTable(updates: Parameters<Membership['mergeAll']>[0]): void {
    this.membership.mergeAll(updates, this.clock.now());
    this.notifyViewChange();
  }

  private tick(): void {
    this.transmit(this.membership.tick(this.clock.now()));
    this.notifyViewChange();
  }

  private receive(datagram: Uint8Array): void {
    const decoded = decodeGossip(datagram, this.clusterKey);
    const message = decoded && messageOf(decoded);
    if (!decoded || !message || this.stopped) return;
    this.transmit(this.membership.receive(message, this.clock.now()));
    this.notifyViewChange();
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
        engines: this.engineReports.take(ENGINES_PER_DATAGRAM),
      };
      this.socket.send(address, encodeGossip(contents, this.clusterKey));
    }
  }

  private notifyViewChange(): void {
    if (this.membership.version === this.notifiedVersion) return;
    this.notifiedVersion = this.membership.version;
    this.scheduleAnnouncement();
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
