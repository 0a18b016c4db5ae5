/**
 * The fake engine: continuous batching with chunked prefill, a block cache, priorities, resumable
 * streams, delayed cache events and delayed load reports. It runs on an injected clock and does no
 * I/O, so the HTTP server, the fuzz tests and the experiments share it.
 */
import type { Clock, Timer } from '../../runtime/clock.js';
import type { Hasher } from '../../runtime/hasher.js';
import type { RandomSource } from '../../runtime/random.js';
import type {
  EngineEventBatch,
  EngineGeneration,
  EngineLoadReport,
  EngineSnapshot,
  EngineStatus,
} from '../../protocol/engine/port.js';
import {
  BLOCK_TOKENS,
  hashBlocks,
  parseCacheSalt,
  tokensOfBytes,
} from '../../state/prefix-chain.js';
import { BlockCache, type CachedBlock } from './block-cache.js';
import { type EventFaults, EventLog } from './event-log.js';
import { DelayedLoadReport } from './delayed-load-report.js';
import { EngineSequence, SequenceState } from './sequence.js';
import { SequenceQueue } from './sequence-queue.js';
import type { EngineModelSettings } from './settings.js';
import type { TokenModel } from './token-model.js';

const EVENT_BATCH = 2_000;
const MS_PER_SECOND = 1_000;

/** One reuse of a cached block, as reported to the oracle. */
export interface ReuseAudit {
  readonly usedBy: string;
  readonly createdBy: string;
  readonly createdWeights: string;
  readonly usedWeights: string;
}

/** Result of submitting a generation. */
export type AcceptResult =
  | { readonly kind: 'accepted'; readonly sequence: EngineSequence }
  | { readonly kind: 'refused'; readonly reason: string };

/** Counters since the engine was created. */
export interface EngineTotals {
  promptTokens: number;
  cachedTokens: number;
  generatedTokens: number;
  accepted: number;
}

/** One fake engine. */
export class EngineCore {
  readonly totals: EngineTotals = {
    promptTokens: 0,
    cachedTokens: 0,
    generatedTokens: 0,
    accepted: 0,
  };
  readonly eventFaults: EventFaults;
  /** Called on each reuse of a cached block; set by tests. */
  onReuse: ((audit: ReuseAudit) => void) | undefined;
  /** Called on each accepted generation; set by tests. */
  onAccept: ((generation: EngineGeneration) => void) | undefined;
  leaving = false;
  private alive = true;
  private incarnation: number;
  private cache: BlockCache;
  private log: EventLog;
  private readonly sequences = new Map<string, EngineSequence>();
  private readonly queue = new SequenceQueue();
  private arrivals = 0;
  private stepTimer: Timer | undefined;
  private isStalled = false;
  private readonly load: DelayedLoadReport;

  constructor(
    readonly settings: EngineModelSettings,
    private readonly clock: Clock,
    private readonly random: RandomSource,
    private readonly hasher: Hasher,
    private readonly tokenModel: TokenModel,
    firstIncarnation: number,
  ) {
    this.incarnation = firstIncarnation;
    this.eventFaults = {
      delayMs: settings.eventDelayMs,
      lossChance: settings.eventLossChance,
    };
    this.log = new EventLog(this.eventFaults, random);
    this.cache = this.createCache();
    this.load = new DelayedLoadReport(settings.loadLagMs, clock, () => this.currentLoad());
  }

  get isAlive(): boolean {
    return this.alive;
  }

  get currentIncarnation(): number {
    return this.incarnation;
  }

  /** Number of requests that wait or run. */
  get activeRequests(): number {
    return this.queue.size;
  }

  /** Queues a generation, or rejects it with a reason; a rejected generation doesn't run. */
  accept(generation: EngineGeneration): AcceptResult {
    const rejectionReason = this.rejectionReasonOf(generation);
    if (rejectionReason !== undefined) return { kind: 'refused', reason: rejectionReason };
    const sequence = this.createSequence(generation);
    this.sequences.set(generation.engineRequestId, sequence);
    this.queue.enqueue(sequence);
    this.totals.accepted += 1;
    this.onAccept?.(generation);
    this.scheduleStep();
    return { kind: 'accepted', sequence };
  }

  /** Returns the sequence of a request until its retention time has passed. */
  find(engineRequestId: string): EngineSequence | undefined {
    return this.sequences.get(engineRequestId);
  }

