/** One send of a request to one engine: its events, its observations and its load accounting. */
import {
  BodyFraming,
  type ResponseHead,
  type EngineNotice,
  type Exchange,
  type ExchangeConnection,
  type ExchangeFailure,
  type ExchangeListener,
  type Forwarder,
  type SendOptions,
} from '../../protocol/inference/port.js';
import type { Placement } from '../../state/routing/placement.js';
import { ResponseSpeed } from './response-speed.js';
import { RunStartDeadline } from './run-start-deadline.js';
import { applyEngineNotice } from './engine-notices.js';
import type { ObservedSend } from './engine-path/engine-path-monitor.js';
import type { GatewayContext } from './gateway-context.js';
import { GuardedListener } from './guarded-listener.js';
import { brittleEngineView, isBrittle } from '../../state/routing/engine-eligibility.js';
import { type GenerationShape, sharedPartsOf } from '../../state/routing/generation.js';
import { slownessOf } from '../../state/routing/engine-speeds.js';
import type { AnsweredRequest } from './engine-limit-discovery.js';
import { SenderState } from './response-end-check.js';
import { SendLoad } from './send-load.js';
import type { InboundRequest } from './reply.js';

/** Receives the events of one send until it is cancelled. */
export interface SendEvents {
  /** Whether the request was running at a crash and has not been completed since. */
  readonly isSuspected: boolean;
  /** Whether the end of the response would state to its caller that it is complete. */
  readonly statesEnd: boolean;
  onHead(send: Send, head: ResponseHead): void;
  onChunk(send: Send, chunk: Uint8Array): void;
  /**
   * Whether a response that ended with its connection can be asked for again, by the router or by its
   * caller, so that its end is not taken for the end of the whole.
   */
  isEndUnconfirmed(send: Send): boolean;
  /** Why the response is not whole although its exchange has ended; undefined if it may be whole. */
  failureAtEnd(send: Send): ExchangeFailure | undefined;
  onEnd(send: Send): void;
  onFailure(send: Send, failure: ExchangeFailure): void;
  /** Called if the handling of an event has thrown; the send is of no further use. */
  onError(error: unknown): void;
}

/** An engine that crashes as it begins to write is gone within this time of its first bytes. */
const RESPONSE_START_MS = 300;

/** A response that ended with its connection, whose engine could not be checked. */
export const END_UNVERIFIED: ExchangeFailure = {
  kind: 'cut',
  reason: 'end-unverified',
  isDisconnect: true,
};

/** A send in progress. It emits no events after its end, failure or cancellation. */
export class Send implements ExchangeListener {
  private readonly exchange: Exchange;
  private readonly load: SendLoad;
  private readonly runStartDeadline: RunStartDeadline | undefined;
  readonly sentMs: number;
  private headMs: number | undefined;
  private endedMs: number | undefined;
  private bodyFraming: BodyFraming | undefined;
  private firstChunkMs: number | undefined;
  private lastChunkMs: number | undefined;
  private chunkCount = 0;
  private readonly speed: ResponseSpeed | undefined;
  /** Undefined while the exchange is, or will be, forwarded by another router. */
  private observed: ObservedSend | undefined;
  private connection: ExchangeConnection | undefined;
  /** Wall-clock time of the send as of when it opened a connection; undefined if it opened none. */
  private openingWallMs: number | undefined;
  /** Router through which the request is sent, unless there is an idle direct connection. */
  readonly forwarder: Forwarder | undefined;
  private isClosed = false;
  private hasPaused = false;
  private isBodyTaken = false;
  private sender: SenderState | undefined;

