/**
 * One caller's request at the agent: sends it to a router, tracks the position in the response, and
 * fails over to another router when the connection is lost.
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

/** Chunks that a router may send before the caller consumes them. */
export const INITIAL_CREDIT = 256;
/** Credit is granted in portions, to avoid one message per consumed chunk. */
const CREDIT_GRANT_CHUNKS = INITIAL_CREDIT / 4;
/** Maximum number of dispatches of one request to routers. */
const MAXIMUM_ATTEMPTS = 6;
/** A request fails after this time without a reachable router. */
const NO_ROUTER_TIMEOUT_MS = 3_000;
const NO_ROUTER_RETRY_MS = 1_000;
/** Time after the deadline in which the router's own response may still arrive. */
const FINAL_RESPONSE_GRACE_MS = 250;

/** Services that the calls of an agent share. */
export interface AgentCallContext {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: Logger;
  readonly links: RouterLinks;
}

/** A caller's request, from its acceptance to its response. */
export class AgentCall implements LinkCallListener {
  private readonly ledger: RequestLedger;
  private readonly acceptedMs: number;
  /** Wall-clock time of `acceptedMs`. */
  private readonly acceptedWallMs: number;
  private readonly deadlineAtMs: number;
  private readonly delivered: string[] = [];
  private readonly triedAddresses = new Set<string>();
  private readonly deadlineTimer: Timer;
  private position: EnginePosition | undefined;
  private attempt = 0;
  private link: RouterLink | undefined;
  private callNumber = 0;
  /** Chunks that the caller consumed and for which no credit was granted yet. */
  private consumedChunks = 0;
  private noRouterSinceMs: number | undefined;

  constructor(
    private readonly request: CallerRequest,
    private readonly sink: CallerSink,
    private readonly context: AgentCallContext,
    private readonly onEnded: () => void,
  ) {
    this.ledger = new RequestLedger(request.keyed);
    this.acceptedMs = context.clock.now();
    this.acceptedWallMs = context.clock.wallNow();
    this.deadlineAtMs = this.acceptedMs + request.deadlineMs;
    this.deadlineTimer = context.clock.setTimer(request.deadlineMs + FINAL_RESPONSE_GRACE_MS, () =>
      this.failWithoutResponse('no answer before the deadline'),
    );
  }

  /** Starts the request; the result is delivered through the sink. */
  run(): void {
    void this.tryNextRouter();
  }

  /** The caller consumed this number of chunks. */
  consumed(chunks: number): void {
    this.consumedChunks += chunks;
    if (this.consumedChunks < CREDIT_GRANT_CHUNKS || !this.link) return;
    const { callNumber, consumedChunks } = this;
    this.consumedChunks = 0;
    const value = create(GrantCreditSchema, { callNumber, chunks: consumedChunks });
    this.link.send({ case: 'grantCredit', value });
  }

  /** The caller closed its connection. */
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
        this.handleChunk(body.value.sequence, body.value.texts);
        break;
      case 'callFinished':
        this.handleFinished(body.value);
        break;
      case 'callFailed':
        this.handleFailed(body.value);
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
    void this.tryNextRouter();
  }

  private async tryNextRouter(): Promise<void> {
    for (const address of this.context.links.rank(this.request.routeKey, this.triedAddresses)) {
      const link = await this.context.links.acquire(address);
      if (this.ledger.isSettled) return;
      if (!link) continue;
      this.triedAddresses.add(address);
      this.send(link);
      return;
    }
    this.waitForRouter();
  }

  private waitForRouter(): void {
    const nowMs = this.context.clock.now();
    this.noRouterSinceMs ??= nowMs;
    if (nowMs - this.noRouterSinceMs >= NO_ROUTER_TIMEOUT_MS) {
      this.failWithoutResponse('no router can be reached');
      return;
    }
    // Every router was tried once; allow all of them again, as one may have restarted.
    if (this.attempt < MAXIMUM_ATTEMPTS) this.triedAddresses.clear();
    const delayMs = backoffDelayMs(this.context.random, this.attempt + 2);
    this.context.clock.setTimer(delayMs, () => {
      if (!this.ledger.isSettled) void this.tryNextRouter();
    });
  }

  private send(link: RouterLink): void {
    this.noRouterSinceMs = undefined;
    this.attempt += 1;
    this.link = link;
    this.callNumber = link.register(this);
    // Each router starts with the initial credit.
    this.consumedChunks = 0;
    const earlierUnproven = !this.ledger.notRunProven;
    this.ledger.apply(RequestEvent.Dispatch);
    link.send({ case: 'startCall', value: this.createStartMessage(earlierUnproven) });
  }

  private createStartMessage(earlierUnproven: boolean): StartCall {
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

  /** Earliest wall-clock time at which the request identifier may have been used. */
  private firstUseAtMs(): number {
    const oldestMs = this.request.keyed ? CLAIM_RETENTION_MS : 0;
    return Math.floor(this.acceptedWallMs - oldestMs);
  }

  /** Delivers new texts and skips duplicates. After a gap, the router's stream is abandoned. */
  private handleChunk(sequence: number, texts: readonly string[]): void {
    if (sequence > this.delivered.length) {
      this.switchRouter('gap in the chunk sequence');
      return;
    }
    const newTexts = texts.slice(this.delivered.length - sequence);
    if (newTexts.length === 0) return;
    const first = this.delivered.length;
    this.delivered.push(...newTexts);
    this.sink.onTexts(first, newTexts);
  }

  private handleFinished(message: CallFinished): void {
    const { request } = this;
    const isComplete =
      request.kind === 'operation' || message.totalChunks === this.delivered.length;
    if (message.requestId !== request.requestId || !isComplete) {
      this.switchRouter('answer does not fit the request');
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

  private handleFailed(message: CallFailed): void {
    if (message.requestId !== this.request.requestId) {
      this.switchRouter('answer does not fit the request');
      return;
    }
    const failed = decodeFailure(message);
    if (failed.failure.kind === 'try-another-router' && this.attempt < MAXIMUM_ATTEMPTS) {
      this.releaseLink();
      // This router did not run the request; earlier ones may have.
      this.ledger.apply(RequestEvent.RefuseNotRun);
      void this.tryNextRouter();
      return;
    }
    // `earlierUnproven` was sent with the call, so the failure also covers earlier attempts.
    this.fail(failed);
  }

  private switchRouter(reason: string): void {
    this.context.logger.warn('answer_dropped', { request_id: this.request.requestId, reason });
    this.sendCancel();
    this.releaseLink();
    this.ledger.apply(RequestEvent.Lose);
    void this.tryNextRouter();
  }

  private releaseLink(): void {
    this.link?.unregister(this.callNumber);
    this.link = undefined;
  }

  private sendCancel(): void {
    const value = create(CancelCallSchema, { callNumber: this.callNumber });
    this.link?.send({ case: 'cancelCall', value });
  }

  private failWithoutResponse(message: string): void {
    if (this.ledger.isSettled) return;
    this.sendCancel();
    const notRun = this.ledger.notRunProven;
    this.fail({ failure: this.noResponseFailure(message, notRun), notRun });
  }

  private noResponseFailure(message: string, notRun: boolean): CallFailure {
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
    this.releaseLink();
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