  /** Ends a request; the blocks it computed stay cached. */
  cancel(engineRequestId: string): void {
    const sequence = this.sequences.get(engineRequestId);
    if (!sequence || sequence.ended) return;
    this.release(sequence, SequenceState.Cancelled);
  }

  /** Returns the status; its load report may be up to `loadLagMs` old. */
  status(): EngineStatus {
    const { engineId, model, weightsDigest, adapterDigest } = this.settings;
    return {
      engineId,
      incarnation: this.incarnation,
      model,
      weightsDigest,
      adapterDigest,
      leaving: this.leaving,
      load: this.load.report,
    };
  }

  /** Returns the visible events from a sequence number on; the batch may be empty. */
  events(fromSequence: number): EngineEventBatch {
    const events = this.log.read(fromSequence, this.clock.now(), EVENT_BATCH);
    const contiguous = events.filter(
      (event, index) => event.sequence === (events[0]?.sequence ?? 0) + index,
    );
    return {
      incarnation: this.incarnation,
      firstSequence: contiguous[0]?.sequence ?? fromSequence,
      events: contiguous.map(({ kind, block, parent }) => ({ kind, block, parent })),
      status: this.status(),
    };
  }

  /** Counts the leading cached blocks of a chain without marking them as used. */
  countCachedBlocks(chain: readonly bigint[]): number {
    const missing = chain.findIndex((hash) => !this.cache.get(hash));
    return missing < 0 ? chain.length : missing;
  }

  /** Returns the current load, without the delay of {@link status}. */
  currentLoad(): EngineLoadReport {
    let waitingTokens = 0;
    for (const sequence of this.queue.waiting) waitingTokens += sequence.promptTokens;
    for (const sequence of this.queue.running) waitingTokens += sequence.remainingPrefillTokens;
    return {
      waitingTokens,
      requests: this.activeRequests,
      maximumRequests: this.settings.maximumRunning,
      prefillTokensPerSecond: this.settings.prefillTokensPerSecond,
    };
  }

  /** Returns all cached blocks. */
  snapshot(): EngineSnapshot {
    const blocks = this.cache.parentsFirst().map((block) => ({
      kind: 'stored' as const,
      block: block.hash,
      parent: block.parent,
    }));
    return { incarnation: this.incarnation, nextSequence: this.log.nextSequence, blocks };
  }

  /** Stalls the engine: it accepts requests and reports its status, but computes nothing. */
  setStalled(stalled: boolean): void {
    this.isStalled = stalled;
    if (!stalled) this.scheduleStep();
  }

  /** Loses all state; rejects requests until {@link restart}. */
  crash(): void {
    this.alive = false;
    this.stepTimer?.cancel();
    this.stepTimer = undefined;
    const lost = [...this.sequences.values()];
    this.sequences.clear();
    this.queue.clear();
    this.cache.clear();
    for (const sequence of lost) {
      const readers = [...sequence.readers];
      sequence.readers.clear();
      for (const reader of readers) reader.onLost();
    }
  }

  /** Starts a new incarnation with an empty cache, optionally with other weights. */
  restart(weightsDigest = this.settings.weightsDigest): void {
    this.incarnation += 1;
    this.settings.weightsDigest = weightsDigest;
    this.cache = this.createCache();
    this.log = new EventLog(this.eventFaults, this.random);
    this.alive = true;
  }

  private createCache(): BlockCache {
    return new BlockCache(this.settings.cacheBlocks, {
      onStored: (block) => this.log.append('stored', block.hash, block.parent, this.clock.now()),
      onRemoved: (block) => this.log.append('removed', block.hash, block.parent, this.clock.now()),
    });
  }

  private rejectionReasonOf(generation: EngineGeneration): string | undefined {
    if (!this.alive) return 'down';
    if (this.leaving) return 'leaving';
    if (generation.model !== this.settings.model) return 'wrong-model';
    if (generation.weightsDigest !== this.settings.weightsDigest) return 'wrong-weights';
    if (generation.adapterDigest !== this.settings.adapterDigest) return 'wrong-adapter';
    if (this.queue.waiting.length >= this.settings.maximumWaiting) return 'overloaded';
    if (this.sequences.has(generation.engineRequestId)) return 'duplicate';
    return undefined;
  }

  private createSequence(generation: EngineGeneration): EngineSequence {
    const continuation = Buffer.from(generation.continuation, 'utf8');
    const text = Buffer.concat([generation.prompt, continuation]);
    const state = this.tokenModel();
    state.append(text);
    this.arrivals += 1;
    return new EngineSequence(
      generation.engineRequestId,
      this.arrivals,
      generation.priority,
      hashBlocks(this.hasher, parseCacheSalt(generation.cacheSalt), text),
      tokensOfBytes(text.length),
      generation.maxTokens,
      state,
      generation.weightsDigest,
    );
  }

