/** One send of a request to one engine: where it goes, under what conditions, what it costs there. */
import type {
  AnswerHead,
  EngineNotice,
  Exchange,
  ExchangeFailure,
  ExchangeListener,
  SendOptions,
} from '../../protocol/inference/port.js';
import type { CacheStore, Service } from '../../state/routing/configuration.js';
import {
  type Placement,
  type PlacementFailure,
  placeRequest,
} from '../../state/routing/placement.js';
import { RejectionReason } from '../../state/routing/rejection.js';
import { StorePressure, storePressure } from '../../state/routing/save-choice.js';
import { RunStartDeadline } from './run-start-deadline.js';
import { noteEngineNotice } from './engine-notices.js';
import type { GatewayContext } from './gateway-context.js';
import type { GenerationShape } from '../../state/routing/generation.js';
import type { AnsweredRequest } from './engine-limit-discovery.js';
import { LoadShare } from './load-share.js';
import type { Grant } from './request-admission.js';
import type { InboundRequest } from './reply.js';

/** Most urgent and least urgent rank an engine knows. */
const LEAST_URGENT = 9;
/** Connections kept free for routers that this one has not heard of. */
const UNKNOWN_ROUTERS = 1;

/** Chooses an engine for a request. */
export function placeCall(
  request: InboundRequest,
  grant: Grant,
  service: Service,
  excluded: ReadonlySet<string>,
  context: GatewayContext,
): ReturnType<typeof placeRequest> {
  const stores = grant.table.cacheStores.flatMap(({ cacheStore }) => cacheStore ?? []);
  const connectionShare = Math.max(
    1,
    Math.floor(service.maximumConnections / (context.group.size + UNKNOWN_ROUTERS)),
  );
  return placeRequest(
    {
      candidates: context.registry.ofService(service.name),
      profile: service.engine,
      generation: service.engine ? request.generation : undefined,
      isolatedTenant: grant.tenant?.isIsolated ? grant.tenant.name : undefined,
      excluded,
      zone: context.zone,
      stores,
      storePressure: pressureOf(request, stores, context),
      connectionShare,
      turns: context.turnView(),
    },
    context,
    context.clock.now(),
  );
}

/**
 * Time until an engine of the service takes requests of this router again, in milliseconds; undefined where a
 * placement failed for another reason than pauses and limits.
 */
export function engineWaitMs(
  reason: PlacementFailure,
  service: Service,
  { registry, health, clock, turnView }: GatewayContext,
): number | undefined {
  const isAwaited =
    reason === RejectionReason.EnginesBackingOff || reason === RejectionReason.EnginesLimited;
  if (!isAwaited) return undefined;
  const names = registry.readyOf(service.name).map(({ record }) => record.name);
  return health.shortestWaitMs(names, clock.now(), turnView());
}

/** Reckoned from this router's own prompts and its share of the group's requests. */
function pressureOf(
  { generation }: InboundRequest,
  stores: readonly CacheStore[],
  context: GatewayContext,
): StorePressure {
  if (!generation) return StorePressure.Low;
  const ownRate = context.ownTokenRate.perSecond(generation.model, context.clock.now());
  return storePressure(ownRate / context.shareOfTraffic(), stores);
}

/** The conditions under which a placed request is sent. */
export function sendOptionsOf(
  placement: Placement,
  grant: Grant,
  remainingMs: number,
  resumeAfter: string | undefined,
): SendOptions {
  return {
    budgetMs: Math.max(1, Math.floor(remainingMs)),
    tenant: grant.tenant?.name,
    expectedInstance: placement.engine.record.name,
    expectedVersion: placement.expectedVersion,
    cacheSalt: placement.cacheSalt,
    urgency: placement.cacheSalt === undefined ? undefined : Math.min(LEAST_URGENT, grant.priority),
    fetchFrom: placement.fetchFrom,
    saveTo: placement.saveTo,
    resumeAfter,
  };
}

/** Receives the events of one send, unless it was given up before. */
export interface SendEvents {
  onHead(send: Send, head: AnswerHead): void;
  onChunk(send: Send, chunk: Uint8Array): void;
  onEnd(send: Send): void;
  onFailure(send: Send, failure: ExchangeFailure): void;
}

/** A send under way. After its end, failure or cancellation it passes no event on. */
export class Send implements ExchangeListener {
  private readonly exchange: Exchange;
  private readonly load: LoadShare;
  private readonly beginWatch: RunStartDeadline | undefined;
  readonly sentMs: number;
  private headMs: number | undefined;
  private firstChunkMs: number | undefined;
  private lastChunkMs: number | undefined;
  private chunks = 0;
  private isOver = false;

