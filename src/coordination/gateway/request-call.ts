/**
 * Handles one request from arrival to response: the events of its sends, its timeouts, its
 * deadline and its caller's disconnect. What the steps have in common is in `CallRecord`.
 */
import type { Timer } from '../../runtime/clock.js';
import type { ExchangeFailure, ResponseHead } from '../../protocol/inference/port.js';
import { isEventStream } from '../../protocol/inference/event-stream.js';
import type { EnginePathState } from '../../state/routing/engine-path.js';
import { RejectionReason } from '../../state/routing/rejection.js';
import { CallDispatch } from './call-dispatch.js';
import { CallEnding } from './call-ending.js';
import { CallFailover } from './call-failover.js';
import { logSendFailure } from './call-log.js';
import { CallRecord } from './call-record.js';
import type { ResponseMode } from './call-response.js';
import { CallRetries } from './call-retries.js';
import { CallState } from './call-state.js';
import { CallStreamEnd, isContinuation } from './call-stream-end.js';
import { CrashSubject } from './crash-guard.js';
import type { EngineRestart } from './engine-incarnation-tracker.js';
import {
  isDisconnect,
  isPathFailure,
  isRefusedAsFull,
  mayHaveBegun,
  recordFailedSend,
} from './failed-send.js';
import type { GatewayContext } from './gateway-context.js';
import { belongsToPreviousIncarnation } from './previous-incarnation.js';
import type { Grant } from './request-admission.js';
import type { InboundRequest, Reply } from './reply.js';
import { END_UNVERIFIED, type Send, type SendEvents } from './send.js';
import { CallStep } from './step-guard.js';

const SERVER_ERROR = 500;
/** An engine that responds so has not written a generated response. */
const CLIENT_ERROR = 400;
const EVENT_TOO_LARGE: ExchangeFailure = { kind: 'cut', reason: 'event-too-large' };
const EVENTS_REPEATED: ExchangeFailure = { kind: 'cut', reason: 'events-repeated' };
/** Longer than it takes to detect that the engine of a lost connection has crashed. */
const CRASH_DETECTION_MS = 30;

/** The state machine of one request. */
export class RequestCall implements SendEvents {
  private readonly call: CallRecord;
  private readonly dispatch: CallDispatch;
  private readonly retries: CallRetries;
  private readonly ending: CallEnding;
  private readonly failover: CallFailover;
  private readonly streamEnd: CallStreamEnd;
  private deadlineTimer: Timer | undefined;
  private retryTimer: Timer | undefined;

  constructor(
    request: InboundRequest,
    private readonly reply: Reply,
    private readonly context: GatewayContext,
    onFinished: () => void,
  ) {
    this.call = new CallRecord(request, reply, context);
    this.ending = new CallEnding(this.call, () => {
      this.deadlineTimer?.cancel();
      this.retryTimer?.cancel();
      this.failover.stopTimeout();
      this.call.response.discardPending();
      this.call.request.heldBody?.release();
      onFinished();
    });
    this.dispatch = new CallDispatch(this.call, this.ending, this, (grant) =>
      this.failover.noteSend(grant),
    );
    this.retries = new CallRetries(this.call);
    this.streamEnd = new CallStreamEnd(this.call, this.retries);
    this.failover = new CallFailover(this.call, this.retries, {
      failSend: (send, failure) => this.failSend(send, failure),
      sendAgain: () => this.sendAgain(),
      onReturned: () => this.retryTimer?.cancel(),
    });
  }

  start(): void {
    const { guard } = this.call;
    guard.onFailure = () => this.ending.fail();
    guard.run(CallStep.Arrival, () => this.begin());
  }

