/**
 * Membership of the routers by SWIM with suspicion and incarnation numbers
 * (Das, Gupta, Motivala, "SWIM", DSN 2002).
 * A pure state machine: callers pass the time and send the returned datagrams.
 */
import { type RandomSource, randomInteger } from '../runtime/random.js';

/** Last known status of a member. */
export enum MemberStatus {
  Alive = 'alive',
  /** Did not respond to a probe; declared dead unless it refutes the suspicion in time. */
  Suspect = 'suspect',
  Dead = 'dead',
  /** Announced that it leaves: it finishes its work and accepts no new work. */
  Leaving = 'leaving',
}

/** Identifier, addresses and location of a member. */
export interface MemberIdentity {
  readonly nodeId: string;
  readonly peerAddress: string;
  readonly gossipAddress: string;
  readonly zone: string;
  readonly region: string;
  /** Share of a processor core that the member may use, in thousandths. */
  readonly capacity: number;
}

/** An announcement of a member's status. */
export interface MemberUpdate extends MemberIdentity {
  readonly status: MemberStatus;
  /** Increased only by the member itself, to refute a suspicion. */
  readonly incarnation: number;
}

export type GossipKind = 'ping' | 'ack' | 'ping-request';

/** A datagram, before encoding. */
export interface GossipMessage {
  readonly kind: GossipKind;
  readonly sender: string;
  readonly sequence: number;
  /** Target of an indirect probe. */
  readonly subject: string;
  readonly updates: readonly MemberUpdate[];
}

/** A datagram and its destination. */
export interface OutgoingGossip {
  readonly address: string;
  readonly message: GossipMessage;
}

/** Interval between probes, and the timeout of each. */
export const PROBE_PERIOD_MS = 1_000;
/** Timeout of the direct probe, after which indirect probes are sent. */
const DIRECT_TIMEOUT_MS = 350;
const INDIRECT_PROBES = 3;
/** Duration of a suspicion in probe periods, scaled by log10 of the group's size. */
const SUSPICION_PERIODS = 4;
/** Transmissions of an update by each node, scaled by log2 of the group's size. */
const TRANSMISSION_FACTOR = 3;
/** Keeps a datagram below 1,200 bytes. */
const UPDATES_PER_DATAGRAM = 10;
/** How long dead members are kept, so that a delayed announcement does not add them again. */
const DEAD_RETENTION_MS = 600_000;

/**
 * Precedence of statuses at the same incarnation. Leaving takes precedence over suspect, since a
 * leaving member is expected to become unresponsive.
 */
const STATUS_PRECEDENCE: Record<MemberStatus, number> = {
  [MemberStatus.Alive]: 0,
  [MemberStatus.Suspect]: 1,
  [MemberStatus.Leaving]: 2,
  [MemberStatus.Dead]: 3,
};

interface Member {
  update: MemberUpdate;
  /** Whether this incarnation announced that it leaves. */
  hasLeft: boolean;
  changedMs: number;
  /** Remaining transmissions of the update. */
  transmissions: number;
}

interface Probe {
  readonly target: string;
  readonly sequence: number;
  readonly startedMs: number;
  indirect: boolean;
}

interface RelayedProbe {
  readonly requesterAddress: string;
  readonly requesterSequence: number;
}

/** The group as known to one node. */
export class Membership {
  private readonly members = new Map<string, Member>();
  private self: MemberUpdate;
  /** Cached result of `working`; undefined after a change. */
  private cachedWorking: readonly MemberUpdate[] | undefined;
  private sequence = 0;
  private probe: Probe | undefined;
  /** Members still to be probed before the next shuffle. */
  private round: string[] = [];
  private readonly relayedProbes = new Map<number, RelayedProbe>();
  private currentVersion = 0;
  /** Counts how often this node itself declared a member suspect or dead. */
  readonly counters = { suspicions: 0, deaths: 0 };

  constructor(
    identity: MemberIdentity,
    incarnation: number,
    private readonly seeds: readonly string[],
    private readonly random: RandomSource,
  ) {
    this.self = { ...identity, status: MemberStatus.Alive, incarnation };
  }

