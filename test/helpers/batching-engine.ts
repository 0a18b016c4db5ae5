/**
 * A simulated engine with continuous batching, on a virtual clock. Prompts are prefilled in chunks
 * between the decode steps, so each chunk lengthens the token interval of all running streams.
 */
import type { Timer } from '../../src/runtime/clock.js';
import type { VirtualClock } from '../../src/runtime/virtual-clock.js';

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
  readonly affinityKey: string;
  readonly sharedTokens: number;
  /** First of the shared tokens, common to several affinity keys. */
  readonly root?: { readonly key: string; readonly tokens: number };
  readonly promptTokens: number;
  readonly outputTokens: number;
  /** Tokens that can be fetched from elsewhere instead of being computed. */
  readonly fetchableTokens: number;
  readonly urgency: number;
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
  readAgainTokens = 0;
  /** Time spent on steps, in milliseconds. */
  busyMs = 0;
  private readonly waiting: RunningStream[] = [];
  private readonly running: RunningStream[] = [];
  /** Cached prompt prefixes by affinity key, least recently used first. */
  private readonly cachedPrefixes = new Map<string, number>();
  private readonly everRead: Set<string>;
  private arrivals = 0;
  private timer: Timer | undefined;

  constructor(
    private readonly clock: VirtualClock,
    private readonly profile: BatchingProfile,
    /** Affinity keys that any engine has prefilled, shared by the engines of a service. */
    everRead = new Set<string>(),
  ) {
    this.everRead = everRead;
  }

  /** Number of cached tokens for an affinity key. */
  cachedTokens(affinityKey: string): number {
    return this.cachedPrefixes.get(affinityKey) ?? 0;
  }

  /** Number of tokens of a prompt that need no prefill. */
  private reusableTokens({ affinityKey, root, fetchableTokens }: BatchedStream): number {
    const rootTokens = root ? this.cachedTokens(root.key) : 0;
    const isSubjectUsable = !root || rootTokens > 0;
    const subjectTokens = isSubjectUsable ? this.cachedTokens(affinityKey) : 0;
    return Math.max(rootTokens + subjectTokens, fetchableTokens);
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
      const reusedTokens = Math.min(this.reusableTokens(stream), stream.sharedTokens);
      next.unreadTokens = stream.promptTokens - reusedTokens;
      this.noteRead(stream, reusedTokens);
      this.running.push(next);
    }
  }

  /** Counts the shared tokens that are prefilled although an engine of the service had done so before. */
  private noteRead({ affinityKey, sharedTokens }: BatchedStream, reusedTokens: number): void {
    if (reusedTokens < sharedTokens && this.everRead.has(affinityKey)) {
      this.readAgainTokens += sharedTokens - reusedTokens;
    }
    this.everRead.add(affinityKey);
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

  private cachePrefix({ affinityKey, root, sharedTokens }: BatchedStream): void {
    this.cache(affinityKey, sharedTokens - (root?.tokens ?? 0));
    if (root) this.cache(root.key, root.tokens);
    let cachedTokens = [...this.cachedPrefixes.values()].reduce((sum, tokens) => sum + tokens, 0);
    const availableTokens = this.profile.cacheTokens - this.usedTokens();
    for (const [oldest, tokens] of this.cachedPrefixes) {
      if (cachedTokens <= availableTokens) return;
      this.cachedPrefixes.delete(oldest);
      cachedTokens -= tokens;
    }
  }

  private cache(key: string, tokens: number): void {
    this.cachedPrefixes.delete(key);
    this.cachedPrefixes.set(key, tokens);
  }

  private usedTokens(): number {
    return this.running.reduce((sum, { stream }) => sum + sizeOf(stream), 0);
  }
}

function sizeOf({ promptTokens, outputTokens }: BatchedStream): number {
  return promptTokens + outputTokens;
}
