/**
 * A model engine that batches continuously, on a virtual clock: prompts are read in pieces between the
 * tokens of the running streams, so that each piece lengthens the pause of all of them.
 */
import type { Timer } from '../../src/runtime/clock.js';
import type { VirtualClock } from '../../src/runtime/virtual-clock.js';

/** How fast an engine is, and what it bears. */
export interface BatchingProfile {
  readonly slots: number;
  readonly cacheTokens: number;
  /** Time of a step without reading, in milliseconds. */
  readonly stepMs: number;
  readonly readTokensPerMs: number;
  /** Prompt tokens read in one step at most. */
  readonly pieceTokens: number;
  readonly tokensPerEvent: number;
  /** How much slower than the others, 1 or more. */
  readonly slowness: number;
}

/** A stream at an engine. */
export interface BatchedStream {
  readonly subject: string;
  readonly sharedTokens: number;
  readonly promptTokens: number;
  readonly outputTokens: number;
  /** Tokens that come from elsewhere instead of being read. */
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

/** One engine. */
export class BatchingEngine {
  readTokens = 0;
  readAgainTokens = 0;
  private readonly waiting: RunningStream[] = [];
  private readonly running: RunningStream[] = [];
  /** Shared parts kept, the least recently used first. */
  private readonly kept = new Map<string, number>();
  private arrivals = 0;
  private timer: Timer | undefined;

  constructor(
    private readonly clock: VirtualClock,
    private readonly profile: BatchingProfile,
  ) {}

  /** Shared tokens of a subject that it keeps. */
  keptTokens(subject: string): number {
    return this.kept.get(subject) ?? 0;
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
    const read = this.read();
    const { stepMs, readTokensPerMs, slowness } = this.profile;
    const durationMs = (stepMs + read / readTokensPerMs) * slowness;
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
      const found = Math.max(this.keptTokens(stream.subject), stream.fetchableTokens);
      next.unreadTokens = stream.promptTokens - Math.min(found, stream.sharedTokens);
      this.running.push(next);
    }
  }

  /** Reads a piece of the prompts that were let in first; answers how many tokens. */
  private read(): number {
    let left = this.profile.pieceTokens;
    for (const each of this.running) {
      const piece = Math.min(left, each.unreadTokens);
      each.unreadTokens -= piece;
      left -= piece;
      if (left === 0) break;
    }
    const read = this.profile.pieceTokens - left;
    this.readTokens += read;
    return read;
  }

  private generate(): void {
    for (const each of [...this.running]) {
      if (each.unreadTokens > 0) continue;
      if (each.generatedTokens === 0) this.keep(each.stream);
      each.generatedTokens += 1;
      const isLast = each.generatedTokens >= each.stream.outputTokens;
      const isEvent = (each.generatedTokens - 1) % this.profile.tokensPerEvent === 0;
      if (isEvent || isLast) each.stream.onEvent();
      if (!isLast) continue;
      this.running.splice(this.running.indexOf(each), 1);
      each.stream.onEnd();
    }
  }

  private keep({ subject, sharedTokens }: BatchedStream): void {
    this.kept.delete(subject);
    this.kept.set(subject, sharedTokens);
    let keptTokens = [...this.kept.values()].reduce((sum, tokens) => sum + tokens, 0);
    const room = this.profile.cacheTokens - this.usedTokens();
    for (const [oldest, tokens] of this.kept) {
      if (keptTokens <= room) return;
      this.kept.delete(oldest);
      keptTokens -= tokens;
    }
  }

  private usedTokens(): number {
    return this.running.reduce((sum, { stream }) => sum + sizeOf(stream), 0);
  }
}

function sizeOf({ promptTokens, outputTokens }: BatchedStream): number {
  return promptTokens + outputTokens;
}
