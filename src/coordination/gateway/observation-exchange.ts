/**
 * Exchange of observations between the routers of a group: speeds of engines, prompts that engines
 * have read, and tenants' use. In a large group each router reports to the router that collects
 * loads, which sends the merged observations to all; in a small group all report to each other.
 * Datagrams may be lost, late or doubled, and a collector may die between a report and a summary.
 */
import { create } from '@bufbuild/protobuf';
import type { Clock } from '../../runtime/clock.js';
import {
  type Contents,
  type ObservationDatagram,
  encodeObservationReport,
  encodeObservationSummary,
} from '../../protocol/peer/cluster-codec.js';
import {
  type EngineSpeed,
  EngineSpeedSchema,
  type Observations,
  ObservationsSchema,
  type PrefixRead,
  PrefixReadSchema,
  type TenantUse,
  TenantUseSchema,
} from '../../protocol/peer/generated/cluster_pb.js';
import { toUint32 } from '../../protocol/peer/field-values.js';
import type { MemberUpdate } from '../../state/membership.js';
import type { CollectionListener } from './load-collection.js';

export type EngineSpeedEntry = Contents<EngineSpeed>;
export type PrefixReadEntry = Contents<PrefixRead>;
export type TenantUseEntry = Contents<TenantUse>;

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
    engineSpeeds?.receive(value.sender, value.engineSpeeds, isSummary, now);
    prefixReads?.receive(value.sender, value.prefixReads, isSummary, now);
    tenantUses?.receive(value.sender, value.tenantUses, isSummary, now);
    if (!isSummary) this.collect(value.sender, value, now);
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

  private takeOwn(nowMs: number): Observations {
    this.forgetOldSequences(nowMs);
    const { engineSpeeds, prefixReads, tenantUses } = this.parts;
    return create(ObservationsSchema, {
      engineSpeeds: (engineSpeeds?.takeOwn(MAXIMUM_ENGINE_SPEEDS, nowMs) ?? []).map(toSpeed),
      prefixReads: (prefixReads?.takeOwn(MAXIMUM_PREFIX_READS, nowMs) ?? []).map(toRead),
      tenantUses: (tenantUses?.takeOwn(MAXIMUM_TENANT_USES, nowMs) ?? []).map(toUse),
    });
  }

  private collect(sender: string, observations: Observations, nowMs: number): void {
    const { engineSpeeds, prefixReads, tenantUses } = this.parts;
    engineSpeeds?.collect(sender, observations.engineSpeeds, nowMs);
    prefixReads?.collect(sender, observations.prefixReads, nowMs);
    tenantUses?.collect(sender, observations.tenantUses, nowMs);
  }

  private sendSummary(nowMs: number): void {
    const { engineSpeeds, prefixReads, tenantUses } = this.parts;
    const summary = create(ObservationsSchema, {
      engineSpeeds: (engineSpeeds?.takeSummary(MAXIMUM_ENGINE_SPEEDS, nowMs) ?? []).map(toSpeed),
      prefixReads: (prefixReads?.takeSummary(MAXIMUM_PREFIX_READS, nowMs) ?? []).map(toRead),
      tenantUses: (tenantUses?.takeSummary(MAXIMUM_TENANT_USES, nowMs) ?? []).map(toUse),
    });
    this.send(summary, this.others, encodeObservationSummary);
  }

  private report(observations: Observations, recipients: readonly MemberUpdate[]): void {
    this.send(observations, recipients, encodeObservationReport);
  }

  private send(
    observations: Observations,
    recipients: readonly MemberUpdate[],
    encode: (observations: Observations) => Uint8Array,
  ): void {
    if (isEmpty(observations)) return;
    this.sequence += 1;
    observations.sender = this.group.own.nodeId;
    observations.sequence = this.sequence;
    const datagram = encode(observations);
    for (const { gossipAddress } of recipients) this.group.send(gossipAddress, datagram);
  }
}

function isEmpty({ engineSpeeds, prefixReads, tenantUses }: Observations): boolean {
  return engineSpeeds.length + prefixReads.length + tenantUses.length === 0;
}

function toSpeed(entry: EngineSpeedEntry): EngineSpeed {
  return create(EngineSpeedSchema, { ...entry, ageMs: toUint32(entry.ageMs) });
}

function toRead(entry: PrefixReadEntry): PrefixRead {
  const { engineKey, partKey } = entry;
  return create(PrefixReadSchema, {
    engineKey,
    partKey,
    tokens: toUint32(entry.tokens),
    ageMs: toUint32(entry.ageMs),
    reads: toUint32(entry.reads),
  });
}

function toUse(entry: TenantUseEntry): TenantUse {
  const { serviceKey, tenantKey } = entry;
  return create(TenantUseSchema, {
    serviceKey,
    tenantKey,
    tokensPerSecond: toUint32(entry.tokensPerSecond),
    demandedTokensPerSecond: toUint32(entry.demandedTokensPerSecond),
  });
}
