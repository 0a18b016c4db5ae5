/**
 * A simulated engine with continuous batching, on a virtual clock. Prompts are prefilled in chunks
 * between the decode steps, so each chunk lengthens the token interval of all running streams.
 */
import type { Timer } from '../../src/runtime/clock.js';
import type { VirtualClock } from '../../src/runtime/virtual-clock.js';
import type { PromptPart } from '../../src/state/routing/generation.js';

/** Speed and capacity of an engine. */
export interface BatchingProfile {
  readonly slots: number;
  readonly cacheTokens: number;
  /** Duration of a step without prefill, in milliseconds. */
  readonly stepMs: number;
  readonly readTokensPerMs: number;
  /** Maximum number of prompt tokens prefilled in one step. */
  readonly chunkTokens: number;
  readonly tokensPerEvent: number;
  /** Slowdown relative to the other engines; below 1 for a faster engine. */
  readonly slowdownFactor: number;
  /** Additional duration of a step for each running stream, in milliseconds. */
  readonly stepMsPerStream?: number;
  /** Returns by how many times the engine is slower at the given time; 1 without it. */
  readonly noiseAt?: (nowMs: number) => number;
}

/** A stream sent to an engine. */
export interface BatchedStream {
  /** Parts at the start of the prompt that other prompts may share, in order. */
  readonly sharedParts: readonly PromptPart[];
  /**
   * The rest of the prompt, if it is cached as well. The parts are then evicted in the order of the
   * prompt; otherwise in reverse, so that no part remains without those before it.
   */
  readonly cachedOwnPart?: PromptPart;
  readonly promptTokens: number;
  readonly outputTokens: number;
  /** Tokens that can be fetched from elsewhere instead of being computed. */
  readonly fetchableTokens: number;
  readonly urgency: number;
  /** Called once the prompt tokens to prefill are known. */
  onAdmitted?(unreadTokens: number): void;
  onEvent(): void;
  onEnd(): void;
  onRefused(): void;
}

interface RunningStream {
  readonly stream: BatchedStream;
  unreadTokens: number;
  generatedTokens: number;
  readonly arrival: number;
}

/** Simulates one engine. */
export class BatchingEngine {
  readTokens = 0;
  /** Tokens of shared parts that were prefilled. */
  sharedReadTokens = 0;
  /** Time spent on steps, in milliseconds. */
  busyMs = 0;
  private readonly waiting: RunningStream[] = [];
  private readonly running: RunningStream[] = [];
  /** Cached prompt prefixes by part, least recently used first. */
  private readonly cachedPrefixes = new Map<string, number>();
  private arrivals = 0;
  private timer: Timer | undefined;

  constructor(
    private readonly clock: VirtualClock,
    private readonly profile: BatchingProfile,
  ) {}

  /** Number of cached tokens of a part. */
  cachedTokens(partId: string): number {
    return this.cachedPrefixes.get(partId) ?? 0;
  }

  /** Number of leading tokens of a prompt that are cached. */
  leadingTokens(parts: readonly PromptPart[]): number {
    let tokens = 0;
    for (const part of parts) {
      if (!this.cachedPrefixes.has(part.id)) break;
      tokens += part.tokens;
    }
    return tokens;
  }

  /** Loses all cached parts, as after a restart. */
  clearCache(): void {
    this.cachedPrefixes.clear();
  }

  send(stream: BatchedStream): void {
    if (this.waiting.length >= this.profile.slots * 3) {
      stream.onRefused();
      return;
    }
    this.arrivals += 1;
    this.waiting.push({ stream, unreadTokens: 0, generatedTokens: 0, arrival: this.arrivals });
    this.waiting.sort(
      (left, right) => left.stream.urgency - right.stream.urgency || left.arrival - right.arrival,
    );
    this.timer ??= this.clock.setTimer(0, () => this.step());
  }

  private step(): void {
    this.admit();
    if (this.running.length === 0) {
      this.timer = undefined;
      return;
    }
    const prefilledTokens = this.prefillChunk();
    const { stepMs, stepMsPerStream = 0, readTokensPerMs, slowdownFactor } = this.profile;
    const decodeMs = stepMs + stepMsPerStream * this.running.length;
    const noise = this.profile.noiseAt?.(this.clock.now()) ?? 1;
    const durationMs = (decodeMs + prefilledTokens / readTokensPerMs) * slowdownFactor * noise;
    this.busyMs += durationMs;
    this.timer = this.clock.setTimer(durationMs, () => {
      this.generate();
      this.step();
    });
  }

  private admit(): void {
    while (this.waiting.length > 0 && this.running.length < this.profile.slots) {
      const next = this.waiting[0] as RunningStream;
      const { stream } = next;
      if (this.usedTokens() + sizeOf(stream) > this.profile.cacheTokens) return;
      this.waiting.shift();
      const sharedTokens = tokensOf(stream.sharedParts);
      const cachedTokens = this.leadingTokens(stream.sharedParts);
      const reusedTokens = Math.min(Math.max(cachedTokens, stream.fetchableTokens), sharedTokens);
      next.unreadTokens = stream.promptTokens - reusedTokens;
      this.sharedReadTokens += sharedTokens - reusedTokens;
      stream.onAdmitted?.(next.unreadTokens);
      this.running.push(next);
    }
  }

  /** Prefills one chunk, earliest admitted prompts first; returns the number of tokens. */
  private prefillChunk(): number {
    let remainingTokens = this.profile.chunkTokens;
    for (const each of this.running) {
      const chunk = Math.min(remainingTokens, each.unreadTokens);
      each.unreadTokens -= chunk;
      remainingTokens -= chunk;
      if (remainingTokens === 0) break;
    }
    const prefilledTokens = this.profile.chunkTokens - remainingTokens;
    this.readTokens += prefilledTokens;
    return prefilledTokens;
  }

  private generate(): void {
    for (const each of [...this.running]) {
      if (each.unreadTokens > 0) continue;
      if (each.generatedTokens === 0) this.cachePrefix(each.stream);
      each.generatedTokens += 1;
      const isLast = each.generatedTokens >= each.stream.outputTokens;
      const isEvent = (each.generatedTokens - 1) % this.profile.tokensPerEvent === 0;
      if (isEvent || isLast) each.stream.onEvent();
      if (!isLast) continue;
      this.running.splice(this.running.indexOf(each), 1);
      each.stream.onEnd();
    }
  }

  private cachePrefix({ sharedParts, cachedOwnPart }: BatchedStream): void {
    const parts = cachedOwnPart ? [...sharedParts, cachedOwnPart] : sharedParts.toReversed();
    for (const { id, tokens } of parts) {
      this.cachedPrefixes.delete(id);
      this.cachedPrefixes.set(id, tokens);
    }
    let cachedTokens = [...this.cachedPrefixes.values()].reduce((sum, tokens) => sum + tokens, 0);
    const availableTokens = this.profile.cacheTokens - this.usedTokens();
    for (const [oldest, tokens] of this.cachedPrefixes) {
      if (cachedTokens <= availableTokens) return;
      this.cachedPrefixes.delete(oldest);
      cachedTokens -= tokens;
    }
  }

  private usedTokens(): number {
    return this.running.reduce((sum, { stream }) => sum + sizeOf(stream), 0);
  }
}

function sizeOf({ promptTokens, outputTokens }: BatchedStream): number {
  return promptTokens + outputTokens;
}

function tokensOf(parts: readonly PromptPart[]): number {
  return parts.reduce((sum, { tokens }) => sum + tokens, 0);
}
