/** The group of routers: who works, and what each has under way at the engines. */
import { create } from '@bufbuild/protobuf';
import { type Clock, type Timer, repeat } from '../../runtime/clock.js';
import type { Logger } from '../../runtime/logger.js';
import { type RandomSource, randomInteger } from '../../runtime/random.js';
import type { DatagramSocket, DatagramTransport } from '../../transport/datagram-transport.js';
import {
  decodeClusterDatagram,
  encodeClusterGossip,
  encodeLoadReport,
} from '../../protocol/peer/cluster-codec.js';
import {
  type EngineWeights,
  EngineWeightsSchema,
  EngineWorkSchema,
  type LoadReport,
  LoadReportSchema,
  NamedWeightsSchema,
} from '../../protocol/peer/generated/cluster_pb.js';
import {
  type GossipDatagram,
  GossipDatagramSchema,
} from '../../protocol/peer/generated/peer_pb.js';
import type { LoadTable } from '../../state/routing/load-table.js';
import { type WeightsNews, WeightsNewsBoard } from '../../state/routing/weights-news.js';
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
import type { VersionNotice } from './version-news.js';

/** How this router takes part. */
export interface GroupSettings {
  /** `peerAddress` is where callers reach the member. */
  readonly identity: MemberIdentity;
  /** Datagram addresses of a few members; some may be stale. */
  readonly seeds: readonly string[];
}

/** What the group asks of and tells its router. */
export interface GroupEvents {
  /** News to tell the others with the next report. */
  weightsNews(): readonly WeightsNews[];
  onWeightsNews(news: WeightsNews): void;
  /** Revision of the lease on orders, while this router holds it. */
  heldLease(): number | undefined;
  onHeldLease(holder: string, revision: number): void;
  /** Versions of weights that operators named lately, to tell with each report. */
  versionNotices(): readonly VersionNotice[];
  onVersionNotice(notice: VersionNotice): void;
}

const CHECK_PERIOD_MS = 100;
/**
 * A member that was not heard for longer does not respond: three reports of an idle router have failed to
 * come. Whether it is declared dead is the membership's decision and takes longer, since a member that
 * was declared dead wrongly has to join again, while one that is only passed over loses nothing.
 */
export const LONGEST_SILENCE_MS = 2_500;
const REPORT_PERIOD_MS = 250;
/** Members that get each report of loads in a small group. */
const REPORT_FANOUT = 12;
/**
 * Members that do in a larger one, chosen at random: a router can't hear of all loads while they last,
 * so the reports only keep routers from meeting at one engine by accident. Those that hear news in a
 * larger group pass them on to as many.
 */
const SAMPLED_FANOUT = 4;
/** Members of a larger group that the origin of news tells at once. */
const ORIGIN_FANOUT = 8;
/** News of so short a time leave in one report. */
const GATHERING_MS = 5;
const LARGE_GROUP_GATHERING_MS = 40;
/**
 * Time in which an announcement reaches nearly all. In a large group it is handed on three times after
 * it was gathered (8, then 4 each: 8 + 32 + 128 and more for 195 routers), each time gathered again.
 */
const ANNOUNCEMENT_MS = 10;
const LARGE_GROUP_ANNOUNCEMENT_MS = 4 * LARGE_GROUP_GATHERING_MS;
const NEWS_FANOUT = 3;
const NEWS_DELAY_MS = 50;
/** An idle router repeats that it is idle only this often. */
const IDLE_REPORTS_SKIPPED = 3;

/** Runs the membership state machine and the load reports over one datagram socket. */
export class GroupMembership implements GroupView {
  private readonly timers: Timer[] = [];
  private reportSequence = 0;
  private idleReports = 0;
  private seenView = -1;
  private readonly heartbeats: GroupHeartbeats;
  private readonly changeLog: GroupChangeLog;
  private isAnnouncing = false;
  private readonly board = new WeightsNewsBoard();
  private pendingFanout = 0;
  private isStopped = false;
  private isStarted = false;

  private constructor(
    private readonly membership: Membership,
    private readonly socket: DatagramSocket,
    /** Datagram addresses of a few members; some may be stale. */
    readonly seeds: readonly string[],
    private readonly loads: LoadTable,
    private readonly events: GroupEvents,
    private readonly clock: Clock,
    private readonly random: RandomSource,
    logger: Logger,
  ) {
    this.changeLog = new GroupChangeLog(logger);
    this.heartbeats = new GroupHeartbeats(clock, random);
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
    receive = (datagram) => group.receive(datagram);
    return group;
  }