  private begin(): void {
    const { call } = this;
    const { guard, response } = call;
    this.context.statistics.requests += 1;
    this.reply.onClose(() => guard.run(CallStep.Caller, () => this.onCallerDisconnect()));
    const readOn = (): void => guard.run(CallStep.Caller, () => this.readOn());
    this.reply.onDrain(readOn);
    if (response.held) {
      response.held.onRoom = readOn;
      response.held.onDropped = () => guard.run(CallStep.Caller, () => this.ending.drop());
    }
    if (!this.dispatch.admit()) return;
    const { route } = call.grant as Grant;
    const limitMs = Math.min(route.timeoutMs, call.request.budgetMs ?? Infinity);
    call.deadlineMs = call.request.arrivedMs + limitMs;
    if (!this.mayBegin()) {
      this.ending.reject(RejectionReason.Stopping);
      return;
    }
    this.deadlineTimer = this.context.clock.setTimer(call.remainingMs, () => this.onDeadline());
    this.dispatch.dispatch();
  }

  /** Ends the request, unless an engine's response that has arrived by now completes it. */
  private onDeadline(): void {
    const { call } = this;
    const expire = (): void =>
      call.guard.run(CallStep.Timer, () => {
        if (!call.isFinished) this.ending.expire();
      });
    if (call.isAtEngine || call.stalled.isOpen) this.context.clock.afterReading(expire);
    else expire();
  }

  /**
   * Whether a stopping router still begins the request. Its head may have arrived long ago: its body, or
   * the response before it on the connection, may have taken long.
   */
  private mayBegin(): boolean {
    const { deadlineMs, now } = this.call;
    const { shutdown } = this.context;
    return !shutdown.isPlanned || shutdown.admits({ arrivedMs: now, deadlineMs });
  }

  /** Runs a step that a change of the router's state causes. */
  runStep(action: () => void): void {
    this.call.guard.run(CallStep.Change, action);
  }

  get isSuspected(): boolean {
    return this.call.crashes.isSuspected;
  }

  get statesEnd(): boolean {
    return this.call.response.statesEnd;
  }

  onHead(send: Send, head: ResponseHead): void {
    const { call } = this;
    this.failover.noteWritten(send);
    this.failover.stopTimeout();
    call.state = CallState.Responding;
    if (!head.isAttested) {
      this.failSend(send, { kind: 'unknown', reason: `unattested-${head.status}` });
      return;
    }
    if (head.status >= SERVER_ERROR && call.mayRepeat) {
      this.context.health.noteFailure(send.engineId, call.now);
      call.mayHaveRun = true;
      if (call.hasBegun || call.canSendAgain) {
        this.failSend(send, { kind: 'unknown', reason: `engine-status-${head.status}` });
        return;
      }
    }
    if (this.isOfOtherBuild(send)) {
      this.failSend(send, { kind: 'unknown', reason: 'other-build' });
      return;
    }
    if (call.hasBegun && !isContinuation(head)) {
      this.failSend(send, { kind: 'unknown', reason: `no-continuation-${head.status}` });
      return;
    }
    call.stalled.release();
    if (call.hasBegun) this.context.statistics.resumedStreams += 1;
    else call.response.handleHead(head, this.responseMode(head));
    if (call.response.isStream) this.failover.expectNextBytes();
  }

  onChunk(send: Send, chunk: Uint8Array): void {
    const { call } = this;
    this.failover.noteWritten(send);
    if (call.response.isResumable) this.failover.expectNextBytes();
    const { lastEventId } = call.response;
    const mayReadOn = call.response.handleChunk(chunk, call.now);
    if (call.response.repeatsEvents) {
      this.failSend(send, EVENTS_REPEATED);
      return;
    }
    if (call.response.lastEventId !== lastEventId) this.streamEnd.noteProgress();
    if (call.response.hasPassedEvent && !call.isOriginNoted) this.noteOrigin(send);
    // The engine is faulty: the stream goes on at another one, or ends here.
    if (call.response.isEventTooLarge) this.failSend(send, EVENT_TOO_LARGE);
    else if (!mayReadOn) this.stopReading(send);
  }

