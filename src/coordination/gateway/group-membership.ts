/** Membership of a group of routers, and their reports to each other over one datagram socket. */
import { create } from '@bufbuild/protobuf';
import { type Clock, type Timer, repeat } from '../../runtime/clock.js';
import type { Logger } from '../../runtime/logger.js';
import type { RandomSource } from '../../runtime/random.js';
import type { DatagramSocket, DatagramTransport } from '../../transport/datagram-transport.js';
import {
  type ObservationDatagram,
  type QuotaDatagram,
  type StreamOriginDatagram,
  type WorkDatagram,
  decodeClusterDatagram,
  encodeClusterGossip,
  encodeUpdate,
} from '../../protocol/peer/cluster-codec.js';
import {
  type GossipDatagram,
  GossipDatagramSchema,
} from '../../protocol/peer/generated/peer_pb.js';
import type { LoadTable } from '../../state/routing/load-table.js';
import {
  type MemberIdentity,
  MemberStatus,
  type MemberUpdate,
  Membership,
  type OutgoingGossip,
  PROBE_PERIOD_MS,
} from '../../state/membership.js';
import {
  decodeGossipKind,
  decodeMemberUpdate,
  encodeGossipKind,
  encodeMemberUpdate,
} from '../router/member-codec.js';
import type { GroupView } from './gateway-context.js';
import { GroupChangeLog } from './group-change-log.js';
import { GroupHeartbeats } from './group-heartbeats.js';
import {
  CHANGE_PERIOD_MS,
  type GroupEvents,
  GroupReports,
  REPORT_PERIOD_MS,
} from './group-reports.js';

/** Identity and seed addresses with which this router joins the group. */
export interface GroupSettings {
  /** `peerAddress` is the address at which callers reach the member. */
  readonly identity: MemberIdentity;
  /** Datagram addresses of some members; some may be stale. */
  readonly seeds: readonly string[];
}

const CHECK_PERIOD_MS = 100;
/**
 * A member without a heartbeat for longer is unresponsive and is not offered to callers: three
 * reports of an idle router are missing. The membership protocol takes longer to declare it dead,
 * because a member that is wrongly declared dead has to join again.
 */
export const HEARTBEAT_TIMEOUT_MS = 2_500;
/**
 * Time after joining until a router has discovered most other members, and so knows its rank. Of
 * 195 routers that started together, 170 were known after 0.8 s and 179 after 1 s.
 */
export const SETTLING_MS = 1_000;
/** Idle routers of a small group report to all others every 0.75 s. */
const SMALL_GROUP_HEARTBEAT_TIMEOUT_MS = 1_250;
const ANNOUNCEMENT_FANOUT = 3;
const ANNOUNCEMENT_DELAY_MS = 50;

/** Runs the membership state machine, the reports and the heartbeats of one router. */
export class GroupMembership implements GroupView {
  private readonly timers: Timer[] = [];
  private seenVersion = -1;
  private readonly heartbeats: GroupHeartbeats;
  private readonly changeLog: GroupChangeLog;
  private isAnnouncementPending = false;
  /** Encoded member updates; an update is immutable. */
  private readonly encodedUpdates = new WeakMap<MemberUpdate, Uint8Array>();
  private readonly reports: GroupReports;
  private isStopped = false;
  private isStarted = false;
  private startedMs = 0;
  /** Handles load reports and summaries of a large group. */
  onWorkDatagram: (body: WorkDatagram) => void = () => undefined;
  /** Handles observations of other routers. */
  onObservationDatagram: (body: ObservationDatagram) => void = () => undefined;
  /** Handles quota datagrams of other routers. */
  onQuotaDatagram: (body: QuotaDatagram) => void = () => undefined;
  /** Handles datagrams on the origins of streams. */
  onStreamOriginDatagram: (body: StreamOriginDatagram) => void = () => undefined;

  private constructor(
    private readonly membership: Membership,
    private readonly socket: DatagramSocket,
    /** Datagram addresses of some members; some may be stale. */
    readonly seeds: readonly string[],
    loads: LoadTable,
    events: GroupEvents,
    private readonly clock: Clock,
    private readonly random: RandomSource,
    logger: Logger,
  ) {
    this.changeLog = new GroupChangeLog(logger);
    this.heartbeats = new GroupHeartbeats(clock, random);
    const { heartbeats } = this;
    this.reports = new GroupReports({
      group: this,
      socket,
      loads,
      events,
      heartbeats,
      clock,
      random,
    });
  }

