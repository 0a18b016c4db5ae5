/**
 * One caller's request at the agent: sends it to a router, keeps the position in the answer, and
 * takes it to another router when the first is lost.
 */
import { create } from '@bufbuild/protobuf';
import type { Clock, Timer } from '../../runtime/clock.js';
import type { Logger } from '../../runtime/logger.js';
import type { RandomSource } from '../../runtime/random.js';
import {
  type CallFailed,
  type CallFinished,
  CallKind,
  CancelCallSchema,
  type EnginePosition,
  GenerationSchema,
  GrantCreditSchema,
  OperationSchema,
  type StartCall,
  StartCallSchema,
} from '../../protocol/peer/generated/peer_pb.js';
import type { PeerBody } from '../../protocol/peer/peer-channel.js';
import { backoffDelayMs } from '../../state/backoff.js';
import { CLAIM_RETENTION_MS } from '../../state/claim-table.js';
import { RequestEvent, RequestLedger } from '../../state/request-ledger.js';
import type { CallFailure, FailedCall } from '../errors.js';
import { decodeFailure } from '../shared/failure-codec.js';
import type { CallerRequest, CallerSink } from './caller.js';
import type { LinkCallListener, RouterLink } from './router-link.js';
import type { RouterLinks } from './router-links.js';

/** Chunks a router may send ahead of the caller. */
export const INITIAL_CREDIT = 256;
/** Credit is given back in portions, so that not every chunk costs a message the other way. */
const CREDIT_PORTION = INITIAL_CREDIT / 4;
/** Routers tried for one request at most. */
const MAXIMUM_ROUTERS = 6;
/** Time without any reachable router after which a request is given up. */
const NO_ROUTER_LIMIT_MS = 3_000;
const NO_ROUTER_RETRY_MS = 1_000;
/** Time beyond the deadline that the router's own last word may take. */
const LAST_WORD_MS = 250;

/** What calls share at an agent. */
export interface AgentCallContext {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: Logger;
  readonly links: RouterLinks;
}

/** A request at the agent. */
export class AgentCall implements LinkCallListener {
  private readonly ledger: RequestLedger;
  private readonly acceptedMs: number;
  /** The same moment by the wall clock. */
  private readonly acceptedAtMs: number;
  private readonly deadlineAtMs: number;
  private readonly delivered: string[] = [];
  private readonly tried = new Set<string>();
  private readonly deadlineTimer: Timer;
  private position: EnginePosition | undefined;
  private attempt = 0;
  private link: RouterLink | undefined;
  private callNumber = 0;
  /** Chunks taken by the caller for which no credit was given back yet. */
  private consumedChunks = 0;
  private withoutRouterSinceMs: number | undefined;

  constructor(
    private readonly request: CallerRequest,
    private readonly sink: CallerSink,
    private readonly context: AgentCallContext,
    private readonly onEnded: () => void,
  ) {
    this.ledger = new RequestLedger(request.keyed);
    this.acceptedMs = context.clock.now();
    this.acceptedAtMs = context.clock.wallNow();
    this.deadlineAtMs = this.acceptedMs + request.deadlineMs;
    this.deadlineTimer = context.clock.setTimer(request.deadlineMs + LAST_WORD_MS, () =>
      this.failUnanswered('no answer before the deadline'),
    );
  }

  /** Begins; the call ends through its sink. */
  run(): void {
    void this.nextAttempt();
  }

  /** The caller took that many texts. */
  consumed(chunks: number): void {
    this.consumedChunks += chunks;
    if (this.consumedChunks < CREDIT_PORTION || !this.link) return;
    const { callNumber, consumedChunks } = this;
    this.consumedChunks = 0;
    const value = create(GrantCreditSchema, { callNumber, chunks: consumedChunks });
    this.link.send({ case: 'grantCredit', value });
  }

  /** The caller hung up. */
  cancel(): void {
    if (this.ledger.isSettled) return;
    this.ledger.apply(RequestEvent.Fail);
    this.sendCancel();
    this.end('cancelled');
  }

  onMessage(body: PeerBody): void {
    if (this.ledger.isSettled) return;
    switch (body.case) {
      case 'callRunning':
        this.position = body.value.position;
        break;
      case 'callChunk':
        this.takeChunk(body.value.sequence, body.value.texts);
        break;
      case 'callFinished':
        this.takeFinished(body.value);
        break;
      case 'callFailed':
        this.takeFailed(body.value);
        break;
    }
  }

  onLost(): void {
    if (this.ledger.isSettled) return;
    this.link = undefined;
    this.ledger.apply(RequestEvent.Lose);
    this.context.logger.info('router_lost', {
      request_id: this.request.requestId,
      delivered: this.delivered.length,
    });
    void this.nextAttempt();
  }

  private async nextAttempt(): Promise<void> {
    for (const address of this.context.links.rank(this.request.routeKey, this.tried)) {
      const link = await this.context.links.acquire(address);
      if (this.ledger.isSettled) return;
      if (!link) continue;
      this.tried.add(address);
      this.send(link);
      return;
    }
    this.waitForRouter();
  }

  private waitForRouter(): void {
    const nowMs = this.context.clock.now();
    this.withoutRouterSinceMs ??= nowMs;
    if (nowMs - this.withoutRouterSinceMs >= NO_ROUTER_LIMIT_MS) {
      this.failUnanswered('no router can be reached');
      return;
    }
    // Every router was tried once; the next round may find one restarted.
    if (this.attempt < MAXIMUM_ROUTERS) this.tried.clear();
    const delayMs = backoffDelayMs(this.context.random, this.attempt + 2);
    this.context.clock.setTimer(delayMs, () => {
      if (!this.ledger.isSettled) void this.nextAttempt();
    });
  }