  /** Pauses the engine's response until its caller has taken more of it. */
  private stopReading(send: Send): void {
    this.failover.stopTimeout();
    send.pause();
  }

  private readOn(): void {
    const { send, response } = this.call;
    if (send?.isPaused && response.isStream) this.failover.expectNextBytes();
    send?.resume();
  }

  isEndUnconfirmed(send: Send): boolean {
    return this.streamEnd.isUnconfirmed(send);
  }

  failureAtEnd(send: Send): ExchangeFailure | undefined {
    this.failover.noteWritten(send);
    return this.streamEnd.failureOf(send);
  }

  onEnd(send: Send): void {
    this.call.response.handleEnd();
    if (send.mayBeBrokenOff) this.recordPossibleCrash(send, END_UNVERIFIED);
    else this.clearSuspicions();
    this.ending.complete(send.engineId);
  }

  onError(error: unknown): void {
    this.call.guard.fail(CallStep.Exchange, error);
  }

  onFailure(send: Send, failure: ExchangeFailure): void {
    const { call } = this;
    const isStalled = call.stalled.owns(send);
    if (isStalled) call.stalled.forget();
    // What the silent engine has written of an event is kept until it has failed or was replaced.
    if (!call.stalled.isOpen) call.response.discardPending();
    this.noteFailure(send, failure);
    // An engine that may have run the request has taken the place of the silent one.
    if (mayHaveBegun(failure)) call.stalled.release();
    if (failure.kind === 'unconfirmed') this.streamEnd.noteUnconfirmed(failure.engine);
    else if (failure.kind === 'unknown' || failure.kind === 'cut')
      this.streamEnd.noteContradiction();
    // Another engine is being tried, or the crash has quarantined the request, which ends it.
    if (isStalled || call.isFinished) return;
    this.failover.stopTimeout();
    call.state = CallState.Choosing;
    if (isDisconnect(failure) && send.isStarting && call.mayRepeat)
      this.retryAfterCrashDetection(failure);
    else this.retryOrEnd(failure);
  }

  /** Records what a failed send shows of its engine and of the request. */
  private noteFailure(send: Send, failure: ExchangeFailure): void {
    const { call } = this;
    call.wasDisconnected ||= isDisconnect(failure);
    if (!isPathFailure(failure)) call.excluded.add(send.engineId);
    if (isRefusedAsFull(failure)) call.refusedBy.add(send.engineId);
    this.recordFailure(send, failure);
    this.recordPossibleCrash(send, failure);
    logSendFailure(
      { request: call.request.id, send: call.sends, engine: send.engineId },
      failure,
      send.isConnected,
      call.now - send.lastActivityMs,
      call.crashes.computedFingerprint,
      this.context.logger,
    );
  }

  /**
   * Sends the request again once it is known whether its engine crashed, so that one that crashes
   * engines is not sent to the next ones before it is suspected.
   */
  private retryAfterCrashDetection(failure: ExchangeFailure): void {
    const { guard } = this.call;
    const retry = (): void => guard.run(CallStep.Timer, () => this.retryOrEnd(failure));
    this.retryTimer = this.context.clock.setTimer(CRASH_DETECTION_MS, retry);
  }

  /**
   * Rejects the request if its fingerprint is the quarantined one. A response that has begun
   * continues: its engine has the request already, and may be sound.
   */
  endIfQuarantined(fingerprint: string): void {
    const { call } = this;
    if (call.isFinished || call.hasBegun || !call.crashes.matches(fingerprint)) return;
    this.call.send?.cancel();
    this.ending.rejectQuarantined(CrashSubject.Request);
  }

  /**
   * Rejects the request if its prompt contains the quarantined part. A response that has begun, or
   * whose engine has been responding for a while, continues: that engine did not crash, and its
   * response clears the part.
   */
  endIfPartQuarantined(fingerprint: string): void {
    const { call } = this;
    if (call.isFinished || call.hasBegun || !call.crashes.hasPart(fingerprint)) return;
    if (call.send && call.isAtEngine && !call.send.isStarting) return;
    call.send?.cancel();
    this.ending.rejectQuarantined(CrashSubject.PromptPart);
  }