  static async open(
    settings: GroupSettings,
    transport: DatagramTransport,
    loads: LoadTable,
    events: GroupEvents,
    clock: Clock,
    random: RandomSource,
    logger: Logger,
  ): Promise<GroupMembership> {
    let receive: (datagram: Uint8Array) => void = () => undefined;
    const { identity, seeds } = settings;
    const socket = await transport.bind(identity.gossipAddress, (datagram) => receive(datagram));
    const membership = new Membership(identity, clock.wallNow(), seeds, random);
    const group = new GroupMembership(
      membership,
      socket,
      seeds,
      loads,
      events,
      clock,
      random,
      logger,
    );
    receive = (datagram) => {
      try {
        group.receive(datagram);
      } catch (error) {
        // A datagram may be malformed in any field, such as the address to answer to.
        logger.error('datagram_failed', { bytes: datagram.length, reason: String(error) });
      }
    };
    return group;
  }

  /** Number of known members, including unresponsive ones: shared limits are divided among all. */
  get size(): number {
    return Math.max(this.seeds.length, this.membership.knownCount);
  }

  /** Address at which this router receives datagrams, with the actual port. */
  get boundAddress(): string {
    return this.socket.address;
  }

  /** Whether this router has joined the group. */
  get hasJoined(): boolean {
    return this.isStarted;
  }

  /** Whether this router joined long enough ago to have discovered most members. */
  get isSettled(): boolean {
    return this.isStarted && this.clock.now() - this.startedMs >= SETTLING_MS;
  }

  /** Monotonic time in milliseconds. */
  get now(): number {
    return this.clock.now();
  }

  /** Increases with each change of the membership view. */
  get version(): number {
    return this.membership.version;
  }

  /** This router's own member update. */
  get own(): MemberUpdate {
    return this.membership.own;
  }

  /** Members that accept work, including this router; the same array until a member changes. */
  get working(): readonly MemberUpdate[] {
    return this.membership.working();
  }

  /** Working members with a recent direct or reported heartbeat, and this router. */
  get responding(): MemberUpdate[] {
    return this.working.filter(({ nodeId }) => this.heartbeatAgeMs(nodeId) <= HEARTBEAT_TIMEOUT_MS);
  }

  /** Datagram addresses of other routers that may still run, also of those not discovered yet. */
  get possiblyRunningAddresses(): readonly string[] {
    const known = new Set(this.membership.all().map(({ gossipAddress }) => gossipAddress));
    const running = this.membership.possiblyRunning().map(({ gossipAddress }) => gossipAddress);
    return [...running, ...this.seeds.filter((address) => !known.has(address))];
  }

  /** Whether the group is so large that its routers do not all report to each other. */
  get isLarge(): boolean {
    return this.reports.isLarge;
  }

  /** Working members that this router can presumably reach, and itself. */
  get reachable(): MemberUpdate[] {
    const timeoutMs = this.reports.isLarge
      ? HEARTBEAT_TIMEOUT_MS
      : SMALL_GROUP_HEARTBEAT_TIMEOUT_MS;
    return this.working.filter(({ nodeId }) => this.heartbeatAgeMs(nodeId) <= timeoutMs);
  }

  /**
   * Whether a member works, is not suspected and, in a small group, where all members report to
   * each other, had a heartbeat within the timeout.
   */
  isAvailable(nodeId: string): boolean {
    const member = this.working.find((each) => each.nodeId === nodeId);
    if (member?.status !== MemberStatus.Alive) return false;
    return this.reports.isLarge || this.heartbeatAgeMs(nodeId) <= HEARTBEAT_TIMEOUT_MS;
  }

  /** Milliseconds since the last heartbeat of a member; Infinity if there was none. */
  heartbeatAgeMs(nodeId: string): number {
    if (nodeId === this.own.nodeId) return 0;
    return this.heartbeats.heartbeatAgeMs(nodeId);
  }

  /** Joins the group; call once this router can serve requests. */
  start(): void {
    if (this.isStarted) return;
    this.isStarted = true;
    this.startedMs = this.clock.now();
    this.tick();
    const firstDelayMs = this.random.next() * PROBE_PERIOD_MS;
    this.timers.push(
      this.clock.setTimer(firstDelayMs, () => {
        this.timers.push(repeat(this.clock, PROBE_PERIOD_MS, () => this.tick()));
      }),
      repeat(this.clock, CHECK_PERIOD_MS, () => this.checkTimeouts()),
      repeat(this.clock, REPORT_PERIOD_MS, () => this.reports.reportLoads()),
      repeat(this.clock, CHANGE_PERIOD_MS, () => this.reports.reportChanges()),
    );
  }