  /** Members known, even ones that fell silent: what must be shared is shared with them too. */
  get size(): number {
    return Math.max(this.seeds.length, this.membership.all().length);
  }

  /** Whether this router takes part. */
  get hasJoined(): boolean {
    return this.isStarted;
  }

  /** Changes with every change of the view. */
  get version(): number {
    return this.membership.version;
  }

  /** What this router says of itself. */
  get own(): MemberUpdate {
    return this.membership.own;
  }

  /** Members that take work, this one included while it does. */
  get working(): MemberUpdate[] {
    return this.membership.working();
  }

  /** Working members that were heard lately, by this router or one that told it, and itself. */
  get responding(): MemberUpdate[] {
    return this.working.filter(({ nodeId }) => this.silenceMs(nodeId) <= LONGEST_SILENCE_MS);
  }

  /**
   * Whether nothing speaks against a member: it is not suspected, and in a small group, where each hears
   * all others several times a second, it was heard lately.
   */
  isAvailable(nodeId: string): boolean {
    const member = this.working.find((each) => each.nodeId === nodeId);
    if (member?.status !== MemberStatus.Alive) return false;
    return this.isLarge || this.silenceMs(nodeId) <= LONGEST_SILENCE_MS;
  }

  /** Time since a member was last heard, in milliseconds; Infinity where it never was. */
  silenceMs(nodeId: string): number {
    if (nodeId === this.own.nodeId) return 0;
    return this.heartbeats.silenceMs(nodeId);
  }

  /** Joins; call once this router can serve. */
  start(): void {
    if (this.isStarted) return;
    this.isStarted = true;
    this.tick();
    const firstDelayMs = this.random.next() * PROBE_PERIOD_MS;
    this.timers.push(
      this.clock.setTimer(firstDelayMs, () => {
        this.timers.push(repeat(this.clock, PROBE_PERIOD_MS, () => this.tick()));
      }),
      repeat(this.clock, CHECK_PERIOD_MS, () => this.check()),
      repeat(this.clock, REPORT_PERIOD_MS, () => this.reportLoads()),
    );
  }

  /** Says that this router takes no new work. */
  leave(): void {
    if (this.isStarted) this.transmit(this.membership.leave());
  }

  stop(): void {
    this.isStopped = true;
    for (const timer of this.timers) timer.cancel();
    this.socket.close();
  }

  /** Time in which what {@link reportNow} sends reaches nearly all routers, in milliseconds. */
  get announcementMs(): number {
    return this.isLarge ? LARGE_GROUP_ANNOUNCEMENT_MS : ANNOUNCEMENT_MS;
  }

  /** Sends what is new without waiting for the next report. */
  reportNow(): void {
    this.tellSoon(ORIGIN_FANOUT);
  }

  private tick(): void {
    this.transmit(this.membership.tick(this.clock.now()));
    this.noteView();
  }

  private check(): void {
    this.heartbeats.noteRunning();
    this.transmit(this.membership.checkDirectTimeout(this.clock.now()));
  }

  private receive(datagram: Uint8Array): void {
    if (this.isStopped) return;
    const body = decodeClusterDatagram(datagram);
    if (body?.case === 'gossip') this.receiveGossip(body.value);
    else if (body?.case === 'loadReport') this.receiveReport(body.value);
  }

  private receiveGossip(gossip: GossipDatagram): void {
    const kind = decodeGossipKind(gossip.kind);
    if (!kind) return;
    const { sender, sequence, subject } = gossip;
    const updates = gossip.updates.map(decodeMemberUpdate);
    this.heartbeats.noteHeard(sender);
    const answer = this.membership.receive(
      { kind, sender, sequence, subject, updates },
      this.clock.now(),
    );
    if (this.isStarted) this.transmit(answer);
    this.noteView();
  }

  private receiveReport(report: LoadReport): void {
    const loads = new Map(
      report.engines.map(({ engineId, requests, unreadTokens, heldTokens }) => [
        engineId,
        { requests, unreadTokens, heldTokens },
      ]),
    );
    const nowMs = this.clock.now();
    this.heartbeats.noteHeard(report.sender);
    this.heartbeats.take(report);
    if (!report.withoutLoads) this.loads.receive(report.sender, report.sequence, loads, nowMs);
    this.receiveNews(report.weights, nowMs);
    const leaseRevision = Number(report.heldLeaseRevision);
    if (leaseRevision > 0) this.events.onHeldLease(report.sender, leaseRevision);
    for (const { model, version, ageMs } of report.named) {
      this.events.onVersionNotice({ model, version, ageMs });
    }
  }