  /** Increases with every change of a member. */
  get version(): number {
    return this.currentVersion;
  }

  /** The announcement of this node's own status. */
  get own(): MemberUpdate {
    return this.self;
  }

  /** All known members, including this one and recently dead ones. */
  all(): MemberUpdate[] {
    return [this.self, ...[...this.members.values()].map((member) => member.update)];
  }

  /**
   * Other members that may still run: a member that was declared dead may only be cut off, unless it
   * had announced that it leaves.
   */
  possiblyRunning(): MemberUpdate[] {
    return [...this.members.values()]
      .filter(({ update, hasLeft }) => update.status !== MemberStatus.Dead || !hasLeft)
      .map(({ update }) => update);
  }

  /** Number of known members, including this one and recently dead ones. */
  get knownCount(): number {
    return this.members.size + 1;
  }

  /**
   * Members that are alive or suspect, including this one unless it leaves. Returns the same array
   * until a member changes.
   */
  working(): readonly MemberUpdate[] {
    this.cachedWorking ??= this.all().filter(isWorking);
    return this.cachedWorking;
  }

  /** Ends the previous probe and starts the next. Call every {@link PROBE_PERIOD_MS}. */
  tick(nowMs: number): OutgoingGossip[] {
    this.finishProbe(nowMs);
    this.expire(nowMs);
    const target = this.nextTarget();
    if (!target) return this.pingSeeds();
    this.sequence += 1;
    this.probe = {
      target: target.nodeId,
      sequence: this.sequence,
      startedMs: nowMs,
      indirect: false,
    };
    return [...this.ping(target.gossipAddress, this.sequence), ...this.pingRandomSeed()];
  }

  /** Starts indirect probes if the direct probe timed out. Call between ticks. */
  checkDirectTimeout(nowMs: number): OutgoingGossip[] {
    const probe = this.probe;
    if (!probe || probe.indirect || nowMs - probe.startedMs < DIRECT_TIMEOUT_MS) return [];
    probe.indirect = true;
    return this.sample(INDIRECT_PROBES, probe.target).map((helper) => ({
      address: helper.gossipAddress,
      message: this.message('ping-request', probe.sequence, probe.target),
    }));
  }

  /** Handles a datagram; returns the datagrams to send. */
  receive(message: GossipMessage, nowMs: number): OutgoingGossip[] {
    for (const update of message.updates) this.merge(update, nowMs);
    const sender = this.members.get(message.sender)?.update;
    switch (message.kind) {
      case 'ping':
        if (!sender) return [];
        return [{ address: sender.gossipAddress, message: this.acknowledge(message, sender) }];
      case 'ping-request':
        return sender ? this.relayProbe(message, sender) : [];
      case 'ack':
        return this.handleAck(message);
    }
  }

  /** Applies updates that were not received by datagram, such as a full member list on joining. */
  mergeAll(updates: readonly MemberUpdate[], nowMs: number): void {
    for (const update of updates) this.merge(update, nowMs);
  }

  /** Pings random members in addition to the regular probe, to spread updates without delay. */
  announce(count: number): OutgoingGossip[] {
    this.sequence += 1;
    return this.sample(count, this.self.nodeId).flatMap((member) =>
      this.ping(member.gossipAddress, this.sequence),
    );
  }

  /** Announces that this node leaves to a few members; the others learn it by gossip. */
  leave(): OutgoingGossip[] {
    this.self = {
      ...this.self,
      status: MemberStatus.Leaving,
      incarnation: this.self.incarnation + 1,
    };
    this.recordChange();
    const LEAVE_ANNOUNCEMENTS = 5;
    return this.announce(LEAVE_ANNOUNCEMENTS);
  }

  /** A response to a suspect or dead sender includes that status, so that it can refute it. */
  private acknowledge(message: GossipMessage, sender: MemberUpdate): GossipMessage {
    const ack = this.message('ack', message.sequence, '');
    if (sender.status === MemberStatus.Alive) return ack;
    const others = ack.updates.filter((update) => update.nodeId !== sender.nodeId);
    return { ...ack, updates: [...others, sender] };
  }

