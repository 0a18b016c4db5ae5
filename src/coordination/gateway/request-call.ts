/**
 * Handles one request from arrival to response: admission, choice of an engine, sends, retries,
 * resumed streams and deadlines.
 *
 * Which responses are allowed depends on two flags that are never reset: whether a send may have
 * run (`mayHaveRun`), and whether a response head was sent to the caller (`hasBegun`). A 503, which
 * guarantees that nothing ran, is sent only while both are false.
 */
import type { Timer } from '../../runtime/clock.js';
import type { ResponseHead, ExchangeFailure } from '../../protocol/inference/port.js';
import type { Service } from '../../state/routing/configuration.js';
import { sharedTokensOf } from '../../state/routing/prompt-sources.js';
import type { Placement, PlacementFailure } from '../../state/routing/placement.js';
import { RejectionReason } from '../../state/routing/rejection.js';
import { logFinish, logQuotaDenial, logSend, logSendFailure } from './call-log.js';
import { recordFailedSend, rejectionReasonOf } from './failed-send.js';
import { type ResponseMode, CallResponse } from './call-response.js';
import { CallCrashes } from './call-crashes.js';
import { CallQuota } from './call-quota.js';
import { CallState } from './call-state.js';
import { SendTimeouts, type SendTimeoutReason } from './send-timeouts.js';
import type { EngineRestart } from './engine-incarnation-tracker.js';
import { belongsToPreviousIncarnation } from './previous-incarnation.js';
import type { GatewayContext } from './gateway-context.js';
import { type Grant, admitRequest, serviceOf } from './request-admission.js';
import { REQUEST_CRASHES_ENGINES, REQUEST_EXCEEDS_LIMIT } from './permanent-rejections.js';
import type { QuotaDenial } from './quota/tenant-quotas.js';
import type { InboundRequest, RouterResponse, Reply } from './reply.js';
import type { RejectionDetails } from './rejections.js';
import { Send, type SendEvents, placeCall, sendOptionsOf, engineWaitMs } from './send.js';

/** Failed connections allowed for one request before it is rejected. */
const MAXIMUM_CONNECT_FAILURES = 3;
/** Shortest remaining time in which a send can succeed. */
const MINIMUM_BUDGET_MS = 15;
const SERVER_ERROR = 500;

/** The state machine of one request. */
export class RequestCall implements SendEvents {
  private state = CallState.Choosing;
  private grant: Grant | undefined;
  private service: Service | undefined;
  private send: Send | undefined;
  private sends = 0;
  private connectFailures = 0;
  private readonly excluded = new Set<string>();
  private mayHaveRun = false;
  private deadlineMs = Infinity;
  private deadlineTimer: Timer | undefined;
  private readonly sendTimeouts: SendTimeouts;
  private readonly response: CallResponse;
  /** Sent as a sample although the estimate predicted a missed deadline. */
  private isSample = false;
  private readonly crashes: CallCrashes;
  private readonly quota: CallQuota;

  constructor(
    private readonly request: InboundRequest,
    private readonly reply: Reply,
    private readonly context: GatewayContext,
    private readonly onFinished: () => void,
  ) {
    this.response = new CallResponse(reply);
    this.sendTimeouts = new SendTimeouts(context.clock, (reason) => this.onSendTimeout(reason));
    this.crashes = new CallCrashes(request, context.crashes, () => this.grant);
    this.quota = new CallQuota(request, context.quotas);
  }

  start(): void {
    this.context.statistics.requests += 1;
    this.reply.onClose(() => this.onCallerDisconnect());
    this.reply.onDrain(() => this.send?.resume());
    if (!this.admit()) return;
    const { route } = this.grant as Grant;
    const limitMs = Math.min(route.timeoutMs, this.request.budgetMs ?? Infinity);
    this.deadlineMs = this.request.arrivedMs + limitMs;
    this.deadlineTimer = this.context.clock.setTimer(this.remainingMs, () => this.onDeadline());
    this.dispatch();
  }

  onHead(send: Send, head: ResponseHead): void {
    this.sendTimeouts.cancel();
    this.state = CallState.Answering;
    if (!head.isAttested) {
      this.failSend(send, { kind: 'unknown', reason: `unattested-${head.status}` });
      return;
    }
    if (head.status >= SERVER_ERROR && this.mayRepeat) {
      this.context.health.noteFailure(send.engineId, this.now);
      this.mayHaveRun = true;
      if (this.hasBegun || this.canSendAgain()) {
        this.failSend(send, { kind: 'unknown', reason: `engine-status-${head.status}` });
        return;
      }
    }
    if (!this.hasBegun) this.response.handleHead(head, this.responseMode(head));
    if (this.hasBegun) this.updateStallTimeout();
  }