  send(address: string, datagram: Uint8Array): void {
    if (!this.isStopped) this.socket.send(address, datagram);
  }

  /** Announces that this router accepts no new work. */
  leave(): void {
    if (this.isStarted) this.transmit(this.membership.leave());
  }

  stop(): void {
    this.isStopped = true;
    this.reports.stop();
    for (const timer of this.timers) timer.cancel();
    this.socket.close();
  }

  /** Milliseconds until a report of {@link reportNow} has reached nearly all routers. */
  get propagationMs(): number {
    return this.reports.propagationMs;
  }

  /** Sends pending announcements without waiting for the next periodic report. */
  reportNow(): void {
    this.reports.reportNow();
  }

  private tick(): void {
    this.transmit(this.membership.tick(this.clock.now()));
    this.handleViewChange();
  }

  private checkTimeouts(): void {
    this.heartbeats.recordRunning();
    this.transmit(this.membership.checkDirectTimeout(this.clock.now()));
  }

  private receive(datagram: Uint8Array): void {
    if (this.isStopped) return;
    const body = decodeClusterDatagram(datagram);
    if (body?.case === undefined) return;
    switch (body.case) {
      case 'gossip':
        return this.receiveGossip(body.value);
      case 'loadReport':
        return this.reports.receive(body.value);
      default:
        return this.receiveExchange(body);
    }
  }

  /** Passes on a datagram of the exchanges that build on the group. */
  private receiveExchange(
    body: WorkDatagram | ObservationDatagram | QuotaDatagram | StreamOriginDatagram,
  ): void {
    switch (body.case) {
      case 'workReport':
      case 'workSummary':
        return this.onWorkDatagram(body);
      case 'observationReport':
      case 'observationSummary':
        return this.onObservationDatagram(body);
      case 'quotaQuestion':
      case 'quotaAnswer':
      case 'quotaNotice':
        return this.onQuotaDatagram(body);
      default:
        return this.onStreamOriginDatagram(body);
    }
  }

  private receiveGossip(gossip: GossipDatagram): void {
    const kind = decodeGossipKind(gossip.kind);
    if (!kind) return;
    const { sender, sequence, subject } = gossip;
    const updates = gossip.updates.map(decodeMemberUpdate);
    this.heartbeats.recordHeartbeat(sender);
    const response = this.membership.receive(
      { kind, sender, sequence, subject, updates },
      this.clock.now(),
    );
    if (this.isStarted) this.transmit(response);
    this.handleViewChange();
  }

  private transmit(outgoing: readonly OutgoingGossip[]): void {
    if (this.isStopped) return;
    for (const { address, message } of outgoing) {
      const { sender, sequence, subject } = message;
      const gossip = create(GossipDatagramSchema, {
        sender,
        sequence,
        subject,
        kind: encodeGossipKind(message.kind),
      });
      const updates = message.updates.map((update) => this.encodedUpdate(update));
      this.socket.send(address, encodeClusterGossip(gossip, updates));
    }
  }

  private encodedUpdate(update: MemberUpdate): Uint8Array {
    let bytes = this.encodedUpdates.get(update);
    if (!bytes) {
      bytes = encodeUpdate(encodeMemberUpdate(update));
      this.encodedUpdates.set(update, bytes);
    }
    return bytes;
  }

  /** Logs a changed view and gossips it after a short delay that batches further changes. */
  private handleViewChange(): void {
    if (this.membership.version === this.seenVersion) return;
    this.seenVersion = this.membership.version;
    const members = this.membership.all();
    this.changeLog.logChanges(members, (nodeId) => this.heartbeatAgeMs(nodeId));
    this.heartbeats.retain(members.map(({ nodeId }) => nodeId));
    if (this.isAnnouncementPending || !this.isStarted) return;
    this.isAnnouncementPending = true;
    this.clock.setTimer(ANNOUNCEMENT_DELAY_MS, () => {
      this.isAnnouncementPending = false;
      this.transmit(this.membership.announce(ANNOUNCEMENT_FANOUT));
    });
  }
}