  private nextTarget(): MemberUpdate | undefined {
    for (;;) {
      const candidate = this.round.pop();
      if (candidate === undefined) {
        this.round = this.shuffledTargets();
        if (this.round.length === 0) return undefined;
        continue;
      }
      const member = this.members.get(candidate);
      if (member && member.update.status !== MemberStatus.Dead) return member.update;
    }
  }

  private shuffledTargets(): string[] {
    const targets = [...this.members.values()]
      .filter((member) => member.update.status !== MemberStatus.Dead)
      .map((member) => member.update.nodeId);
    for (let index = targets.length - 1; index > 0; index -= 1) {
      const other = randomInteger(this.random, index + 1);
      [targets[index], targets[other]] = [targets[other] as string, targets[index] as string];
    }
    return targets;
  }

  private pingSeeds(): OutgoingGossip[] {
    this.sequence += 1;
    return this.seeds
      .filter((address) => address !== this.self.gossipAddress)
      .flatMap((address) => this.ping(address, this.sequence));
  }

  /** Occasionally pings a seed that is not a working member, to merge a partitioned group. */
  private pingRandomSeed(): OutgoingGossip[] {
    const SEED_PING_PROBABILITY = 0.1;
    if (this.random.next() >= SEED_PING_PROBABILITY) return [];
    const present = new Set(this.working().map((member) => member.gossipAddress));
    const absent = this.seeds.filter((address) => !present.has(address));
    const address = absent[randomInteger(this.random, absent.length)];
    return address === undefined ? [] : this.ping(address, this.sequence);
  }

  private ping(address: string, sequence: number): OutgoingGossip[] {
    return [{ address, message: this.message('ping', sequence, '') }];
  }

  private relayProbe(message: GossipMessage, requester: MemberUpdate): OutgoingGossip[] {
    const target = this.members.get(message.subject)?.update;
    if (!target) return [];
    this.sequence += 1;
    this.relayedProbes.set(this.sequence, {
      requesterAddress: requester.gossipAddress,
      requesterSequence: message.sequence,
    });
    return this.ping(target.gossipAddress, this.sequence);
  }

  private handleAck(message: GossipMessage): OutgoingGossip[] {
    const relayedProbe = this.relayedProbes.get(message.sequence);
    if (relayedProbe) {
      this.relayedProbes.delete(message.sequence);
      return [
        {
          address: relayedProbe.requesterAddress,
          message: this.message('ack', relayedProbe.requesterSequence, ''),
        },
      ];
    }
    if (this.probe?.sequence === message.sequence) this.probe = undefined;
    return [];
  }

  private finishProbe(nowMs: number): void {
    const probe = this.probe;
    this.probe = undefined;
    this.relayedProbes.clear();
    if (!probe) return;
    const member = this.members.get(probe.target);
    if (!member) return;
    const { status } = member.update;
    // An unresponsive leaving member has left as announced and is not suspected first.
    if (status === MemberStatus.Leaving) this.declare(member, MemberStatus.Dead, nowMs);
    if (status === MemberStatus.Alive) this.declare(member, MemberStatus.Suspect, nowMs);
  }

  private expire(nowMs: number): void {
    const suspicionMs = this.suspicionMs();
    for (const member of this.members.values()) {
      const sinceMs = nowMs - member.changedMs;
      const { status, nodeId } = member.update;
      if (status === MemberStatus.Suspect && sinceMs >= suspicionMs) {
        this.declare(member, MemberStatus.Dead, nowMs);
      }
      if (status === MemberStatus.Dead && sinceMs >= DEAD_RETENTION_MS) {
        this.members.delete(nodeId);
      }
    }
  }

  private suspicionMs(): number {
    const scale = Math.max(1, Math.log10(this.members.size + 1));
    return SUSPICION_PERIODS * scale * PROBE_PERIOD_MS;
  }

