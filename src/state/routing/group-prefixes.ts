/**
 * Locations of cached prefixes in a large group, where no router follows the engines' cache events:
 * each router reports the shared prompt parts that it saw prefilled at an engine. Pure.
 *
 * The load addressed: with 84 routers each sees 1/84 of the traffic, so without the reports it
 * expects nearly every prompt to be unread, and shared parts are prefilled again at other engines.
 */
import { memberKey } from '../member-key.js';
import type { CachedPrefixes } from './cached-prefixes.js';
import type { PromptPart } from './generation.js';
import { partKeyOf, saltHashOf } from './part-key.js';
import { type PrefixRead, PrefixReadQueue } from './prefix-read-queue.js';

/** Parts with fewer tokens cost less to prefill than to report. */
const MINIMUM_TOKENS = 256;
/** Longest time for which a part is expected to stay cached after its last use. */
const MAXIMUM_RETENTION_MS = 10_000;
/**
 * Share of an engine's memory that unused parts have; running requests hold the rest. With 0.7,
 * placement expected 242 unread tokens a long prompt more than engines prefilled (simulated A).
 */
const UNUSED_MEMORY_SHARE = 0.85;
/** Locations kept; far above 200 reads a second for the maximum retention. */
const MAXIMUM_LOCATIONS = 8_192;
/** Reads counted for one entry, so that a false report raises the rate of a part little. */
const MAXIMUM_READS = 256;
const EXPIRY_PERIOD_MS = 500;
const MILLISECONDS_PER_SECOND = 1_000;

/** Memory of an engine for cached prompts. */
export interface EngineMemory {
  readonly capacityTokens: number;
  /** Mean rate at one engine, from all routers, of the tokens that no other request uses. */
  readonly unsharedTokensPerSecond: number;
}

/** Information about the engines. */
export interface EngineLookup {
  /** Incarnations by {@link memberKey}. */
  idsByKey(): ReadonlyMap<number, string>;
  /** Undefined if the engine is not listed. */
  memoryOf(engineId: string, nowMs: number): EngineMemory | undefined;
}

/** A part that an engine is expected to have cached. */
interface Location {
  readonly tokens: number;
  /** Time of the last known use. */
  readonly readMs: number;
}

/** Prefix reads of this router and of the group, and the locations that follow from them. */
export class GroupPrefixes {
  private readonly own = new PrefixReadQueue();
  private readonly collected = new PrefixReadQueue();
  /** By engine and part. */
  private readonly locations = new Map<string, Map<number, Location>>();
  private count = 0;
  private expiredMs = -Infinity;

  constructor(
    private readonly cachedPrefixes: CachedPrefixes,
    private readonly engines: EngineLookup,
  ) {}

  /** Number of known locations. */
  get size(): number {
    return this.count;
  }

  /** Records that an engine has read the shared parts of a prompt of this router. */
  recordRead(
    engineId: string,
    salt: string,
    sharedParts: readonly PromptPart[],
    nowMs: number,
  ): void {
    const saltHash = saltHashOf(salt);
    for (const { id, tokens } of sharedParts) {
      if (tokens < MINIMUM_TOKENS) continue;
      const partKey = partKeyOf(saltHash, id);
      this.own.add({ engineKey: memberKey(engineId), partKey, tokens, ageMs: 0, reads: 1 }, nowMs);
      this.place(engineId, partKey, tokens, nowMs);
    }
  }

  /** Returns this router's reads for its next report. */
  takeOwn(limit: number, nowMs: number): PrefixRead[] {
    return this.own.take(limit, nowMs);
  }

  /**
   * Applies reads of other routers.
   *
   * @returns the number of reads applied; those at engines that are not listed are ignored
   */
  receive(reads: readonly PrefixRead[], nowMs: number): number {
    const ids = this.engines.idsByKey();
    let applied = 0;
    for (const { engineKey, partKey, tokens, ageMs } of reads) {
      const engineId = ids.get(engineKey);
      if (engineId === undefined || tokens < MINIMUM_TOKENS) continue;
      applied += 1;
      if (ageMs < MAXIMUM_RETENTION_MS) this.place(engineId, partKey | 0, tokens, nowMs - ageMs);
    }
    return applied;
  }

