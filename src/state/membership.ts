/**
 * Membership of routers: SWIM with suspicion and incarnation numbers, as a pure state machine.
 * Time comes with each call and datagrams to send are returned, so hundreds run on a virtual clock.
 * Source: Das, Gupta, Motivala, "SWIM", DSN 2002.
 */
import { type RandomSource, randomInteger } from '../runtime/random.js';

/** What is known of a member. */
export enum MemberStatus {
  Alive = 'alive',
  /** Missed a probe; dead unless it refutes in time. */
  Suspect = 'suspect',
  Dead = 'dead',
  /** Said itself that it leaves: finishes its work, takes no new. */
  Leaving = 'leaving',
}

/** A member's addresses and place. */
export interface MemberIdentity {
  readonly nodeId: string;
  readonly peerAddress: string;
  readonly gossipAddress: string;
  readonly zone: string;
  readonly region: string;
  /** Share of a processor core that the member may use, in thousandths. */
  readonly capacity: number;
}

/** A statement about a member. */
export interface MemberUpdate extends MemberIdentity {
  readonly status: MemberStatus;
  /** Only the member itself raises it, to refute a suspicion. */
  readonly incarnation: number;
}

/** Kinds of datagram. */
export type GossipKind = 'ping' | 'ack' | 'ping-request';

/** A datagram, before encoding. */
export interface GossipMessage {
  readonly kind: GossipKind;
  readonly sender: string;
  readonly sequence: number;
  /** The member an indirect probe is about. */
  readonly subject: string;
  readonly updates: readonly MemberUpdate[];
}

/** A datagram and where it goes. */
export interface OutgoingGossip {
  readonly address: string;
  readonly message: GossipMessage;
}

/** Period of one probe; also the longest wait for its answer. */
export const PROBE_PERIOD_MS = 1_000;
/** Wait for the direct answer before others are asked. */
const DIRECT_TIMEOUT_MS = 350;
const INDIRECT_PROBES = 3;
/** Suspicion lasts this many periods times log10 of the group's size, 4 at least. */
const SUSPICION_PERIODS = 4;
/** How often a node passes an update on: this times log2 of the group's size. */
const SPREAD_FACTOR = 3;
/** Updates in a datagram; keeps it under 1,200 bytes. */
const UPDATES_PER_DATAGRAM = 10;
/** How long the dead are remembered, so that old news can't revive them. */
const DEAD_RETENTION_MS = 600_000;

/**
 * Which statement wins at equal incarnation: the graver one. Leaving ranks above suspicion, since a
 * leaving node is expected to go silent, and below dead.
 */
const GRAVITY: Record<MemberStatus, number> = {
  [MemberStatus.Alive]: 0,
  [MemberStatus.Suspect]: 1,
  [MemberStatus.Leaving]: 2,
  [MemberStatus.Dead]: 3,
};

interface Member {
  update: MemberUpdate;
  changedMs: number;
  /** Transmissions left of the present update. */
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

/** One node's view of the group. */
export class Membership {
  private readonly members = new Map<string, Member>();
  private self: MemberUpdate;
  /** Built anew after a change only: it is asked for with each datagram and each decision. */
  private workingNow: readonly MemberUpdate[] | undefined;
  private sequence = 0;
  private probe: Probe | undefined;
  private round: string[] = [];
  private readonly relayed = new Map<number, RelayedProbe>();
  private view = 0;
  /** Suspicions raised and deaths declared by this node itself, not heard from others. */
  readonly counters = { suspicions: 0, deaths: 0 };

  constructor(
    identity: MemberIdentity,
    incarnation: number,
    private readonly seeds: readonly string[],
    private readonly random: RandomSource,
  ) {
    this.self = { ...identity, status: MemberStatus.Alive, incarnation };
  }

  /** Changes with every change of the view. */
  get version(): number {
    return this.view;
  }

  /** Statement about this node. */
  get own(): MemberUpdate {
    return this.self;
  }