  private send(link: RouterLink): void {
    this.withoutRouterSinceMs = undefined;
    this.attempt += 1;
    this.link = link;
    this.callNumber = link.register(this);
    // Each router starts with the full credit.
    this.consumedChunks = 0;
    const earlierUnproven = !this.ledger.notRunProven;
    this.ledger.apply(RequestEvent.Dispatch);
    link.send({ case: 'startCall', value: this.startMessage(earlierUnproven) });
  }

  private startMessage(earlierUnproven: boolean): StartCall {
    const { request } = this;
    const nowMs = this.context.clock.now();
    const isGeneration = request.kind === 'generation';
    const start = create(StartCallSchema, {
      callNumber: this.callNumber,
      requestId: request.requestId,
      attempt: this.attempt,
      tenant: request.tenant,
      kind: isGeneration ? CallKind.GENERATION : CallKind.OPERATION,
      deadlineMs: Math.max(1, Math.floor(this.deadlineAtMs - nowMs)),
      priority: request.priority,
      firstUseAtMs: BigInt(this.firstUseAtMs()),
      firstUseProven: !earlierUnproven && !request.keyed,
      initialCredit: INITIAL_CREDIT,
      earlierUnproven,
    });
    if (request.kind === 'generation') {
      const { model, prompt, maxTokens } = request;
      start.generation = create(GenerationSchema, {
        model,
        prompt,
        maxTokens,
        deliveredText: this.delivered.join(''),
        deliveredChunks: this.delivered.length,
      });
      if (this.position) start.generation.position = this.position;
    } else {
      const { service, operation, payload } = request;
      start.operation = create(OperationSchema, { service, operation, payload });
    }
    return start;
  }

  /** Wall clock time at which the identifier may first have been used. */
  private firstUseAtMs(): number {
    const oldestMs = this.request.keyed ? CLAIM_RETENTION_MS : 0;
    return Math.floor(this.acceptedAtMs - oldestMs);
  }

  /** Passes on what is new; a gap means that the router's stream can't be trusted. */
  private takeChunk(sequence: number, texts: readonly string[]): void {
    if (sequence > this.delivered.length) {
      this.leaveRouter('chunk out of order');
      return;
    }
    const fresh = texts.slice(this.delivered.length - sequence);
    if (fresh.length === 0) return;
    const first = this.delivered.length;
    this.delivered.push(...fresh);
    this.sink.onTexts(first, fresh);
  }

  private takeFinished(message: CallFinished): void {
    const { request } = this;
    const isWhole = request.kind === 'operation' || message.totalChunks === this.delivered.length;
    if (message.requestId !== request.requestId || !isWhole) {
      this.leaveRouter('answer does not fit the request');
      return;
    }
    this.ledger.apply(RequestEvent.Finish);
    this.end('finished');
    if (request.kind === 'operation') this.sink.onOutcome(message.status, message.outcome);
    else {
      const { promptTokens = 0, cachedTokens = 0, completionTokens = 0 } = message.usage ?? {};
      this.sink.onFinished(message.finishReason, { promptTokens, cachedTokens, completionTokens });
    }
  }

  private takeFailed(message: CallFailed): void {
    if (message.requestId !== this.request.requestId) {
      this.leaveRouter('answer does not fit the request');
      return;
    }
    const failed = decodeFailure(message);
    if (failed.failure.kind === 'try-another-router' && this.attempt < MAXIMUM_ROUTERS) {
      this.leaveLink();
      // This router did nothing with the request, whatever earlier ones may have done.
      this.ledger.apply(RequestEvent.RefuseNotRun);
      void this.nextAttempt();
      return;
    }
    // The router was told of unproven earlier attempts, so that its word covers them.
    this.fail(failed);
  }

  private leaveRouter(reason: string): void {
    this.context.logger.warn('answer_dropped', { request_id: this.request.requestId, reason });
    this.sendCancel();
    this.leaveLink();
    this.ledger.apply(RequestEvent.Lose);
    void this.nextAttempt();
  }

  private leaveLink(): void {
    this.link?.unregister(this.callNumber);
    this.link = undefined;
  }

  private sendCancel(): void {
    const value = create(CancelCallSchema, { callNumber: this.callNumber });
    this.link?.send({ case: 'cancelCall', value });
  }

  private failUnanswered(message: string): void {
    if (this.ledger.isSettled) return;
    this.sendCancel();
    const notRun = this.ledger.notRunProven;
    this.fail({ failure: this.unansweredFailure(message, notRun), notRun });
  }

  private unansweredFailure(message: string, notRun: boolean): CallFailure {
    if (!notRun && this.request.kind === 'operation' && !this.request.repeatable) {
      return { kind: 'outcome-unknown', message };
    }
    if (this.context.clock.now() >= this.deadlineAtMs) return { kind: 'deadline', message };
    return { kind: 'unavailable', message, retryAfterMs: NO_ROUTER_RETRY_MS };
  }

  private fail(failed: FailedCall): void {
    this.ledger.apply(RequestEvent.Fail);
    this.end(failed.failure.kind);
    this.sink.onFailed(failed);
  }

  private end(result: string): void {
    this.deadlineTimer.cancel();
    this.leaveLink();
    this.context.logger.info('caller_answered', {
      request_id: this.request.requestId,
      tenant: this.request.tenant,
      result,
      routers: this.attempt,
      chunks: this.delivered.length,
      duration_ms: Math.round(this.context.clock.now() - this.acceptedMs),
    });
    this.onEnded();
  }
}