  /** Ends the request because the router shuts down. */
  endForShutdown(): void {
    this.call.stalled.release();
    if (this.call.hasBegun) this.ending.abort('stopping');
    else this.ending.reject(RejectionReason.Stopping);
  }

  /**
   * Fails the send if only the previous incarnation of the restarted engine can have received it.
   */
  failSendToPreviousIncarnation(restart: EngineRestart): void {
    const { send, stalled, isFinished } = this.call;
    if (isFinished) return;
    for (const each of [send, stalled.current]) {
      const isAffected = each && belongsToPreviousIncarnation(each, restart, this.context.clock);
      if (isAffected) each.failAsDisconnected('engine-restarted');
    }
  }

  /** See {@link CallFailover.failSendWithoutPath}. */
  failSendWithoutPath(path: EnginePathState): void {
    this.failover.failSendWithoutPath(path);
  }

  /** Records that the engine has responded, so that it was crashed neither by the request nor a part. */
  private clearSuspicions(): void {
    const { response, crashes } = this.call;
    const { status = SERVER_ERROR } = response;
    if (status < SERVER_ERROR) crashes.noteSuccess();
    if (status < CLIENT_ERROR) crashes.notePartSuccess();
  }

  /** Lets a send that ended with a lost connection be checked for a crash of its engine. */
  private recordPossibleCrash(send: Send, failure: ExchangeFailure): void {
    const { call } = this;
    call.crashes.noteFailure(send.engineId, failure, {
      ranMs: call.now - send.sentMs,
      isStarting: send.isStarting,
    });
  }

  /** Records the build that has begun the stream, for its rest and for a later attempt of the caller. */
  private noteOrigin({ placement }: Send): void {
    const { request, context } = this.call;
    const { service, build } = placement.engine.record;
    this.call.requiredBuild = { build };
    this.call.isOriginNoted = true;
    context.streamOrigins.note(request.resumes ?? request.id, { service, build });
  }

  /** Whether the engine has restarted since it was chosen to continue a stream, with another build. */
  private isOfOtherBuild({ placement }: Send): boolean {
    const { requiredBuild, context } = this.call;
    if (!requiredBuild) return false;
    const current = context.registry.findByName(placement.engine.record.name)?.record;
    return current !== undefined && current.build !== requiredBuild.build;
  }

  private responseMode(head: ResponseHead): ResponseMode {
    const { route } = this.call.grant as Grant;
    const isStream = route.isStreaming && isEventStream(head);
    return { isStream, isResumable: isStream && route.isResumable };
  }

  /** Cancels a send whose response can't be used and handles it as a failure. */
  private failSend(send: Send, failure: ExchangeFailure): void {
    send.cancel();
    this.onFailure(send, failure);
  }

  /** Records the failure; a send that did not reach its engine is not counted as an attempt. */
  private recordFailure(send: Send, failure: ExchangeFailure): void {
    const { call } = this;
    if (recordFailedSend(send, failure, this.context)) call.mayHaveRun = true;
    else call.crashes.noteNotRun();
    if (failure.kind !== 'not-sent') return;
    call.sends -= 1;
    call.connectFailures += 1;
  }

  private retryOrEnd(failure: ExchangeFailure): void {
    const decision = this.retries.decide(failure);
    if (decision.kind === 'abort') this.ending.abort(decision.detail);
    else if (decision.kind === 'reject') {
      const { reason, detail } = decision;
      this.ending.reject(reason, detail === undefined ? {} : { detail });
    } else this.sendAgain();
  }

  private sendAgain(): void {
    if (this.dispatch.admit()) this.dispatch.dispatch();
  }

  private onCallerDisconnect(): void {
    if (!this.call.isFinished) this.ending.abandon();
  }
}