  private declare(member: Member, status: MemberStatus, nowMs: number): void {
    if (status === MemberStatus.Suspect) this.counters.suspicions += 1;
    if (status === MemberStatus.Dead) this.counters.deaths += 1;
    this.put({ ...member.update, status }, nowMs);
  }

  private put(update: MemberUpdate, nowMs: number): void {
    const transmissions = this.transmissionCount;
    const present = this.members.get(update.nodeId);
    const hadLeft = present?.hasLeft === true && present.update.incarnation === update.incarnation;
    const hasLeft = hadLeft || update.status === MemberStatus.Leaving;
    this.members.set(update.nodeId, { update, hasLeft, changedMs: nowMs, transmissions });
    this.recordChange();
  }

  private recordChange(): void {
    this.currentVersion += 1;
    this.cachedWorking = undefined;
  }

  private merge(update: MemberUpdate, nowMs: number): void {
    if (update.nodeId === this.self.nodeId) {
      this.refute(update);
      return;
    }
    const present = this.members.get(update.nodeId)?.update;
    if (!present) {
      // A dead member that was not known before is ignored.
      if (update.status !== MemberStatus.Dead) this.put(update, nowMs);
      return;
    }
    if (supersedes(update, present)) this.put(update, nowMs);
  }

  /** Increases the own incarnation above an update that is wrong or from a previous incarnation. */
  private refute(update: MemberUpdate): void {
    if (update.incarnation < this.self.incarnation) return;
    if (update.incarnation === this.self.incarnation && update.status === this.self.status) return;
    this.self = { ...this.self, incarnation: update.incarnation + 1 };
    this.cachedWorking = undefined;
  }

  /** Number of times that a node transmits one update. */
  get transmissionCount(): number {
    return Math.ceil(TRANSMISSION_FACTOR * Math.log2(this.members.size + 2));
  }

  private message(kind: GossipKind, sequence: number, subject: string): GossipMessage {
    return { kind, sender: this.self.nodeId, sequence, subject, updates: this.selectUpdates() };
  }

  /** Selects this node's status, the least transmitted updates, and random members. */
  private selectUpdates(): MemberUpdate[] {
    const selected: MemberUpdate[] = [this.self];
    const pending = [...this.members.values()]
      .filter((member) => member.transmissions > 0)
      .sort((left, right) => right.transmissions - left.transmissions)
      .slice(0, UPDATES_PER_DATAGRAM - 1);
    for (const member of pending) {
      member.transmissions -= 1;
      selected.push(member.update);
    }
    const RANDOM_UPDATES = 2;
    const room = Math.min(RANDOM_UPDATES, UPDATES_PER_DATAGRAM - selected.length);
    const known = new Set(selected.map((update) => update.nodeId));
    const fill = this.sample(room, this.self.nodeId).filter((update) => !known.has(update.nodeId));
    return [...selected, ...fill];
  }

  /** Selects random members that are not dead, other than `except`. */
  private sample(count: number, except: string): MemberUpdate[] {
    if (count <= 0) return [];
    const candidates = [...this.members.values()]
      .map((member) => member.update)
      .filter((update) => update.nodeId !== except && update.status !== MemberStatus.Dead);
    const sample: MemberUpdate[] = [];
    while (sample.length < count && candidates.length > 0) {
      const index = randomInteger(this.random, candidates.length);
      sample.push(candidates[index] as MemberUpdate);
      candidates[index] = candidates[candidates.length - 1] as MemberUpdate;
      candidates.pop();
    }
    return sample;
  }
}

/** Whether a member may receive work. */
export function isWorking(update: MemberUpdate): boolean {
  return update.status === MemberStatus.Alive || update.status === MemberStatus.Suspect;
}

function supersedes(update: MemberUpdate, present: MemberUpdate): boolean {
  if (update.incarnation !== present.incarnation) return update.incarnation > present.incarnation;
  return STATUS_PRECEDENCE[update.status] > STATUS_PRECEDENCE[present.status];
}
