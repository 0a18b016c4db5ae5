/**
 * Exchange of the locations of cached prefixes. It is active while this router follows no cache
 * events, as in a large group; in a small group nothing is sent.
 */
import type { Logger } from '../../runtime/logger.js';
import { memberKey } from '../../state/member-key.js';
import type { CachedPrefixes } from '../../state/routing/cached-prefixes.js';
import type { ConfigurationState } from '../../state/routing/configuration-state.js';
import type { EngineRegistry } from '../../state/routing/engine-registry.js';
import {
  type EngineLookup,
  type EngineMemory,
  GroupPrefixes,
} from '../../state/routing/group-prefixes.js';
import type { PromptPart } from '../../state/routing/generation.js';
import type { SendRate } from '../../state/routing/send-rate.js';
import type { GatewayStatistics } from './gateway-statistics.js';
import type { ObservationPart, PrefixReadEntry } from './observation-exchange.js';

/** Dependencies of {@link PrefixReadExchange}. */
export interface PrefixReadParts {
  readonly cachedPrefixes: CachedPrefixes;
  readonly registry: EngineRegistry;
  readonly configuration: ConfigurationState;
  /** Rate of the prompt tokens of this router that no other request shares. */
  readonly ownTokenRate: SendRate;
  /** This router's share of the group's requests. */
  shareOfTraffic(): number;
  readonly statistics: GatewayStatistics;
  readonly logger: Logger;
}

/** Time in milliseconds for which an estimate of the engines' memory is used. */
const ESTIMATE_PERIOD_MS = 500;

/** The prefix reads of one router. */
export class PrefixReadExchange implements ObservationPart<PrefixReadEntry> {
  private readonly prefixes: GroupPrefixes;
  private isSending = false;

  constructor(private readonly parts: PrefixReadParts) {
    this.prefixes = new GroupPrefixes(parts.cachedPrefixes, new ListedEngineLookup(parts));
  }

  /** Records that an engine has read the shared parts of a prompt of this router. */
  recordRead(
    engineId: string,
    salt: string,
    sharedParts: readonly PromptPart[],
    nowMs: number,
  ): void {
    if (this.isActive) this.prefixes.recordRead(engineId, salt, sharedParts, nowMs);
  }

  takeOwn(limit: number, nowMs: number): readonly PrefixReadEntry[] {
    const { isActive } = this;
    this.noteActive(isActive);
    // Events replace the reads, also those applied before this router followed any.
    if (this.parts.cachedPrefixes.hasReportingHolders && this.prefixes.size > 0)
      this.prefixes.clear();
    this.prefixes.expire(nowMs);
    if (!isActive) return [];
    const reads = this.prefixes.takeOwn(limit, nowMs);
    this.parts.statistics.prefixReadsReported += reads.length;
    return reads;
  }

  receive(
    _sender: string,
    entries: readonly PrefixReadEntry[],
    isSummary: boolean,
    nowMs: number,
  ): void {
    // A router that has just started applies reads before it knows whether it follows events.
    if (this.parts.cachedPrefixes.hasReportingHolders) return;
    const { statistics } = this.parts;
    const applied = this.prefixes.receive(entries, nowMs);
    if (isSummary) this.prefixes.countReads(entries, nowMs);
    statistics.prefixReadsApplied += applied;
    statistics.prefixReadsIgnored += entries.length - applied;
  }

  collect(_sender: string, entries: readonly PrefixReadEntry[], nowMs: number): void {
    if (!this.isActive) return;
    this.prefixes.collect(entries, nowMs);
    // The collector receives no summary, so it counts the reads in the reports.
    this.prefixes.countReads(entries, nowMs);
  }

  takeSummary(limit: number, nowMs: number): readonly PrefixReadEntry[] {
    return this.isActive ? this.prefixes.takeSummary(limit, nowMs) : [];
  }

  private get isActive(): boolean {
    return this.parts.cachedPrefixes.followsNoEvents;
  }

  private noteActive(isActive: boolean): void {
    if (isActive === this.isSending) return;
    this.isSending = isActive;
    this.parts.cachedPrefixes.learnsFromReads = isActive;
    this.parts.logger.info('prefix_reads', { active: isActive, locations: this.prefixes.size });
  }
}

/** Looks up the listed engines. */
class ListedEngineLookup implements EngineLookup {
  private version = -1;
  private idsByMemberKey: ReadonlyMap<number, string> = new Map();
  private readonly memoryByService = new Map<string, EngineMemory | undefined>();
  private memorySinceMs = -Infinity;

  constructor(private readonly parts: PrefixReadParts) {}

  idsByKey(): ReadonlyMap<number, string> {
    const { registry } = this.parts;
    if (this.version !== registry.version) {
      this.version = registry.version;
      this.idsByMemberKey = new Map([...registry.ids].map((id) => [memberKey(id), id]));
    }
    return this.idsByMemberKey;
  }

  memoryOf(engineId: string, nowMs: number): EngineMemory | undefined {
    const service = this.parts.registry.find(engineId)?.record.service;
    if (service === undefined) return undefined;
    if (nowMs - this.memorySinceMs >= ESTIMATE_PERIOD_MS) {
      this.memoryByService.clear();
      this.memorySinceMs = nowMs;
    }
    if (!this.memoryByService.has(service))
      this.memoryByService.set(service, this.memoryOfService(service, nowMs));
    return this.memoryByService.get(service);
  }

  private memoryOfService(service: string, nowMs: number): EngineMemory | undefined {
    const { configuration, registry, ownTokenRate } = this.parts;
    const services = configuration.current?.configuration.services ?? [];
    const profile = services.find(({ name }) => name === service)?.engine;
    if (!profile) return undefined;
    const engines = registry.ofService(service);
    const models = new Set(engines.flatMap(({ record }) => [...record.modelVersions.keys()]));
    let ownRate = 0;
    for (const model of models) ownRate += ownTokenRate.perSecond(model, nowMs);
    const groupRate = ownRate / this.parts.shareOfTraffic();
    return {
      capacityTokens: profile.cacheCapacityTokens,
      unsharedTokensPerSecond: groupRate / Math.max(1, engines.length),
    };
  }
}
