/**
 * Exchange of observations between the routers of a group: speeds of engines, prompts that engines
 * have read, and tenants' use. In a large group each router reports to the router that collects
 * loads, which sends the merged observations to all; in a small group all report to each other.
 * Datagrams may be lost, late or doubled, and a collector may die between a report and a summary.
 */
import type { Clock } from '../../runtime/clock.js';
import type { ObservationDatagram } from '../../protocol/peer/cluster-codec.js';
import type { Observations } from '../../protocol/peer/generated/cluster_pb.js';
import {
  type EngineSpeedEntry,
  type ObservationSet,
  type PrefixReadEntry,
  type TenantUseEntry,
  decodeObservations,
  encodeObservations,
} from '../../protocol/peer/observation-codec.js';
import type { MemberUpdate } from '../../state/membership.js';
import type { CollectionListener } from './load-collection.js';

export type { EngineSpeedEntry, PrefixReadEntry, TenantUseEntry };

/** Observations of one kind. Every entry may arrive twice, late or never. */
export interface ObservationPart<Entry> {
  /** Returns up to `limit` entries of this router for its next report. */
  takeOwn(limit: number, nowMs: number): readonly Entry[];
  /**
   * Handles entries of another router.
   *
   * @param isSummary whether the sender collected them from many routers, including this one
   */
  receive(sender: string, entries: readonly Entry[], isSummary: boolean, nowMs: number): void;
  /** Collector only: keeps entries of a router, possibly this one, for the next summary. */
  collect(sender: string, entries: readonly Entry[], nowMs: number): void;
  /** Collector only: returns up to `limit` entries for the next summary. */
  takeSummary(limit: number, nowMs: number): readonly Entry[];
}

/** The kinds of observations; a kind that is left out is not exchanged. */
export interface ObservationParts {
  readonly engineSpeeds?: ObservationPart<EngineSpeedEntry>;
  readonly prefixReads?: ObservationPart<PrefixReadEntry>;
  readonly tenantUses?: ObservationPart<TenantUseEntry>;
}

/** The parts of the group that the exchange uses. */
export interface ObservationGroup {
  readonly own: MemberUpdate;
  readonly working: readonly MemberUpdate[];
  send(address: string, datagram: Uint8Array): void;
}

/** Entries of one datagram: 1.4 KB at most, so that it fits into one packet. */
const MAXIMUM_ENGINE_SPEEDS = 14;
const MAXIMUM_PREFIX_READS = 36;
const MAXIMUM_TENANT_USES = 12;
/** Observations change more slowly than loads, so only each second round of the collection is used. */
const ROUNDS_PER_EXCHANGE = 2;

/** Longest time by which the network delays a datagram behind a later one. */
const REORDERING_MS = 1_000;

interface ReceivedDatagram {
  readonly sequence: number;
  readonly receivedMs: number;
}

/** Sends and receives the observations of one router. */
export class ObservationExchange implements CollectionListener {
  private sequence = 0;
  private rounds = 0;
  /** The latest datagram by sender and kind. */
  private readonly received = new Map<string, ReceivedDatagram>();

  constructor(
    private readonly group: ObservationGroup,
    private readonly parts: ObservationParts,
    private readonly clock: Clock,
  ) {}

  onRound(collector: MemberUpdate | undefined, isCollecting: boolean, nowMs: number): void {
    if (!this.isDue()) return;
    const { nodeId } = this.group.own;
    const own = this.takeOwn(nowMs);
    if (collector && collector.nodeId !== nodeId) this.report(own, [collector]);
    else this.collect(nodeId, own, nowMs);
    if (isCollecting) this.sendSummary(nowMs);
  }

  onDirectRound(nowMs: number): void {
    if (this.isDue()) this.report(this.takeOwn(nowMs), this.others);
  }