  onChunk(send: Send, chunk: Uint8Array): void {
    if (this.hasBegun && this.grant?.route.isResumable) this.updateStallTimeout();
    if (!this.response.handleChunk(chunk, this.now)) send.pause();
  }

  onEnd(send: Send): void {
    this.response.handleEnd();
    if ((this.response.status ?? SERVER_ERROR) < SERVER_ERROR) this.crashes.noteSuccess();
    this.context.statistics.answered += 1;
    if (this.isSample) this.context.statistics.tooLateSamplesInTime += 1;
    this.finish('answered', 0, send.engineId);
  }

  onFailure(send: Send, failure: ExchangeFailure): void {
    this.sendTimeouts.cancel();
    this.response.discardPending();
    this.state = CallState.Choosing;
    this.excluded.add(send.engineId);
    this.recordFailure(send, failure);
    this.crashes.noteFailure(send.engineId, failure, this.now - send.sentMs);
    logSendFailure(
      { request: this.request.id, send: this.sends, engine: send.engineId },
      failure,
      this.crashes.computedFingerprint,
      this.context.logger,
    );
    if (this.hasBegun) this.resumeStream(failure);
    else this.retryOnAnotherEngine(failure);
  }

  /** Rejects the request if it has the fingerprint that was quarantined. */
  endIfQuarantined(fingerprint: string): void {
    if (this.state === CallState.Finished || !this.crashes.matches(fingerprint)) return;
    this.send?.cancel();
    this.rejectQuarantined();
  }

  /** Ends the request because the router shuts down. */
  endForShutdown(): void {
    if (this.hasBegun) this.abort('stopping');
    else this.reject(RejectionReason.Stopping);
  }

  /** Whether a response head was sent to the caller. */
  private get hasBegun(): boolean {
    return this.response.hasBegun;
  }

  private get now(): number {
    return this.context.clock.now();
  }

  private get remainingMs(): number {
    return this.deadlineMs - this.now;
  }

  private get mayRepeat(): boolean {
    return this.grant?.route.isRepeatable ?? false;
  }

  /** Admits the request or rejects it; called before each dispatch. */
  private admit(): boolean {
    const admission = admitRequest(this.request, this.context);
    if (admission.kind === 'granted') {
      this.grant = admission.grant;
      if (!this.crashes.isQuarantined) return true;
      this.rejectQuarantined();
      return false;
    }
    if (admission.kind === 'rejected')
      this.reject(admission.reason, { priority: admission.priority });
    else this.deny(admission.response);
    return false;
  }

  /** Chooses an engine and sends the request to it; rejects the request if that is not possible. */
  private dispatch(): void {
    const grant = this.grant as Grant;
    this.service ??= serviceOf(grant, this.context);
    if (!this.service) {
      this.reject(RejectionReason.NoService);
      return;
    }
    if (this.remainingMs < MINIMUM_BUDGET_MS) {
      this.reject(RejectionReason.NoTimeLeft);
      return;
    }
    const placed = placeCall(this.request, grant, this.service, this.excluded, this.context);
    if (typeof placed === 'string') this.rejectUnplaced(placed, this.service);
    else if (!this.meetsDeadline(placed)) return;
    else if (this.quota.isGranted) this.sendTo(placed, grant, this.service);
    else this.acquireQuota(placed, grant, this.service);
  }

  private rejectUnplaced(reason: PlacementFailure, service: Service): void {
    this.reject(reason, { engineWaitMs: engineWaitMs(reason, service, this.context) });
  }

  /** Sends the request if the tenant's limit allows it. */
  private acquireQuota(placement: Placement, grant: Grant, service: Service): void {
    let isImmediate = true;
    this.quota.acquire(grant.tenant, (decision) => {
      if (decision.kind === 'denied') this.rejectOverQuota(decision);
      else if (isImmediate) this.sendTo(placement, grant, service);
      // The chosen engine may be outdated by the time the quota owner responds.
      else if (this.admit()) this.dispatch();
    });
    isImmediate = false;
  }

  private rejectOverQuota(denial: QuotaDenial): void {
    const { rejections, logger } = this.context;
    const { retryAfterMs } = denial;
    logQuotaDenial(this.request.id, this.grant?.tenant?.name, denial, logger);
    if (this.hasBegun) this.abort('quota');
    else if (retryAfterMs === undefined) this.refuse(REQUEST_EXCEEDS_LIMIT);
    else this.refuse(rejections.overQuota(retryAfterMs));
  }