  /** All members known, this one included, the dead among them for a while. */
  all(): MemberUpdate[] {
    return [this.self, ...[...this.members.values()].map((member) => member.update)];
  }

  /** Members known, this one included, the dead among them for a while. */
  get knownCount(): number {
    return this.members.size + 1;
  }

  /**
   * Members that work: alive or suspected, this one included unless it leaves. The same list until one of
   * its statements changes.
   */
  working(): readonly MemberUpdate[] {
    this.workingNow ??= this.all().filter(isWorking);
    return this.workingNow;
  }

  /** Ends the previous probe and starts the next; call once a {@link PROBE_PERIOD_MS}. */
  tick(nowMs: number): OutgoingGossip[] {
    this.finishProbe(nowMs);
    this.expire(nowMs);
    const target = this.nextTarget();
    if (!target) return this.callSeeds();
    this.sequence += 1;
    this.probe = {
      target: target.nodeId,
      sequence: this.sequence,
      startedMs: nowMs,
      indirect: false,
    };
    return [...this.ping(target.gossipAddress, this.sequence), ...this.callRandomSeed()];
  }

  /** Asks others to probe where the direct answer is late; call between ticks. */
  checkDirectTimeout(nowMs: number): OutgoingGossip[] {
    const probe = this.probe;
    if (!probe || probe.indirect || nowMs - probe.startedMs < DIRECT_TIMEOUT_MS) return [];
    probe.indirect = true;
    return this.sample(INDIRECT_PROBES, probe.target).map((helper) => ({
      address: helper.gossipAddress,
      message: this.message('ping-request', probe.sequence, probe.target),
    }));
  }

  /** Takes a datagram; answers what to send. */
  receive(message: GossipMessage, nowMs: number): OutgoingGossip[] {
    for (const update of message.updates) this.merge(update, nowMs);
    const sender = this.members.get(message.sender)?.update;
    switch (message.kind) {
      case 'ping':
        if (!sender) return [];
        return [{ address: sender.gossipAddress, message: this.acknowledge(message, sender) }];
      case 'ping-request':
        return sender ? this.relay(message, sender) : [];
      case 'ack':
        return this.takeAck(message);
    }
  }

  /** Takes statements from outside a datagram: a whole table at joining. */
  mergeAll(updates: readonly MemberUpdate[], nowMs: number): void {
    for (const update of updates) this.merge(update, nowMs);
  }

  /** Pings a few random members beyond the regular probe, to carry news at once. */
  announce(count: number): OutgoingGossip[] {
    this.sequence += 1;
    return this.sample(count, this.self.nodeId).flatMap((member) =>
      this.ping(member.gossipAddress, this.sequence),
    );
  }

  /** Announces that this node leaves, to a few at once; the rest hear by gossip. */
  leave(): OutgoingGossip[] {
    this.self = {
      ...this.self,
      status: MemberStatus.Leaving,
      incarnation: this.self.incarnation + 1,
    };
    this.noteChange();
    const FIRST_TOLD = 5;
    return this.announce(FIRST_TOLD);
  }

  /** An answer to a sender thought suspect or dead says so, so that it can refute. */
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

  private callSeeds(): OutgoingGossip[] {
    this.sequence += 1;
    return this.seeds
      .filter((address) => address !== this.self.gossipAddress)
      .flatMap((address) => this.ping(address, this.sequence));
  }

  /** Now and then calls a seed that is not a member, so that two halves of a group find together. */
  private callRandomSeed(): OutgoingGossip[] {
    const SEED_CALL_CHANCE = 0.1;
    if (this.random.next() >= SEED_CALL_CHANCE) return [];
    const present = new Set(this.working().map((member) => member.gossipAddress));
    const absent = this.seeds.filter((address) => !present.has(address));
    const address = absent[randomInteger(this.random, absent.length)];
    return address === undefined ? [] : this.ping(address, this.sequence);
  }

  private ping(address: string, sequence: number): OutgoingGossip[] {
    return [{ address, message: this.message('ping', sequence, '') }];
  }

