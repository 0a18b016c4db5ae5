/**
 * The stand-in engine: continuous batching with chunked prefill, block cache, priorities, resumable
 * streams, events that come late, lagging load. It runs on an injected clock and does no I/O, so the
 * same engine serves the HTTP stand-in, the fuzz and the experiments.
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
import { LaggingLoad } from './lagging-load.js';
import { EngineSequence, SequenceState } from './sequence.js';
import { SequenceQueue } from './sequence-queue.js';
import type { EngineModelSettings } from './settings.js';
import type { TokenModel } from './token-model.js';

const EVENT_BATCH = 2_000;
const MS_PER_SECOND = 1_000;

/** A use of kept cache, for the oracle. */
export interface ReuseAudit {
  readonly usedBy: string;
  readonly createdBy: string;
  readonly createdWeights: string;
  readonly usedWeights: string;
}

/** Answer to a new generation. */
export type AcceptResult =
  | { readonly kind: 'accepted'; readonly sequence: EngineSequence }
  | { readonly kind: 'refused'; readonly reason: string };

/** Totals for measurements. */
export interface EngineTotals {
  promptTokens: number;
  cachedTokens: number;
  generatedTokens: number;
  accepted: number;
}

/** One stand-in engine. */
export class EngineCore {
  readonly totals: EngineTotals = {
    promptTokens: 0,
    cachedTokens: 0,
    generatedTokens: 0,
    accepted: 0,
  };
  readonly eventFaults: EventFaults;
  /** Hears of each use of a kept block; set by tests. */
  onReuse: ((audit: ReuseAudit) => void) | undefined;
  /** Hears of each generation taken; set by tests. */
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
  private readonly load: LaggingLoad;

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
    this.load = new LaggingLoad(settings.loadLagMs, clock, () => this.presentLoad());
  }

  get isAlive(): boolean {
    return this.alive;
  }

  get currentIncarnation(): number {
    return this.incarnation;
  }

  /** Requests waiting or running. */
  get activeRequests(): number {
    return this.queue.size;
  }

  /** Takes a generation into the queue, or says why not; a refused one runs nothing. */
  accept(generation: EngineGeneration): AcceptResult {
    const refusal = this.refusalOf(generation);
    if (refusal !== undefined) return { kind: 'refused', reason: refusal };
    const sequence = this.createSequence(generation);
    this.sequences.set(generation.engineRequestId, sequence);
    this.queue.enqueue(sequence);
    this.totals.accepted += 1;
    this.onAccept?.(generation);
    this.scheduleStep();
    return { kind: 'accepted', sequence };
  }

  /** A stream by its request, while it is kept. */
  find(engineRequestId: string): EngineSequence | undefined {
    return this.sequences.get(engineRequestId);
  }

  /** Ends a request; what it computed stays cached. */
  cancel(engineRequestId: string): void {
    const sequence = this.sequences.get(engineRequestId);
    if (!sequence || sequence.ended) return;
    this.release(sequence, SequenceState.Cancelled);
  }

  /** Status with the load as of some time ago. */
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

  /** Events from a number on; an empty batch where none is visible. */
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

  /** Leading blocks of a chain that are kept, without marking them used: for perfect knowledge. */
  countKept(chain: readonly bigint[]): number {
    const missing = chain.findIndex((hash) => !this.cache.get(hash));
    return missing < 0 ? chain.length : missing;
  }

  /** Load at this moment, without the lag of {@link status}. */
  presentLoad(): EngineLoadReport {
    let waitingTokens = 0;
    for (const sequence of this.queue.waiting) waitingTokens += sequence.promptTokens;
    for (const sequence of this.queue.running) waitingTokens += sequence.prefillLeft;
    return {
      waitingTokens,
      requests: this.activeRequests,
      maximumRequests: this.settings.maximumRunning,
      prefillTokensPerSecond: this.settings.prefillTokensPerSecond,
    };
  }

  /** All kept blocks. */
  snapshot(): EngineSnapshot {
    const blocks = this.cache.parentsFirst().map((block) => ({
      kind: 'stored' as const,
      block: block.hash,
      parent: block.parent,
    }));
    return { incarnation: this.incarnation, nextSequence: this.log.nextSequence, blocks };
  }

  /** Hangs: takes requests and answers status, but computes nothing until released. */
  setStalled(stalled: boolean): void {
    this.isStalled = stalled;
    if (!stalled) this.scheduleStep();
  }

  /** Loses everything; refuses until {@link restart}. */
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

  /** Comes back empty under a new incarnation, perhaps with other weights. */
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

  private refusalOf(generation: EngineGeneration): string | undefined {
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
    const prefilled = this.planPrefill();
    const prefillMs = (prefilled / this.settings.prefillTokensPerSecond) * MS_PER_SECOND;
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
    const kept = this.cache.match(sequence.chain);
    for (const block of kept) {
      block.users += 1;
      this.auditReuse(sequence, block);
    }
    sequence.usedBlocks = kept;
    // The last token is always computed, to have something to decode from.
    const keptTokens = Math.min(kept.length * BLOCK_TOKENS, sequence.promptTokens - 1);
    sequence.cachedTokens = Math.max(0, keptTokens);
    sequence.prefillLeft = sequence.promptTokens - sequence.cachedTokens;
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

  /** Spends the step's prefill budget in order of admission; answers the tokens computed. */
  private planPrefill(): number {
    let budget = this.settings.prefillChunkTokens;
    for (const sequence of this.queue.running) {
      if (sequence.state !== SequenceState.Prefilling) continue;
      const tokens = Math.min(budget, sequence.prefillLeft);
      sequence.prefillLeft -= tokens;
      budget -= tokens;
      if (budget === 0) break;
    }
    return this.settings.prefillChunkTokens - budget;
  }

  private finishStep(): void {
    for (const sequence of [...this.queue.running]) {
      if (sequence.state === SequenceState.Decoding) this.decode(sequence);
      else if (sequence.state === SequenceState.Prefilling && sequence.prefillLeft === 0) {
        this.storeBlocks(sequence);
        sequence.state = SequenceState.Decoding;
        this.decode(sequence);
      }
    }
    this.forgetOld();
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
    // Makes the root the most recently used block of the chain, so that eviction starts at the leaf.
    this.cache.match(sequence.chain);
  }

  private release(sequence: EngineSequence, state: SequenceState): void {
    sequence.state = state;
    sequence.finishedAtMs = this.clock.now();
    for (const block of sequence.usedBlocks) block.users -= 1;
    sequence.usedBlocks = [];
    this.queue.remove(sequence);
  }

  private forgetOld(): void {
    const oldestMs = this.clock.now() - this.settings.streamRetentionMs;
    for (const [requestId, sequence] of this.sequences) {
      if (sequence.ended && sequence.finishedAtMs < oldestMs && sequence.readers.size === 0) {
        this.sequences.delete(requestId);
      }
    }
  }
}