  /** Whether the placed request may end before its deadline; rejects it if that is not expected. */
  private meetsDeadline(placement: Placement): boolean {
    const { generation } = this.request;
    // A request that may have run can only be answered by another send.
    if (!generation || this.mayHaveRun || this.hasBegun) return true;
    const verdict = this.context.rejections.admit(generation, placement, this.remainingMs);
    this.isSample = verdict.kind === 'sample';
    if (verdict.kind !== 'too-late') return true;
    this.reject(RejectionReason.TooLate, { excessMs: verdict.excessMs });
    return false;
  }

  private sendTo(placement: Placement, grant: Grant, service: Service): void {
    this.sends += 1;
    if (this.sends === 1) this.recordFirstSend(service);
    else this.context.statistics.repeatedSends += 1;
    if (this.mayHaveRun) this.quota.chargeAgain();
    const resumeAfter = this.response.lastEventId ?? this.request.resumeAfter;
    const options = sendOptionsOf(placement, grant, this.remainingMs, resumeAfter);
    logSend(this.request.id, this.sends, placement, this.context);
    this.state = CallState.Sent;
    this.startFailoverTimeout(grant);
    this.send = new Send(placement, this.request, options, this, this.context);
  }

  private recordFirstSend(service: Service): void {
    this.context.retryBudgets.of(service.name).noteRequest(this.now);
    const { generation } = this.request;
    if (!generation) return;
    this.context.requestRate.record(generation.model, 1, this.now);
    const ownTokens = generation.promptTokens - sharedTokensOf(generation);
    this.context.ownTokenRate.record(generation.model, ownTokens, this.now);
  }

  private responseMode(head: ResponseHead): ResponseMode {
    const { route } = this.grant as Grant;
    return { isStream: route.isStreaming && head.status < 300, isResumable: route.isResumable };
  }

  /** Cancels a send whose response can't be used and handles it as a failure. */
  private failSend(send: Send, failure: ExchangeFailure): void {
    send.cancel();
    this.onFailure(send, failure);
  }

  /** Records the failure; a send that did not reach its engine is not counted as an attempt. */
  private recordFailure(send: Send, failure: ExchangeFailure): void {
    if (recordFailedSend(send.engineId, failure, this.context)) this.mayHaveRun = true;
    if (failure.kind !== 'not-sent') return;
    this.sends -= 1;
    this.connectFailures += 1;
  }

  /** Retries on another engine before any part of a response was sent to the caller. */
  private retryOnAnotherEngine(failure: ExchangeFailure): void {
    if (failure.kind === 'not-sent' && this.connectFailures > MAXIMUM_CONNECT_FAILURES) {
      this.reject(RejectionReason.EnginesUnreachable);
      return;
    }
    const isSafe = this.mayRepeat || !this.mayHaveRun;
    const isRepeated = isSafe && this.canSendAgain() && !this.crashes.isSuspectedCause(failure);
    if (!isRepeated || !this.spendRetryBudget(failure)) {
      this.reject(rejectionReasonOf(failure), { detail: failure.reason });
      return;
    }
    if (this.admit()) this.dispatch();
  }

  /** Resumes a stream on another engine. */
  private resumeStream(failure: ExchangeFailure): void {
    const isResumable = this.grant?.route.isResumable ?? false;
    const isResumed = isResumable && this.canSendAgain() && !this.crashes.isSuspectedCause(failure);
    if (!isResumed || !this.spendRetryBudget(failure)) {
      this.abort(failure.reason);
      return;
    }
    this.context.statistics.resumedStreams += 1;
    if (this.admit()) this.dispatch();
  }

  private canSendAgain(): boolean {
    const limit = this.grant?.route.maximumAttempts ?? 1;
    return this.sends < limit && this.remainingMs >= MINIMUM_BUDGET_MS;
  }

  /** Spends from the retry budget; a send that did not reach its engine is free. */
  private spendRetryBudget(failure: ExchangeFailure): boolean {
    if (failure.kind === 'not-sent' || !this.service) return true;
    const budget = this.context.retryBudgets.of(this.service.name);
    return budget.trySpend(this.now, this.context.group.size);
  }

  private startFailoverTimeout(grant: Grant): void {
    if (!this.mayRepeat || this.sends >= grant.route.maximumAttempts) return;
    this.sendTimeouts.startResponseTimeout(grant.route.objectiveMs, this.remainingMs);
  }