  /** Counts the reads of the whole group, each once. */
  countReads(reads: readonly PrefixRead[], nowMs: number): void {
    for (const { partKey, reads: count } of reads)
      this.cachedPrefixes.readRates.record(partKey | 0, clamp(count, 1, MAXIMUM_READS), nowMs);
  }

  /** Collector only: keeps the reads of one router for the next summary. */
  collect(entries: readonly PrefixRead[], nowMs: number): void {
    for (const read of entries) {
      // Receivers would ignore it, but it would take the place of another read in the summary.
      if (read.ageMs >= MAXIMUM_RETENTION_MS || read.tokens < MINIMUM_TOKENS) continue;
      const reads = clamp(read.reads, 1, MAXIMUM_READS);
      this.collected.add({ ...read, reads, partKey: read.partKey | 0 }, nowMs);
    }
  }

  /** Collector only: returns the merged reads of all routers. */
  takeSummary(limit: number, nowMs: number): PrefixRead[] {
    return this.collected.take(limit, nowMs);
  }

  /** Removes parts that their engines have probably evicted. */
  expire(nowMs: number): void {
    if (nowMs - this.expiredMs < EXPIRY_PERIOD_MS) return;
    this.expiredMs = nowMs;
    for (const [engineId, locations] of this.locations) {
      const memory = this.engines.memoryOf(engineId, nowMs);
      this.expireAt(engineId, locations, memory, nowMs);
      if (locations.size === 0) this.locations.delete(engineId);
    }
  }

  /** Removes everything, for instance after this router began to follow cache events. */
  clear(): void {
    for (const [engineId, locations] of this.locations) {
      for (const partKey of [...locations.keys()]) this.remove(engineId, locations, partKey);
    }
    this.locations.clear();
    this.own.clear();
    this.collected.clear();
  }

  /**
   * Removes the least recently used parts of an engine. A part is evicted once the tokens used after
   * it, shared or not, take the memory.
   */
  private expireAt(
    engineId: string,
    locations: Map<number, Location>,
    memory: EngineMemory | undefined,
    nowMs: number,
  ): void {
    const byAge = [...locations].sort(([, left], [, right]) => right.readMs - left.readMs);
    const capacityTokens = (memory?.capacityTokens ?? 0) * UNUSED_MEMORY_SHARE;
    const unsharedPerMs = (memory?.unsharedTokensPerSecond ?? 0) / MILLISECONDS_PER_SECOND;
    let sharedTokens = 0;
    for (const [partKey, { tokens, readMs }] of byAge) {
      const ageMs = nowMs - readMs;
      // A part that exceeds the memory is a false report; no other part was evicted for it.
      const isPlausible = tokens <= capacityTokens;
      if (isPlausible) sharedTokens += tokens;
      const isKept =
        isPlausible &&
        ageMs < MAXIMUM_RETENTION_MS &&
        sharedTokens + ageMs * unsharedPerMs <= capacityTokens;
      if (!isKept) this.remove(engineId, locations, partKey);
    }
  }

  private place(engineId: string, partKey: number, tokens: number, readMs: number): void {
    let locations = this.locations.get(engineId);
    if (!locations) {
      locations = new Map();
      this.locations.set(engineId, locations);
    }
    const known = locations.get(partKey);
    if (!known && this.count >= MAXIMUM_LOCATIONS) return;
    if (!known) this.count += 1;
    locations.set(partKey, { tokens, readMs: Math.max(readMs, known?.readMs ?? -Infinity) });
    this.cachedPrefixes.recordLocation(engineId, partKey, tokens);
  }

  private remove(engineId: string, locations: Map<number, Location>, partKey: number): void {
    if (!locations.delete(partKey)) return;
    this.count -= 1;
    this.cachedPrefixes.dropLocation(engineId, partKey);
  }
}

function clamp(value: number, minimum: number, maximum: number): number {
  return Math.min(maximum, Math.max(minimum, value));
}