  private scheduleStep(): void {
    if (this.stepTimer || !this.alive || this.isStalled || this.activeRequests === 0) return;
    this.admit();
    const prefillTokens = this.planPrefill();
    const prefillMs = (prefillTokens / this.settings.prefillTokensPerSecond) * MS_PER_SECOND;
    const durationMs = Math.max(this.settings.decodeStepMs, prefillMs);
    this.stepTimer = this.clock.setTimer(durationMs, () => {
      this.stepTimer = undefined;
      this.finishStep();
      this.scheduleStep();
    });
  }

  private admit(): void {
    while (this.queue.running.length < this.settings.maximumRunning) {
      const sequence = this.queue.admitNext();
      if (!sequence) return;
      this.matchCache(sequence);
      sequence.state = SequenceState.Prefilling;
    }
  }

  private matchCache(sequence: EngineSequence): void {
    const cachedBlocks = this.cache.match(sequence.chain);
    for (const block of cachedBlocks) {
      block.users += 1;
      this.auditReuse(sequence, block);
    }
    sequence.usedBlocks = cachedBlocks;
    // Decoding needs the output of the last prompt token, so that token is always computed.
    const matchedTokens = Math.min(cachedBlocks.length * BLOCK_TOKENS, sequence.promptTokens - 1);
    sequence.cachedTokens = Math.max(0, matchedTokens);
    sequence.remainingPrefillTokens = sequence.promptTokens - sequence.cachedTokens;
    this.totals.promptTokens += sequence.promptTokens;
    this.totals.cachedTokens += sequence.cachedTokens;
  }

  private auditReuse(sequence: EngineSequence, block: CachedBlock): void {
    this.onReuse?.({
      usedBy: sequence.requestId,
      createdBy: block.createdBy,
      createdWeights: block.weightsDigest,
      usedWeights: sequence.weightsDigest,
    });
  }

  /** Spends the step's prefill budget in order of admission; returns the tokens computed. */
  private planPrefill(): number {
    let budget = this.settings.prefillChunkTokens;
    for (const sequence of this.queue.running) {
      if (sequence.state !== SequenceState.Prefilling) continue;
      const tokens = Math.min(budget, sequence.remainingPrefillTokens);
      sequence.remainingPrefillTokens -= tokens;
      budget -= tokens;
      if (budget === 0) break;
    }
    return this.settings.prefillChunkTokens - budget;
  }

  private finishStep(): void {
    for (const sequence of [...this.queue.running]) {
      if (sequence.state === SequenceState.Decoding) this.decode(sequence);
      else if (
        sequence.state === SequenceState.Prefilling &&
        sequence.remainingPrefillTokens === 0
      ) {
        this.storeBlocks(sequence);
        sequence.state = SequenceState.Decoding;
        this.decode(sequence);
      }
    }
    this.removeExpiredSequences();
  }

  private decode(sequence: EngineSequence): void {
    const token = sequence.text.nextToken();
    sequence.text.append(token);
    sequence.tokens.push(token);
    this.totals.generatedTokens += 1;
    if (sequence.tokens.length >= sequence.maxTokens) {
      this.release(sequence, SequenceState.Finished);
    }
    sequence.notify();
  }

  private storeBlocks(sequence: EngineSequence): void {
    const nowMs = this.clock.now();
    let parent: bigint | undefined;
    for (const hash of sequence.chain) {
      const { weightsDigest, requestId } = sequence;
      if (!this.cache.store(hash, parent, weightsDigest, requestId, nowMs)) break;
      parent = hash;
    }
    // Touches the whole chain, the root last, so that eviction starts at the leaf.
    this.cache.match(sequence.chain);
  }

  private release(sequence: EngineSequence, state: SequenceState): void {
    sequence.state = state;
    sequence.finishedAtMs = this.clock.now();
    for (const block of sequence.usedBlocks) block.users -= 1;
    sequence.usedBlocks = [];
    this.queue.remove(sequence);
  }

  private removeExpiredSequences(): void {
    const oldestMs = this.clock.now() - this.settings.streamRetentionMs;
    for (const [requestId, sequence] of this.sequences) {
      if (sequence.ended && sequence.finishedAtMs < oldestMs && sequence.readers.size === 0) {
        this.sequences.delete(requestId);
      }
    }
  }
}
