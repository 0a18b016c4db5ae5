/** Encodes and decodes what routers of a group observe of engines, prompts and tenants. */
import { create } from '@bufbuild/protobuf';
import { encodeObservationReport, encodeObservationSummary } from './cluster-codec.js';
import { toUint32 } from './field-values.js';
import { type Observations, ObservationsSchema } from './generated/cluster_pb.js';

/** Speed of an engine. Keys are hashes of incarnations; times in milliseconds. */
export interface EngineSpeedEntry {
  readonly engineKey: number;
  /** Number of responses that the values are means of; 0 if the sender knows no speeds yet. */
  readonly weight: number;
  readonly prefillTokensPerMs: number;
  /** Time between two events of a stream. */
  readonly eventMs: number;
  readonly ageMs: number;
}

/** An engine has read a prompt prefix and so caches it. */
export interface PrefixReadEntry {
  readonly engineKey: number;
  readonly partKey: number;
  readonly tokens: number;
  readonly ageMs: number;
  /** Number of reads that the entry stands for; 0 from senders that do not count them. */
  readonly reads: number;
}

/** Use of one service by one tenant, in tokens per second. */
export interface TenantUseEntry {
  readonly serviceKey: number;
  readonly tenantKey: number;
  readonly tokensPerSecond: number;
  readonly demandedTokensPerSecond: number;
}

/** Entries of one datagram. */
export interface ObservationSet {
  readonly engineSpeeds: readonly EngineSpeedEntry[];
  readonly prefixReads: readonly PrefixReadEntry[];
  readonly tenantUses: readonly TenantUseEntry[];
}

/** Encodes a report or a summary. Values that a field can't hold are limited. */
export function encodeObservations(
  kind: 'observationReport' | 'observationSummary',
  sender: string,
  sequence: number,
  set: ObservationSet,
): Uint8Array {
  const message = toMessage(sender, sequence, set);
  return kind === 'observationReport'
    ? encodeObservationReport(message)
    : encodeObservationSummary(message);
}

/** Returns the entries of a datagram as one field of each entry per list. */
export function toMessage(
  sender: string,
  sequence: number,
  { engineSpeeds, prefixReads, tenantUses }: ObservationSet,
): Observations {
  return create(ObservationsSchema, {
    sender,
    sequence,
    speedEngineKeys: engineSpeeds.map((entry) => entry.engineKey),
    speedWeights: engineSpeeds.map((entry) => entry.weight),
    prefillTokensPerMs: engineSpeeds.map((entry) => entry.prefillTokensPerMs),
    eventMs: engineSpeeds.map((entry) => entry.eventMs),
    speedAgesMs: engineSpeeds.map((entry) => toUint32(entry.ageMs)),
    readEngineKeys: prefixReads.map((entry) => entry.engineKey),
    readPartKeys: prefixReads.map((entry) => entry.partKey),
    readTokens: prefixReads.map((entry) => toUint32(entry.tokens)),
    readAgesMs: prefixReads.map((entry) => toUint32(entry.ageMs)),
    readCounts: prefixReads.map((entry) => toUint32(entry.reads)),
    useServiceKeys: tenantUses.map((entry) => entry.serviceKey),
    useTenantKeys: tenantUses.map((entry) => entry.tenantKey),
    usedTokensPerSecond: tenantUses.map((entry) => toUint32(entry.tokensPerSecond)),
    demandedTokensPerSecond: tenantUses.map((entry) => toUint32(entry.demandedTokensPerSecond)),
  });
}

/** Decodes the entries of a datagram; a value that is missing in a list counts as 0. */
export function decodeObservations(message: Observations): ObservationSet {
  return {
    engineSpeeds: message.speedEngineKeys.map((engineKey, index) => ({
      engineKey,
      weight: message.speedWeights[index] ?? 0,
      prefillTokensPerMs: message.prefillTokensPerMs[index] ?? 0,
      eventMs: message.eventMs[index] ?? 0,
      ageMs: message.speedAgesMs[index] ?? 0,
    })),
    prefixReads: message.readEngineKeys.map((engineKey, index) => ({
      engineKey,
      partKey: message.readPartKeys[index] ?? 0,
      tokens: message.readTokens[index] ?? 0,
      ageMs: message.readAgesMs[index] ?? 0,
      reads: message.readCounts[index] ?? 0,
    })),
    tenantUses: message.useServiceKeys.map((serviceKey, index) => ({
      serviceKey,
      tenantKey: message.useTenantKeys[index] ?? 0,
      tokensPerSecond: message.usedTokensPerSecond[index] ?? 0,
      demandedTokensPerSecond: message.demandedTokensPerSecond[index] ?? 0,
    })),
  };
}
