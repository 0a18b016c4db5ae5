/** Simulated engine that reports which parts of prompts it caches. */
import { ProtocolFailure } from '../src/protocol/errors.js';
import type {
  CacheContents,
  CacheEvent,
  CacheEventPage,
  InferencePort,
} from '../src/protocol/inference/port.js';
import type { Clock } from '../src/runtime/clock.js';

/** Cache salt of all parts. */
export const SALT = 'salt';

/** Cache and event feed of one incarnation. */
interface Incarnation {
  readonly startedAtMs: number;
  readonly events: CacheEvent[];
  readonly cached: Map<string, number>;
}

/** Network delay of a response for which none is set. */
const DEFAULT_DELAY_MS = 1;

/** An engine over all its incarnations. */
export class CachingEngine {
  private incarnation: Incarnation;
  private readonly waiting = new Set<() => void>();
  /** Network delays of the next responses, in milliseconds. */
  readonly responseDelaysMs: number[] = [];

  constructor(private readonly clock: Clock) {
    this.incarnation = this.startIncarnation();
  }

  /** Start time of the current incarnation, in Unix milliseconds. */
  get startedAtMs(): number {
    return this.incarnation.startedAtMs;
  }

  /** Number of tokens of a part that the current incarnation caches. */
  tokensOf(partId: string): number {
    return this.incarnation.cached.get(partId) ?? 0;
  }

  /** Sets the number of cached tokens of a part; 0 evicts the part. */
  setCachedTokens(partId: string, tokens: number): void {
    this.incarnation.events.push({ salt: SALT, partId, tokens });
    if (tokens > 0) this.incarnation.cached.set(partId, tokens);
    else this.incarnation.cached.delete(partId);
    this.notifyWaiting();
  }

  /** Restarts the engine with an empty cache and a new event feed. */
  restart(): void {
    this.incarnation = this.startIncarnation();
    this.notifyWaiting();
  }

  /** Inference port for a router that follows the event feed. */
  get port(): Pick<InferencePort, 'cacheEvents' | 'cacheContents' | 'retain'> {
    return {
      cacheEvents: (_address, since, waitMs) => this.eventsAfter(since, waitMs),
      cacheContents: () => this.delayed(this.contents()),
      retain: () => undefined,
    };
  }

  private startIncarnation(): Incarnation {
    const startedAtMs = Math.round(this.clock.wallNow());
    const previousMs = this.incarnation?.startedAtMs ?? -Infinity;
    return { startedAtMs: Math.max(startedAtMs, previousMs + 1), events: [], cached: new Map() };
  }

  private notifyWaiting(): void {
    for (const respond of [...this.waiting]) respond();
  }

  private contents(): CacheContents {
    const { startedAtMs, events, cached } = this.incarnation;
    const parts = [...cached].map(([partId, tokens]) => ({ salt: SALT, partId, tokens }));
    return { startedAtMs, epoch: startedAtMs, next: events.length, held: parts };
  }

  /** Resolves on new events or after the wait; rejects if the engine restarts meanwhile. */
  private eventsAfter(since: number, waitMs: number): Promise<CacheEventPage> {
    const queried = this.incarnation;
    return new Promise((resolve, reject) => {
      const finish = (): void => {
        this.waiting.delete(respondIfReady);
        timer.cancel();
        const next = Math.max(since, queried.events.length);
        const events = queried.events.slice(since);
        const { startedAtMs } = queried;
        resolve(this.delayed({ startedAtMs, epoch: startedAtMs, next, hasGap: false, events }));
      };
      const respondIfReady = (): void => {
        if (queried.events.length > since) finish();
        else if (queried !== this.incarnation) {
          this.waiting.delete(respondIfReady);
          timer.cancel();
          reject(new ProtocolFailure({ kind: 'interrupted', address: '', reason: 'restart' }));
        }
      };
      const timer = this.clock.setTimer(waitMs, finish);
      this.waiting.add(respondIfReady);
      respondIfReady();
    });
  }

  /** Delays a response. It arrives even if the incarnation that sent it has ended meanwhile. */
  private delayed<Answer>(answer: Answer): Promise<Answer> {
    const delayMs = this.responseDelaysMs.shift() ?? DEFAULT_DELAY_MS;
    return new Promise((resolve) => this.clock.setTimer(delayMs, () => resolve(answer)));
  }
}
