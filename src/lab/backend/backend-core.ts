/** A fake plain back end for simulations and local deployments. */

import { HttpStatus } from '../../protocol/http-status.js';
import { type Clock, sleep } from '../../runtime/clock.js';
import {
  type BackendResponse,
  type BackendInvocation,
  FENCED_REASON,
  SECOND_IDENTIFIER_SUFFIX,
  type LookupResult,
} from '../../protocol/plain-backend/port.js';

/** Speed and limits of a fake back end. */
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

/** Request state that all machines of one service share, like a common database. */
export class BackendStore {
  private readonly fenced = new Set<string>();
  private readonly responses = new Map<string, BackendResponse>();
  /** Start times of the runs, by identifier at the back end. */
  private readonly runs = new Map<string, number[]>();

  /** Records the start of a run. Returns false if the identifier is fenced. */
  begin(requestId: string, nowMs: number): boolean {
    if (this.fenced.has(requestId)) return false;
    const starts = this.runs.get(requestId) ?? [];
    this.runs.set(requestId, [...starts, nowMs]);
    return true;
  }

  /** Number of runs of a caller's request, under any of its identifiers. */
  runsOf(requestId: string): number {
    return this.runStarts(requestId).length;
  }

  /** Start time of the first run of a caller's request; undefined if it never ran. */
  firstRunMs(requestId: string): number | undefined {
    const starts = this.runStarts(requestId);
    return starts.length === 0 ? undefined : Math.min(...starts);
  }

  private runStarts(requestId: string): number[] {
    const secondIdentifier = requestId + SECOND_IDENTIFIER_SUFFIX;
    return [...(this.runs.get(requestId) ?? []), ...(this.runs.get(secondIdentifier) ?? [])];
  }

  finish(requestId: string, answer: BackendResponse): void {
    this.responses.set(requestId, answer);
  }

  /** Returns the state of a request. An unknown request is fenced, so that it can't run later. */
  lookup(requestId: string): LookupResult {
    const answer = this.responses.get(requestId);
    if (answer) return { kind: 'answered', answer };
    if (this.runs.has(requestId)) return { kind: 'running' };
    const isFirstLookup = !this.fenced.has(requestId);
    this.fenced.add(requestId);
    return { kind: 'fenced', first: isFirstLookup };
  }
}

/** One back-end machine. */
export class BackendCore {
  leaving = false;
  private alive = true;
  private running = 0;
  private incarnation = 0;

  constructor(
    readonly settings: BackendSettings,
    private readonly store: BackendStore,
    private readonly clock: Clock,
  ) {}

  get isAlive(): boolean {
    return this.alive;
  }

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
    const incarnation = this.incarnation;
    this.running += 1;
    await sleep(this.clock, this.settings.workMs);
    if (incarnation !== this.incarnation) return { kind: 'lost' };
    this.running -= 1;
    const answer = { status: HttpStatus.Ok, body: encodeResponse(invocation) };
    this.store.finish(invocation.requestId, answer);
    return { kind: 'answered', answer };
  }

  lookup(requestId: string): LookupResult {
    return this.alive ? this.store.lookup(requestId) : { kind: 'unavailable' };
  }

  /** Ends the process. Callers of runs in progress get no response. */
  crash(): void {
    this.alive = false;
    this.running = 0;
    this.incarnation += 1;
  }

  restart(): void {
    this.alive = true;
  }
}

function encodeResponse(invocation: BackendInvocation): Uint8Array {
  const { service, operation, tenant, requestId } = invocation;
  const text = JSON.stringify({ service, operation, tenant, request_id: requestId, done: true });
  return new TextEncoder().encode(text);
}