  /** Restarts the stall timeout for a resumable stream. */
  private updateStallTimeout(): void {
    if (this.grant?.route.isResumable) this.sendTimeouts.restartStallTimeout();
    else this.sendTimeouts.cancel();
  }

  private onSendTimeout(reason: SendTimeoutReason): void {
    const { send } = this;
    if (!send || this.state === CallState.Finished) return;
    if (!this.canSendAgain() || !this.canFailOver(send)) return;
    this.failSend(send, { kind: 'unknown', reason });
  }

  /** Whether another engine is available and the retry budget allows a retry. */
  private canFailOver(send: Send): boolean {
    const { grant, service, context } = this;
    if (!grant || !service) return false;
    const budget = context.retryBudgets.of(service.name);
    if (!budget.canSpend(this.now, context.group.size)) return false;
    const excluded = new Set([...this.excluded, send.engineId]);
    return typeof placeCall(this.request, grant, service, excluded, context) !== 'string';
  }

  /**
   * Fails the send if only the previous incarnation of the restarted engine can have received it.
   */
  failSendToPreviousIncarnation(restart: EngineRestart): void {
    if (!this.send || this.state === CallState.Finished) return;
    const isAffected = belongsToPreviousIncarnation(this.send, restart, this.context.clock);
    if (isAffected) this.send.failAsDisconnected('engine-reborn');
  }

  private onDeadline(): void {
    this.send?.cancel();
    if (this.sends > 0 && !this.isSample) this.context.statistics.admittedPastDeadline += 1;
    if (this.hasBegun) this.abort('deadline');
    else if (this.sends > 0) this.refuse({ status: 504, reason: 'deadline' });
    else this.reject(RejectionReason.NoTimeLeft);
  }

  private onCallerDisconnect(): void {
    if (this.state === CallState.Finished) return;
    this.send?.cancel();
    this.context.statistics.abandonedByCaller += 1;
    this.finish('caller-left', 0, this.send?.engineId);
  }

  /**
   * Sends the final response: a rejection with a retry delay if nothing ran, otherwise an error
   * with the detail of the failure.
   */
  private reject(reason: RejectionReason, details: RejectionDetails = {}): void {
    this.send?.cancel();
    const { detail = reason, ...estimates } = details;
    const isUnanswered = this.state === CallState.Sent;
    if (this.hasBegun) this.abort(detail);
    else if (this.mayHaveRun || isUnanswered) this.refuse({ status: 502, reason: detail });
    else {
      const service = this.service?.name ?? '';
      const priority = this.grant?.priority ?? 0;
      this.refuse(this.context.rejections.responseTo({ reason, service, priority, ...estimates }));
    }
  }

  /** Sends a permanent rejection, unless something may have run already. */
  private deny(response: RouterResponse): void {
    if (this.hasBegun) this.abort(response.reason);
    else if (this.mayHaveRun) this.refuse({ status: 502, reason: response.reason });
    else this.refuse(response);
  }

  /**
   * Rejects a quarantined request permanently, even if it may have run: no engine will serve it.
   */
  private rejectQuarantined(): void {
    this.context.statistics.quarantineRejections += 1;
    if (this.hasBegun) this.abort(REQUEST_CRASHES_ENGINES.reason);
    else this.refuse(REQUEST_CRASHES_ENGINES);
  }

  private refuse(response: RouterResponse): void {
    if (response.status === 503) this.context.statistics.refused += 1;
    else this.context.statistics.failed += 1;
    this.reply.refuse(response);
    this.finish(response.reason, response.status, this.send?.engineId);
  }

  private abort(reason: string): void {
    this.context.statistics.failed += 1;
    this.reply.abort();
    this.finish(`aborted-${reason}`, 0, this.send?.engineId);
  }

  private finish(outcome: string, ownStatus: number, engine: string | undefined): void {
    const isUnanswered = this.state === CallState.Sent || this.state === CallState.Answering;
    this.state = CallState.Finished;
    this.deadlineTimer?.cancel();
    this.sendTimeouts.cancel();
    this.quota.end(this.mayHaveRun || this.hasBegun || isUnanswered);
    if (this.service && this.sends > 0) this.context.rejections.noteFinish(this.service.name);
    const end = {
      outcome,
      ownStatus,
      answerStatus: this.response.status,
      route: this.grant?.route.name,
      fingerprint: this.crashes.computedFingerprint,
      engine,
      sends: this.sends,
      firstChunkMs: this.response.firstChunkMs,
    };
    logFinish(this.request, end, this.context);
    this.onFinished();
  }
}