  constructor(
    readonly placement: Placement,
    private readonly request: InboundRequest,
    options: SendOptions,
    private readonly events: SendEvents,
    private readonly context: GatewayContext,
  ) {
    const { id, name } = placement.engine.record;
    context.health.limits.noteSend(name, context.slotView());
    this.noteBrittleSend();
    const queuedTokens = context.loads.at(id).unreadTokens;
    this.load = new SendLoad(context.loads, id, placement.unreadTokens, placement.memory);
    context.statistics.sends += 1;
    if ((placement.harmMs ?? 0) > 0) context.statistics.sendsHarmingStreams += 1;
    request.heldBody?.queueAt(id);
    this.sentMs = context.clock.now();
    this.speed = this.observeSpeed(options, queuedTokens);
    this.forwarder = options.forwarder;
    if (this.forwarder) context.statistics.forwardedSends += 1;
    else this.observed = context.enginePath.observe(id);
    this.exchange = this.open(options);
    this.runStartDeadline = this.createRunStartDeadline();
  }

  /** Starts the exchange; what the engine is charged with is given back if that throws. */
  private open(options: SendOptions): Exchange {
    const { placement, request, context } = this;
    const listener = new GuardedListener(this, (error) => this.events.onError(error));
    try {
      return context.engines.send(placement.engine.record, request, options, listener);
    } catch (error) {
      this.close();
      throw error;
    }
  }

  get engineId(): string {
    return this.placement.engine.record.id;
  }

  /** Whether there is a connection to the engine, so that the request may arrive there. */
  get isConnected(): boolean {
    return this.connection !== undefined;
  }

  /** Whether the engine has taken the whole body of the request. */
  get hasTakenBody(): boolean {
    return this.isBodyTaken;
  }

  /** Whether the head of a response was received. */
  get hasHead(): boolean {
    return this.headMs !== undefined;
  }

  /** Whether the response has brought any byte of a body. */
  get hasContent(): boolean {
    return this.chunkCount > 0;
  }

  /** Time from the send to the end of the response, or until now. */
  get serviceMs(): number {
    return (this.endedMs ?? this.context.clock.now()) - this.sentMs;
  }

  /** What shows the end of the response; undefined before its head. */
  get framing(): BodyFraming | undefined {
    return this.bodyFraming;
  }

  /** Whether the response ended with its connection and the check of its engine was inconclusive. */
  get mayBeBrokenOff(): boolean {
    return this.sender === SenderState.Unknown;
  }

  /** Whether another router forwards the connection, or is asked to. */
  get isForwarded(): boolean {
    return this.connection?.isForwarded ?? this.forwarder !== undefined;
  }

  onConnected(connection: ExchangeConnection): void {
    if (this.isClosed) return;
    this.connection = connection;
    if (connection.isNew) this.openingWallMs = this.sentWallMs;
    if (connection.isForwarded) return;
    this.observed ??= this.context.enginePath.observe(this.engineId);
    if (connection.isNew) this.observed.noteNewConnection();
  }

  onNotice(notice: EngineNotice): void {
    applyEngineNotice(this.answeredRequest, notice, this.context);
  }

  onBodyTaken(): void {
    if (this.isClosed) return;
    this.isBodyTaken = true;
    this.request.heldBody?.noteTaken();
  }

  onHead(head: ResponseHead): void {
    if (this.isClosed) return;
    this.observed?.noteReceived();
    this.headMs = this.context.clock.now();
    this.bodyFraming = head.framing;
    this.speed?.noteHead(head);
    // Only an attested response certainly comes from the engine. If it names a limit, `onNotice`
    // has already recorded it.
    if (head.isAttested) {
      this.context.limitDiscovery.recordNoLimit(this.answeredRequest);
      this.context.brittleness.recordNoTolerance(this.answeredRequest);
    }
    this.events.onHead(this, head);
  }

  onChunk(chunk: Uint8Array): void {
    if (this.isClosed) return;
    this.recordChunk();
    this.events.onChunk(this, chunk);
  }

  onEnd(): void {
    if (this.isClosed) return;
    const failure = this.events.failureAtEnd(this);
    if (failure) {
      this.onFailure(failure);
      return;
    }
    this.endedMs = this.context.clock.now();
    if (this.bodyFraming !== BodyFraming.Connection) this.complete();
    else this.checkEnd().catch((error: unknown) => this.events.onError(error));
  }