  constructor(
    readonly placement: Placement,
    private readonly request: InboundRequest,
    options: SendOptions,
    private readonly events: SendEvents,
    private readonly context: GatewayContext,
  ) {
    const { id, name } = placement.engine.record;
    context.health.limits.noteSend(name, context.turnView());
    this.load = new LoadShare(context.loads, id, this.generation, placement.unreadTokens);
    context.statistics.sends += 1;
    this.sentMs = context.clock.now();
    this.exchange = context.engines.send(placement.engine.record, request, options, this);
    this.beginWatch = this.watchBeginning();
  }

  get engineId(): string {
    return this.placement.engine.record.id;
  }

  onNotice(notice: EngineNotice): void {
    noteEngineNotice(this.answered, notice, this.context);
  }

  onHead(head: AnswerHead): void {
    if (this.isOver) return;
    this.headMs = this.context.clock.now();
    // Only an answer that the engine attests is sure to be its own word; a limit that it names is noted by now.
    if (head.isAttested) this.context.limitNews.noteUnnamed(this.answered);
    this.events.onHead(this, head);
  }

  onChunk(chunk: Uint8Array): void {
    if (this.isOver) return;
    this.noteChunk();
    this.events.onChunk(this, chunk);
  }

  onEnd(): void {
    if (this.isOver) return;
    this.learnTiming();
    this.close();
    this.context.health.noteSuccess(this.engineId, this.sentMs);
    this.events.onEnd(this);
  }

  onFailure(failure: ExchangeFailure): void {
    if (this.isOver) return;
    this.close();
    this.events.onFailure(this, failure);
  }

  /** Closes the connection to the engine; no event follows. */
  cancel(): void {
    if (this.isOver) return;
    this.close();
    this.exchange.cancel();
  }

  /** The engine's life is over, though nothing came that shows it on the connection. */
  breakOff(reason: string): void {
    if (this.isOver) return;
    this.close();
    this.exchange.cancel();
    const kind = this.headMs === undefined ? 'unknown' : 'cut';
    this.events.onFailure(this, { kind, reason, isDisconnect: true });
  }

  /** Steady time of the last sign of the engine, of the send itself where there was none. */
  get lastSignMs(): number {
    return this.lastChunkMs ?? this.headMs ?? this.sentMs;
  }

  pause(): void {
    this.exchange.pause();
  }

  resume(): void {
    this.exchange.resume();
  }

  /** The generation that was sent; undefined where the service makes none. */
  private get generation(): GenerationShape | undefined {
    return this.placement.cacheSalt === undefined ? undefined : this.request.generation;
  }

  private get answered(): AnsweredRequest {
    const { placement, request, sentMs } = this;
    return { engine: placement.engine.record, requestId: request.id, sentMs };
  }

  /** Generations run on weights, and these may run out of their time before the engine begins. */
  private watchBeginning(): RunStartDeadline | undefined {
    const { generation, context } = this;
    const { expectedVersion } = this.placement;
    if (!generation || expectedVersion === undefined) return undefined;
    const withdraw = (): void => this.withdraw();
    return new RunStartDeadline(generation.model, expectedVersion, context, withdraw);
  }

  /** The engine may have begun just now, so the request counts as one that may have run. */
  private withdraw(): void {
    if (this.isOver || this.firstChunkMs !== undefined) return;
    const { request, placement, context } = this;
    context.statistics.withdrawnSends += 1;
    context.logger.warn('send_withdrawn', {
      request: request.id,
      engine: this.engineId,
      version: placement.expectedVersion,
      waited_ms: Math.round(context.clock.now() - this.sentMs),
    });
    this.close();
    this.exchange.cancel();
    this.events.onFailure(this, { kind: 'withdrawn', reason: 'weights-out-of-time' });
  }

  private noteChunk(): void {
    const { generation, lastChunkMs, context } = this;
    const now = context.clock.now();
    this.notePromptRead(now);
    this.chunks += 1;
    this.lastChunkMs = now;
    if (!generation || lastChunkMs === undefined) return;
    context.rejections.notePause(generation.model, now - lastChunkMs);
  }

  private learnTiming(): void {
    const { placement, firstChunkMs, generation, context } = this;
    if (!generation || firstChunkMs === undefined) return;
    context.rejections.noteEnd(generation.model, {
      expectedMs: placement.expectedMs,
      firstTokenMs: firstChunkMs - this.sentMs,
      pieces: this.chunks,
      outputTokens: generation.maximumOutputTokens,
    });
  }

  private close(): void {
    this.isOver = true;
    this.beginWatch?.cancel();
    this.load.release();
  }

  /** The first bytes of a generation show that the engine has read, and so keeps, the prompt. */
  private notePromptRead(nowMs: number): void {
    if (this.firstChunkMs !== undefined) return;
    this.firstChunkMs = nowMs;
    this.beginWatch?.cancel();
    this.load.notePromptRead();
    const { cacheSalt } = this.placement;
    const { generation } = this.request;
    if (cacheSalt === undefined || !generation) return;
    this.context.kept.notePrompt(this.engineId, cacheSalt, generation.parts);
  }
}