  /** Takes news and, in a large group, passes on what is new. */
  private receiveNews(weights: readonly EngineWeights[], nowMs: number): void {
    let isAnyNew = false;
    for (const { engineId, model, version, isLoading, ageMs } of weights) {
      const news: WeightsNews = { engineId, model, version, isLoading, ageMs };
      if (!this.board.take(news, nowMs)) continue;
      isAnyNew = true;
      this.events.onWeightsNews(news);
    }
    if (isAnyNew && this.isLarge) this.tellSoon(SAMPLED_FANOUT);
  }

  private get isLarge(): boolean {
    return this.working.length > REPORT_FANOUT + 1;
  }

  /** Gathers the news of a short while into one report; the widest audience asked for gets it. */
  private tellSoon(fanout: number): void {
    const isPending = this.pendingFanout > 0;
    this.pendingFanout = Math.max(this.pendingFanout, fanout);
    if (isPending || !this.isStarted) return;
    this.clock.setTimer(this.isLarge ? LARGE_GROUP_GATHERING_MS : GATHERING_MS, () => {
      const audience = this.pendingFanout;
      this.pendingFanout = 0;
      this.sendReport(audience, this.isLarge);
    });
  }

  private reportLoads(): void {
    this.loads.expire(this.clock.now());
    const isIdle = this.loads.ownLoads.size === 0 && this.events.weightsNews().length === 0;
    this.idleReports = isIdle ? this.idleReports + 1 : 0;
    if (isIdle && this.idleReports % IDLE_REPORTS_SKIPPED !== 1) return;
    this.sendReport(SAMPLED_FANOUT, false);
  }

  /** @param fanout members of a large group that get it; those of a small one all do */
  private sendReport(fanout: number, withoutLoads: boolean): void {
    if (this.isStopped) return;
    this.reportSequence += 1;
    const loads = withoutLoads ? [] : [...this.loads.ownLoads];
    const engines = loads.map(([engineId, load]) =>
      create(EngineWorkSchema, { engineId, ...load }),
    );
    const weights = this.newsToTell().map((news) => create(EngineWeightsSchema, news));
    const report = create(LoadReportSchema, {
      sender: this.membership.own.nodeId,
      sequence: this.reportSequence,
      engines,
      weights,
      named: this.events.versionNotices().map((notice) => create(NamedWeightsSchema, notice)),
      heldLeaseRevision: BigInt(this.events.heldLease() ?? 0),
      withoutLoads,
      // In a small group all hear each other.
      ...(this.isLarge ? this.heartbeats.share() : {}),
    });
    const datagram = encodeLoadReport(report);
    for (const { gossipAddress } of this.audience(fanout))
      this.socket.send(gossipAddress, datagram);
  }

  /** The own news; in a large group also those of others that are still fresh. */
  private newsToTell(): readonly WeightsNews[] {
    const own = this.events.weightsNews();
    const nowMs = this.clock.now();
    for (const news of own) this.board.take(news, nowMs);
    return this.isLarge ? this.board.toTell(nowMs) : own;
  }

  private others(): MemberUpdate[] {
    const own = this.membership.own.nodeId;
    return this.working.filter((member) => member.nodeId !== own);
  }

  /** All others of a small group, or so many of a large one, chosen at random. */
  private audience(fanout: number): MemberUpdate[] {
    const others = this.others();
    if (!this.isLarge) return others;
    const sample = new Set<MemberUpdate>();
    while (sample.size < fanout) {
      sample.add(others[randomInteger(this.random, others.length)] as MemberUpdate);
    }
    return [...sample];
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
        updates: message.updates.map(encodeMemberUpdate),
      });
      this.socket.send(address, encodeClusterGossip(gossip));
    }
  }

  /** Logs a changed view and passes the news on soon; a herd of news makes one announcement. */
  private noteView(): void {
    if (this.membership.version === this.seenView) return;
    this.seenView = this.membership.version;
    const members = this.membership.all();
    this.changeLog.note(members, (nodeId) => this.silenceMs(nodeId));
    this.heartbeats.retain(members.map(({ nodeId }) => nodeId));
    if (this.isAnnouncing || !this.isStarted) return;
    this.isAnnouncing = true;
    this.clock.setTimer(NEWS_DELAY_MS, () => {
      this.isAnnouncing = false;
      this.transmit(this.membership.announce(NEWS_FANOUT));
    });
  }
}