  /**
   * Completes the send unless the engine has crashed, which ends the connection in the same way. What
   * can't be checked is not stated to be complete.
   */
  private async checkEnd(): Promise<void> {
    const { placement, context, connection, forwarder } = this;
    this.sender = await context.responseEnds.checkSender(placement.engine.record, {
      forwarder: connection?.isForwarded ? forwarder?.address : undefined,
      isSuspected: this.events.isSuspected,
      isGeneration: this.generation !== undefined,
      connectedAfterMs: this.connectedAfterMs,
    });
    if (this.isClosed) return;
    if (this.sender === SenderState.Gone)
      this.onFailure({ kind: 'cut', reason: 'engine-gone', isDisconnect: true });
    else if (this.mayBeBrokenOff && this.events.statesEnd) this.onFailure(END_UNVERIFIED);
    else if (this.events.isEndUnconfirmed(this)) this.leaveUnconfirmed();
    else this.complete();
  }

  /** Wall-clock time of the send, in Unix milliseconds. */
  get sentWallMs(): number {
    const { clock } = this.context;
    return clock.wallNow() - (clock.now() - this.sentMs);
  }

  /** The earlier of two readings, so that a wall clock that is set forward meanwhile makes it no later. */
  private get connectedAfterMs(): number | undefined {
    const { openingWallMs, sentWallMs } = this;
    return openingWallMs === undefined ? undefined : Math.min(openingWallMs, sentWallMs);
  }

  /** Ends the send, whose engine has served it well; the rest may be asked for elsewhere. */
  private leaveUnconfirmed(): void {
    const { engineId: engine } = this;
    this.recordSuccess();
    this.events.onFailure(this, { kind: 'unconfirmed', reason: 'end-unconfirmed', engine });
  }

  private complete(): void {
    this.recordSuccess();
    this.events.onEnd(this);
  }

  private recordSuccess(): void {
    this.recordTiming();
    const { name } = this.placement.engine.record;
    this.context.health.brittle.noteServiceTime(name, this.serviceMs);
    this.speed?.noteEnd();
    this.close();
    this.context.health.noteSuccess(this.engineId, this.sentMs);
  }

  onFailure(failure: ExchangeFailure): void {
    if (this.isClosed) return;
    if (failure.kind === 'not-sent') this.observed?.noteConnectFailure();
    if (failure.kind === 'refused') this.observed?.noteReceived();
    this.close();
    this.events.onFailure(this, failure);
  }

  /** Closes the connection to the engine; no event follows. */
  cancel(): void {
    if (this.isClosed) return;
    this.close();
    this.exchange.cancel();
  }

  /**
   * Fails the send as disconnected after the engine has restarted, although the connection shows no
   * error.
   */
  failAsDisconnected(reason: string): void {
    if (this.isClosed) return;
    this.close();
    this.exchange.cancel();
    const kind = this.headMs === undefined ? 'unknown' : 'cut';
    this.events.onFailure(this, { kind, reason, isDisconnect: true });
  }

  /** Whether the engine has written nothing yet, or has only just begun to. */
  get isStarting(): boolean {
    const { firstChunkMs } = this;
    return (
      firstChunkMs === undefined || this.context.clock.now() - firstChunkMs <= RESPONSE_START_MS
    );
  }

  /** Monotonic time of the last data from the engine, or of the send if there was none. */
  get lastActivityMs(): number {
    return this.lastChunkMs ?? this.headMs ?? this.sentMs;
  }

  /** Whether this router has stopped reading the response. */
  get isPaused(): boolean {
    return this.hasPaused;
  }

  pause(): void {
    this.hasPaused = true;
    this.speed?.notePausedRead();
    this.exchange.pause();
  }

  resume(): void {
    this.hasPaused = false;
    this.exchange.resume();
  }

