/** The stand-in plain back end: flag state, audit, booking. Records each run by request identifier. */

import { HttpStatus } from '../../protocol/http-status.js';
import { type Clock, sleep } from '../../runtime/clock.js';
import {
  type BackendResponse,
  type BackendInvocation,
  FENCED_REASON,
  SECOND_IDENTIFIER_SUFFIX,
  type LookupResult,
} from '../../protocol/plain-backend/port.js';

/** Speed and limits of a stand-in back end. */
export interface BackendSettings {
  readonly backendId: string;
  readonly workMs: number;
  readonly maximumRunning: number;
}

/** Result of an invocation inside the back end. */
export type RunResult =
  | { readonly kind: 'answered'; readonly answer: BackendResponse }
  | { readonly kind: 'refused'; readonly reason: string }
  | { readonly kind: 'lost' };

/** State of requests shared by all machines of one service, as a database behind them would be. */
export class BackendStore {
  private readonly fenced = new Set<string>();
  private readonly answers = new Map<string, BackendResponse>();
  /** Start of each run by identifier at the back end, in milliseconds. */
  private readonly runs = new Map<string, number[]>();

  /** Notes the start of a run; false where the identifier is fenced. */
  begin(requestId: string, nowMs: number): boolean {
    if (this.fenced.has(requestId)) return false;
    const starts = this.runs.get(requestId) ?? [];
    this.runs.set(requestId, [...starts, nowMs]);
    return true;
  }

  /** Runs of a caller's request under any of its identifiers. */
  runsOf(requestId: string): number {
    return this.startsOf(requestId).length;
  }

  /** When a caller's request first ran; undefined where it never did. */
  firstRunMs(requestId: string): number | undefined {
    const starts = this.startsOf(requestId);
    return starts.length === 0 ? undefined : Math.min(...starts);
  }

  private startsOf(requestId: string): number[] {
    const second = requestId + SECOND_IDENTIFIER_SUFFIX;
    return [...(this.runs.get(requestId) ?? []), ...(this.runs.get(second) ?? [])];
  }

  finish(requestId: string, answer: BackendResponse): void {
    this.answers.set(requestId, answer);
  }

  /** What is known of a request; one never seen is fenced from now on. */
  lookup(requestId: string): LookupResult {
    const answer = this.answers.get(requestId);
    if (answer) return { kind: 'answered', answer };
    if (this.runs.has(requestId)) return { kind: 'running' };
    const first = !this.fenced.has(requestId);
    this.fenced.add(requestId);
    return { kind: 'fenced', first };
  }
}

/** One back end machine. */
export class BackendCore {
  leaving = false;
  private alive = true;
  private running = 0;
  private life = 0;

  constructor(
    readonly settings: BackendSettings,
    private readonly store: BackendStore,
    private readonly clock: Clock,
  ) {}

  get isAlive(): boolean {
    return this.alive;
  }

  /** Requests running. */
  get activeRequests(): number {
    return this.running;
  }

  async run(invocation: BackendInvocation): Promise<RunResult> {
    if (!this.alive) return { kind: 'lost' };
    if (this.leaving) return { kind: 'refused', reason: 'leaving' };
    if (this.running >= this.settings.maximumRunning) {
      return { kind: 'refused', reason: 'overloaded' };
    }
    if (!this.store.begin(invocation.requestId, this.clock.now()))
      return { kind: 'refused', reason: FENCED_REASON };
    const life = this.life;
    this.running += 1;
    await sleep(this.clock, this.settings.workMs);
    if (life !== this.life) return { kind: 'lost' };
    this.running -= 1;
    const answer = { status: HttpStatus.Ok, body: answerOf(invocation) };
    this.store.finish(invocation.requestId, answer);
    return { kind: 'answered', answer };
  }

  lookup(requestId: string): LookupResult {
    return this.alive ? this.store.lookup(requestId) : { kind: 'unavailable' };
  }

  /** Loses what runs; a run that began may or may not have taken effect. */
  crash(): void {
    this.alive = false;
    this.running = 0;
    this.life += 1;
  }

  restart(): void {
    this.alive = true;
  }
}

function answerOf(invocation: BackendInvocation): Uint8Array {
  const { service, operation, tenant, requestId } = invocation;
  const text = JSON.stringify({ service, operation, tenant, request_id: requestId, done: true });
  return new TextEncoder().encode(text);
}