  private relay(message: GossipMessage, requester: MemberUpdate): OutgoingGossip[] {
    const subject = this.members.get(message.subject)?.update;
    if (!subject) return [];
    this.sequence += 1;
    this.relayed.set(this.sequence, {
      requesterAddress: requester.gossipAddress,
      requesterSequence: message.sequence,
    });
    return this.ping(subject.gossipAddress, this.sequence);
  }

  private takeAck(message: GossipMessage): OutgoingGossip[] {
    const relayed = this.relayed.get(message.sequence);
    if (relayed) {
      this.relayed.delete(message.sequence);
      return [
        {
          address: relayed.requesterAddress,
          message: this.message('ack', relayed.requesterSequence, ''),
        },
      ];
    }
    if (this.probe?.sequence === message.sequence) this.probe = undefined;
    return [];
  }

  private finishProbe(nowMs: number): void {
    const probe = this.probe;
    this.probe = undefined;
    this.relayed.clear();
    if (!probe) return;
    const member = this.members.get(probe.target);
    if (!member) return;
    const { status } = member.update;
    // A leaving member that falls silent has gone, as it said; it needs no suspicion.
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
    const transmissions = this.spreadCount;
    this.members.set(update.nodeId, { update, changedMs: nowMs, transmissions });
    this.noteChange();
  }

  private noteChange(): void {
    this.view += 1;
    this.workingNow = undefined;
  }

  private merge(update: MemberUpdate, nowMs: number): void {
    if (update.nodeId === this.self.nodeId) {
      this.refute(update);
      return;
    }
    const present = this.members.get(update.nodeId)?.update;
    if (!present) {
      // The dead are news only to those who knew them alive.
      if (update.status !== MemberStatus.Dead) this.put(update, nowMs);
      return;
    }
    if (isNews(update, present)) this.put(update, nowMs);
  }

  /** Raises the own incarnation above a statement that is wrong or from an earlier life. */
  private refute(update: MemberUpdate): void {
    if (update.incarnation < this.self.incarnation) return;
    if (update.incarnation === this.self.incarnation && update.status === this.self.status) return;
    this.self = { ...this.self, incarnation: update.incarnation + 1 };
    this.workingNow = undefined;
  }

  /** How often a node passes one piece of news on. */
  get spreadCount(): number {
    return Math.ceil(SPREAD_FACTOR * Math.log2(this.members.size + 2));
  }

  private message(kind: GossipKind, sequence: number, subject: string): GossipMessage {
    return { kind, sender: this.self.nodeId, sequence, subject, updates: this.selectUpdates() };
  }

  /** Own statement, the news least often passed on, then random members as a slow full exchange. */
  private selectUpdates(): MemberUpdate[] {
    const selected: MemberUpdate[] = [this.self];
    const news = [...this.members.values()]
      .filter((member) => member.transmissions > 0)
      .sort((left, right) => right.transmissions - left.transmissions)
      .slice(0, UPDATES_PER_DATAGRAM - 1);
    for (const member of news) {
      member.transmissions -= 1;
      selected.push(member.update);
    }
    const RANDOM_FILL = 2;
    const room = Math.min(RANDOM_FILL, UPDATES_PER_DATAGRAM - selected.length);
    const known = new Set(selected.map((update) => update.nodeId));
    const fill = this.sample(room, this.self.nodeId).filter((update) => !known.has(update.nodeId));
    return [...selected, ...fill];
  }

  /** Random members that are not dead, `except` one. */
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

/** Whether a member may be given work. */
export function isWorking(update: MemberUpdate): boolean {
  return update.status === MemberStatus.Alive || update.status === MemberStatus.Suspect;
}

function isNews(update: MemberUpdate, present: MemberUpdate): boolean {
  if (update.incarnation !== present.incarnation) return update.incarnation > present.incarnation;
  return GRAVITY[update.status] > GRAVITY[present.status];
}