  /** Uses a turn at a brittle engine; called before the request counts as one at the engine. */
  private noteBrittleSend(): void {
    const { registry, health, loads, slotView } = this.context;
    const { record } = this.placement.engine;
    const engines = registry.ofService(record.service);
    if (!isBrittle(engines, health)) return;
    health.brittle.noteSend(brittleEngineView(record, engines, slotView(), loads));
  }

  private observeSpeed(options: SendOptions, queuedTokens: number): ResponseSpeed | undefined {
    const { generation, placement, sentMs, context } = this;
    if (!generation) return undefined;
    const { id } = placement.engine.record;
    const queuedTokensNow = (): number => context.loads.at(id).unreadTokens;
    const sent = { generation, placement, options, sentMs, queuedTokens, queuedTokensNow };
    return new ResponseSpeed(sent, context.speedObserver);
  }

  /** The generation that was sent; undefined if the service does not run generations. */
  private get generation(): GenerationShape | undefined {
    return this.placement.cacheSalt === undefined ? undefined : this.request.generation;
  }

  private get answeredRequest(): AnsweredRequest {
    const { placement, request, sentMs } = this;
    return { engine: placement.engine.record, requestId: request.id, sentMs };
  }

  /**
   * Limits the start time of generations, since the engine's weights may expire before it starts.
   */
  private createRunStartDeadline(): RunStartDeadline | undefined {
    const { generation, context } = this;
    const { expectedVersion } = this.placement;
    if (!generation || expectedVersion === undefined) return undefined;
    const withdraw = (): void => {
      try {
        this.withdraw();
      } catch (error) {
        this.events.onError(error);
      }
    };
    return new RunStartDeadline(generation.model, expectedVersion, context, withdraw);
  }

  /**
   * Cancels a request that has not started. The engine may have just started it, so it counts as
   * possibly run.
   */
  private withdraw(): void {
    if (this.isClosed || this.firstChunkMs !== undefined) return;
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

  private recordChunk(): void {
    const { generation, lastChunkMs, context } = this;
    const now = context.clock.now();
    this.observed?.noteReceived();
    this.recordPromptRead(now);
    this.speed?.noteChunk(now);
    this.load.noteEvent();
    this.chunkCount += 1;
    this.lastChunkMs = now;
    if (!generation || lastChunkMs === undefined) return;
    const slowness = slownessOf(context.speeds.at(this.engineId));
    context.rejections.notePause(generation.model, now - lastChunkMs, slowness);
  }

  private recordTiming(): void {
    const { placement, firstChunkMs, generation, context } = this;
    if (!generation || firstChunkMs === undefined) return;
    context.rejections.noteEnd(generation.model, {
      expectedMs: placement.expectedMs,
      firstTokenMs: firstChunkMs - this.sentMs,
      chunkCount: this.chunkCount,
      outputTokens: generation.maximumOutputTokens,
    });
  }

  private close(): void {
    this.isClosed = true;
    this.observed?.close();
    this.runStartDeadline?.cancel();
    // A body that the engine has taken may be queued at another engine by now.
    if (!this.isBodyTaken) this.request.heldBody?.leaveEngine();
    this.load.release();
  }

  /** The first bytes of a generation show that the engine has read the prompt and caches it. */
  private recordPromptRead(nowMs: number): void {
    if (this.firstChunkMs !== undefined) return;
    this.firstChunkMs = nowMs;
    this.runStartDeadline?.cancel();
    this.load.notePromptRead();
    const { cacheSalt } = this.placement;
    const { generation } = this.request;
    if (cacheSalt === undefined || !generation) return;
    this.context.cachedPrefixes.recordPrompt(this.engineId, cacheSalt, generation.parts);
    const sharedParts = sharedPartsOf(generation);
    this.context.prefixReads?.recordRead(this.engineId, cacheSalt, sharedParts, nowMs);
  }
}