  receive({ case: kind, value }: ObservationDatagram): void {
    if (!this.isNew(kind, value)) return;
    const now = this.clock.now();
    const isSummary = kind === 'observationSummary';
    const { engineSpeeds, prefixReads, tenantUses } = this.parts;
    const { sender } = value;
    const set = decodeObservations(value);
    engineSpeeds?.receive(sender, set.engineSpeeds, isSummary, now);
    prefixReads?.receive(sender, set.prefixReads, isSummary, now);
    tenantUses?.receive(sender, set.tenantUses, isSummary, now);
    if (!isSummary) this.collect(sender, set, now);
  }

  private get others(): readonly MemberUpdate[] {
    return this.group.working.filter(({ nodeId }) => nodeId !== this.group.own.nodeId);
  }

  private isDue(): boolean {
    this.rounds += 1;
    return this.rounds % ROUNDS_PER_EXCHANGE === 0;
  }

  /**
   * Whether a datagram is neither a duplicate nor overtaken by a newer one. A sender that restarts
   * begins with a low number again, so numbers are remembered for a short time only.
   */
  private isNew(kind: string, { sender, sequence }: Observations): boolean {
    const now = this.clock.now();
    const key = `${kind} ${sender}`;
    const latest = this.received.get(key);
    const isRecent = latest !== undefined && now - latest.receivedMs < REORDERING_MS;
    if (isRecent && sequence <= latest.sequence) return false;
    this.received.set(key, { sequence, receivedMs: now });
    return true;
  }

  private forgetOldSequences(nowMs: number): void {
    for (const [key, { receivedMs }] of this.received) {
      if (nowMs - receivedMs >= REORDERING_MS) this.received.delete(key);
    }
  }

  private takeOwn(nowMs: number): ObservationSet {
    this.forgetOldSequences(nowMs);
    const { engineSpeeds, prefixReads, tenantUses } = this.parts;
    return {
      engineSpeeds: engineSpeeds?.takeOwn(MAXIMUM_ENGINE_SPEEDS, nowMs) ?? [],
      prefixReads: prefixReads?.takeOwn(MAXIMUM_PREFIX_READS, nowMs) ?? [],
      tenantUses: tenantUses?.takeOwn(MAXIMUM_TENANT_USES, nowMs) ?? [],
    };
  }

  private collect(sender: string, set: ObservationSet, nowMs: number): void {
    const { engineSpeeds, prefixReads, tenantUses } = this.parts;
    engineSpeeds?.collect(sender, set.engineSpeeds, nowMs);
    prefixReads?.collect(sender, set.prefixReads, nowMs);
    tenantUses?.collect(sender, set.tenantUses, nowMs);
  }

  private sendSummary(nowMs: number): void {
    const { engineSpeeds, prefixReads, tenantUses } = this.parts;
    const summary = {
      engineSpeeds: engineSpeeds?.takeSummary(MAXIMUM_ENGINE_SPEEDS, nowMs) ?? [],
      prefixReads: prefixReads?.takeSummary(MAXIMUM_PREFIX_READS, nowMs) ?? [],
      tenantUses: tenantUses?.takeSummary(MAXIMUM_TENANT_USES, nowMs) ?? [],
    };
    this.send('observationSummary', summary, this.others);
  }

  private report(set: ObservationSet, recipients: readonly MemberUpdate[]): void {
    this.send('observationReport', set, recipients);
  }

  private send(
    kind: ObservationDatagram['case'],
    set: ObservationSet,
    recipients: readonly MemberUpdate[],
  ): void {
    if (isEmpty(set)) return;
    this.sequence += 1;
    const datagram = encodeObservations(kind, this.group.own.nodeId, this.sequence, set);
    for (const { gossipAddress } of recipients) this.group.send(gossipAddress, datagram);
  }
}

function isEmpty({ engineSpeeds, prefixReads, tenantUses }: ObservationSet): boolean {
  return engineSpeeds.length + prefixReads.length + tenantUses.length === 0;
}
