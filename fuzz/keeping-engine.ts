/** Stand-in of an engine that reports which parts of prompts it keeps. */
import { ProtocolFailure } from '../src/protocol/errors.js';
import type {
  CacheContents,
  CacheEvent,
  CacheEventPage,
  InferencePort,
} from '../src/protocol/inference/port.js';
import type { Clock } from '../src/runtime/clock.js';

/** The salt of everything that is kept. */
export const SALT = 'salt';

/** What one life has kept and told. */
interface Life {
  readonly bornMs: number;
  readonly events: CacheEvent[];
  readonly held: Map<string, number>;
}

/** Answers of the past that are on their way may be this late. */
const USUAL_WAY_MS = 1;

/** One engine in all its lives. */
export class KeepingEngine {
  private life: Life;
  private readonly waiting = new Set<() => void>();
  /** How much longer the next answers are on their way, in milliseconds. */
  readonly delaysMs: number[] = [];

  constructor(private readonly clock: Clock) {
    this.life = this.begin();
  }

  /** Start of the present life in Unix milliseconds. */
  get bornMs(): number {
    return this.life.bornMs;
  }

  /** Tokens that the present life keeps of a part. */
  tokensOf(partId: string): number {
    return this.life.held.get(partId) ?? 0;
  }

  /** Keeps so many tokens of a part; 0: it drops the part. */
  keep(partId: string, tokens: number): void {
    this.life.events.push({ salt: SALT, partId, tokens });
    if (tokens > 0) this.life.held.set(partId, tokens);
    else this.life.held.delete(partId);
    this.wake();
  }

  /** Starts again: it keeps nothing, and its events are counted anew. */
  restart(): void {
    this.life = this.begin();
    this.wake();
  }

  /** The calls of a router that follows it. */
  get port(): Pick<InferencePort, 'cacheEvents' | 'cacheContents' | 'retain'> {
    return {
      cacheEvents: (_address, since, waitMs) => this.eventsAfter(since, waitMs),
      cacheContents: () => this.onWay(this.contents()),
      retain: () => undefined,
    };
  }

  private begin(): Life {
    const bornMs = Math.round(this.clock.wallNow());
    const formerMs = this.life?.bornMs ?? -Infinity;
    return { bornMs: Math.max(bornMs, formerMs + 1), events: [], held: new Map() };
  }

  private wake(): void {
    for (const check of [...this.waiting]) check();
  }

  private contents(): CacheContents {
    const { bornMs, events, held } = this.life;
    const parts = [...held].map(([partId, tokens]) => ({ salt: SALT, partId, tokens }));
    return { bornMs, epoch: bornMs, next: events.length, held: parts };
  }

  /** Answers once there are events, after the wait, or with a broken connection at a restart. */
  private eventsAfter(since: number, waitMs: number): Promise<CacheEventPage> {
    const asked = this.life;
    return new Promise((resolve, reject) => {
      const finish = (): void => {
        this.waiting.delete(check);
        timer.cancel();
        const next = Math.max(since, asked.events.length);
        const events = asked.events.slice(since);
        const { bornMs } = asked;
        resolve(this.onWay({ bornMs, epoch: bornMs, next, hasGap: false, events }));
      };
      const check = (): void => {
        if (asked.events.length > since) finish();
        else if (asked !== this.life) {
          this.waiting.delete(check);
          timer.cancel();
          reject(new ProtocolFailure({ kind: 'interrupted', address: '', reason: 'restart' }));
        }
      };
      const timer = this.clock.setTimer(waitMs, finish);
      this.waiting.add(check);
      check();
    });
  }

  /** What was answered arrives even if the life that answered has ended meanwhile. */
  private onWay<Answer>(answer: Answer): Promise<Answer> {
    const delayMs = this.delaysMs.shift() ?? USUAL_WAY_MS;
    return new Promise((resolve) => this.clock.setTimer(delayMs, () => resolve(answer)));
  }
}
