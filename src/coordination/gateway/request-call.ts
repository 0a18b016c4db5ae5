/**
 * One request from its arrival to its answer: admission, choice of an engine, sends, retries, resumed
 * streams, deadlines.
 *
 * What may be told the caller hangs on two facts that only grow: whether a send may have run
 * (`mayHaveRun`), and whether the head of an answer was written (`hasBegun`). A refusal with a promise
 * (503) is given only while neither holds.
 */
import type { Timer } from '../../runtime/clock.js';
import type { AnswerHead, ExchangeFailure } from '../../protocol/inference/port.js';
import type { Service } from '../../state/routing/configuration.js';
import { sharedTokensOf } from '../../state/routing/prompt-sources.js';
import type { Placement, PlacementFailure } from '../../state/routing/placement.js';
import { RejectionReason } from '../../state/routing/rejection.js';
import { logFinish, logQuotaDenial, logSend, logSendFailure } from './call-log.js';
import { noteFailedSend, rejectionReasonOf } from './failed-send.js';
import { type AnswerMode, CallAnswer } from './call-answer.js';
import { CallCrashes } from './call-crashes.js';
import { CallQuota } from './call-quota.js';
import { CallState } from './call-state.js';
import { SendTimeouts, type SendTimeoutReason } from './send-timeouts.js';
import type { EngineRestart } from './engine-incarnation-tracker.js';
import { belongsToPreviousIncarnation } from './previous-incarnation.js';
import type { GatewayContext } from './gateway-context.js';
import { type Grant, admitRequest, serviceOf } from './request-admission.js';
import { CRASHES_ENGINES, LARGER_THAN_LIMIT } from './final-answers.js';
import type { QuotaDenial } from './quota/tenant-quotas.js';
import type { InboundRequest, OwnAnswer, Reply } from './reply.js';
import type { RejectionDetails } from './rejections.js';
import { Send, type SendEvents, placeCall, sendOptionsOf, engineWaitMs } from './send.js';

/** Connections that may fail for one request before it is refused. */
const MAXIMUM_CONNECT_FAILURES = 3;
/** With less time than this left, a send would be for nothing. */
const MINIMUM_BUDGET_MS = 15;
const SERVER_ERROR = 500;

/** A request on its way. */
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
  private readonly patience: SendTimeouts;
  private readonly answer: CallAnswer;
  /** Sent though the estimate said that it would end too late. */
  private isSample = false;
  private readonly crashes: CallCrashes;
  private readonly quota: CallQuota;

  constructor(
    private readonly request: InboundRequest,
    private readonly reply: Reply,
    private readonly context: GatewayContext,
    private readonly onFinished: () => void,
  ) {
    this.answer = new CallAnswer(reply);
    this.patience = new SendTimeouts(context.clock, (reason) => this.onImpatient(reason));
    this.crashes = new CallCrashes(request, context.crashes, () => this.grant);
    this.quota = new CallQuota(request, context.quotas);
  }

  start(): void {
    this.context.statistics.requests += 1;
    this.reply.onClose(() => this.abandon());
    this.reply.onDrain(() => this.send?.resume());
    if (!this.admit()) return;
    const { route } = this.grant as Grant;
    const limitMs = Math.min(route.timeoutMs, this.request.budgetMs ?? Infinity);
    this.deadlineMs = this.request.arrivedMs + limitMs;
    this.deadlineTimer = this.context.clock.setTimer(this.remainingMs, () => this.onDeadline());
    this.dispatch();
  }

  onHead(send: Send, head: AnswerHead): void {
    this.patience.cancel();
    this.state = CallState.Answering;
    if (!head.isAttested) {
      this.giveUpSend(send, { kind: 'unknown', reason: `unattested-${head.status}` });
      return;
    }
    if (head.status >= SERVER_ERROR && this.mayRepeat) {
      this.context.health.noteFailure(send.engineId, this.now);
      this.mayHaveRun = true;
      if (this.hasBegun || this.canSendAgain()) {
        this.giveUpSend(send, { kind: 'unknown', reason: `engine-status-${head.status}` });
        return;
      }
    }
    if (!this.hasBegun) this.answer.takeHead(head, this.answerMode(head));
    if (this.hasBegun) this.watchStall();
  }

  onChunk(send: Send, chunk: Uint8Array): void {
    if (this.hasBegun && this.grant?.route.isResumable) this.watchStall();
    if (!this.answer.takeChunk(chunk, this.now)) send.pause();
  }

  onEnd(send: Send): void {
    this.answer.takeEnd();
    if ((this.answer.status ?? SERVER_ERROR) < SERVER_ERROR) this.crashes.noteGoodEnd();
    this.context.statistics.answered += 1;
    if (this.isSample) this.context.statistics.tooLateSamplesInTime += 1;
    this.finish('answered', 0, send.engineId);
  }

  onFailure(send: Send, failure: ExchangeFailure): void {
    this.patience.cancel();
    this.answer.drop();
    this.state = CallState.Choosing;
    this.excluded.add(send.engineId);
    this.judge(send, failure);
    this.crashes.noteFailure(send.engineId, failure, this.now - send.sentMs);
    logSendFailure(
      { request: this.request.id, send: this.sends, engine: send.engineId },
      failure,
      this.crashes.knownFingerprint,
      this.context.logger,
    );
    if (this.hasBegun) this.resumeElsewhere(failure);
    else this.tryAgain(failure);
  }

  /** Ends the request where it is the one that entered quarantine. */
  endIfQuarantined(fingerprint: string): void {
    if (this.state === CallState.Finished || !this.crashes.matches(fingerprint)) return;
    this.send?.cancel();
    this.turnAwayQuarantined();
  }

  /** Ends the request because the process ends. */
  endForStop(): void {
    if (this.hasBegun) this.abort('stopping');
    else this.reject(RejectionReason.Stopping);
  }

  /** Whether the caller has been given the head of an answer. */
  private get hasBegun(): boolean {
    return this.answer.hasBegun;
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

  /** Admits the request, or answers it; call before each dispatch. */
  private admit(): boolean {
    const admission = admitRequest(this.request, this.context);
    if (admission.kind === 'granted') {
      this.grant = admission.grant;
      if (!this.crashes.isQuarantined) return true;
      this.turnAwayQuarantined();
      return false;
    }
    if (admission.kind === 'rejected')
      this.reject(admission.reason, { priority: admission.priority });
    else this.deny(admission.answer);
    return false;
  }

  /** Chooses an engine and sends; answers the caller where that can't be done. */
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
    else if (!this.endsInTime(placed)) return;
    else if (this.quota.isGranted) this.sendTo(placed, grant, this.service);
    else this.askQuota(placed, grant, this.service);
  }

  private rejectUnplaced(reason: PlacementFailure, service: Service): void {
    this.reject(reason, { engineWaitMs: engineWaitMs(reason, service, this.context) });
  }

  /** Sends if the tenant's limit allows it. */
  private askQuota(placement: Placement, grant: Grant, service: Service): void {
    let isImmediate = true;
    this.quota.ask(grant.tenant, (decision) => {
      if (decision.kind === 'denied') this.denyBeyondLimit(decision);
      else if (isImmediate) this.sendTo(placement, grant, service);
      // What was chosen before another router was asked may be out of date.
      else if (this.admit()) this.dispatch();
    });
    isImmediate = false;
  }

  private denyBeyondLimit(denial: QuotaDenial): void {
    const { rejections, logger } = this.context;
    const { retryAfterMs } = denial;
    logQuotaDenial(this.request.id, this.grant?.tenant?.name, denial, logger);
    if (this.hasBegun) this.abort('quota');
    else if (retryAfterMs === undefined) this.refuse(LARGER_THAN_LIMIT);
    else this.refuse(rejections.beyondLimit(retryAfterMs));
  }

  /** Whether the placed request may end before its deadline; rejects it where that is not expected. */
  private endsInTime(placement: Placement): boolean {
    const { generation } = this.request;
    // What may have run has no other answer to hope for than that of the next send.
    if (!generation || this.mayHaveRun || this.hasBegun) return true;
    const verdict = this.context.rejections.admit(generation, placement, this.remainingMs);
    this.isSample = verdict.kind === 'sample';
    if (verdict.kind !== 'too-late') return true;
    this.reject(RejectionReason.TooLate, { excessMs: verdict.excessMs });
    return false;
  }

  private sendTo(placement: Placement, grant: Grant, service: Service): void {
    this.sends += 1;
    if (this.sends === 1) this.noteFirstSend(service);
    else this.context.statistics.repeatedSends += 1;
    if (this.mayHaveRun) this.quota.chargeAgain();
    const resumeAfter = this.answer.lastEventId ?? this.request.resumeAfter;
    const options = sendOptionsOf(placement, grant, this.remainingMs, resumeAfter);
    logSend(this.request.id, this.sends, placement, this.context);
    this.state = CallState.Sent;
    this.startPatience(grant);
    this.send = new Send(placement, this.request, options, this, this.context);
  }

  private noteFirstSend(service: Service): void {
    this.context.retryBudgets.of(service.name).noteRequest(this.now);
    const { generation } = this.request;
    if (!generation) return;
    this.context.requestRate.note(generation.model, 1, this.now);
    const ownTokens = generation.promptTokens - sharedTokensOf(generation);
    this.context.ownTokenRate.note(generation.model, ownTokens, this.now);
  }

  private answerMode(head: AnswerHead): AnswerMode {
    const { route } = this.grant as Grant;
    return { isStream: route.isStreaming && head.status < 300, isResumable: route.isResumable };
  }

  /** Cancels a send whose answer is of no use and goes on as if it had failed. */
  private giveUpSend(send: Send, failure: ExchangeFailure): void {
    send.cancel();
    this.onFailure(send, failure);
  }

  /** Takes note of the failure; a send that did not reach its engine does not count as one. */
  private judge(send: Send, failure: ExchangeFailure): void {
    if (noteFailedSend(send.engineId, failure, this.context)) this.mayHaveRun = true;
    if (failure.kind !== 'not-sent') return;
    this.sends -= 1;
    this.connectFailures += 1;
  }

  /** Another engine before any part of an answer was given. */
  private tryAgain(failure: ExchangeFailure): void {
    if (failure.kind === 'not-sent' && this.connectFailures > MAXIMUM_CONNECT_FAILURES) {
      this.reject(RejectionReason.EnginesUnreachable);
      return;
    }
    const isSafe = this.mayRepeat || !this.mayHaveRun;
    const isRepeated = isSafe && this.canSendAgain() && !this.crashes.mayHaveCaused(failure);
    if (!isRepeated || !this.spendRetry(failure)) {
      this.reject(rejectionReasonOf(failure), { detail: failure.reason });
      return;
    }
    if (this.admit()) this.dispatch();
  }

  /** The rest of a stream from another engine. */
  private resumeElsewhere(failure: ExchangeFailure): void {
    const isResumable = this.grant?.route.isResumable ?? false;
    const isResumed = isResumable && this.canSendAgain() && !this.crashes.mayHaveCaused(failure);
    if (!isResumed || !this.spendRetry(failure)) {
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

  /** A send that did not reach its engine costs nothing. */
  private spendRetry(failure: ExchangeFailure): boolean {
    if (failure.kind === 'not-sent' || !this.service) return true;
    const budget = this.context.retryBudgets.of(this.service.name);
    return budget.trySpend(this.now, this.context.group.size);
  }

  private startPatience(grant: Grant): void {
    if (!this.mayRepeat || this.sends >= grant.route.maximumAttempts) return;
    this.patience.awaitAnswer(grant.route.objectiveMs, this.remainingMs);
  }

  /** Starts the wait for the next part of a stream that could continue elsewhere. */
  private watchStall(): void {
    if (this.grant?.route.isResumable) this.patience.awaitPart();
    else this.patience.cancel();
  }

  private onImpatient(reason: SendTimeoutReason): void {
    const { send } = this;
    if (!send || this.state === CallState.Finished) return;
    if (!this.canSendAgain() || !this.hasAlternative(send)) return;
    this.giveUpSend(send, { kind: 'unknown', reason });
  }

  /** Whether the request could really go on elsewhere: an engine is open and a retry is left. */
  private hasAlternative(send: Send): boolean {
    const { grant, service, context } = this;
    if (!grant || !service) return false;
    const budget = context.retryBudgets.of(service.name);
    if (!budget.canSpend(this.now, context.group.size)) return false;
    const excluded = new Set([...this.excluded, send.engineId]);
    return typeof placeCall(this.request, grant, service, excluded, context) !== 'string';
  }

  /** An engine has started again: what only its former life can have is broken. */
  breakFormerLife(rebirth: EngineRestart): void {
    if (!this.send || this.state === CallState.Finished) return;
    const isFormer = belongsToPreviousIncarnation(this.send, rebirth, this.context.clock);
    if (isFormer) this.send.breakOff('engine-reborn');
  }

  private onDeadline(): void {
    this.send?.cancel();
    if (this.sends > 0 && !this.isSample) this.context.statistics.admittedPastDeadline += 1;
    if (this.hasBegun) this.abort('deadline');
    else if (this.sends > 0) this.refuse({ status: 504, reason: 'deadline' });
    else this.reject(RejectionReason.NoTimeLeft);
  }

  private abandon(): void {
    if (this.state === CallState.Finished) return;
    this.send?.cancel();
    this.context.statistics.abandonedByCaller += 1;
    this.finish('caller-left', 0, this.send?.engineId);
  }

  /**
   * The last answer: a promise that nothing ran where that is so, with a time to come back; else the
   * detail of what failed.
   */
  private reject(reason: RejectionReason, details: RejectionDetails = {}): void {
    this.send?.cancel();
    const { detail = reason, ...known } = details;
    const isUnanswered = this.state === CallState.Sent;
    if (this.hasBegun) this.abort(detail);
    else if (this.mayHaveRun || isUnanswered) this.refuse({ status: 502, reason: detail });
    else {
      const service = this.service?.name ?? '';
      const priority = this.grant?.priority ?? 0;
      this.refuse(this.context.rejections.answer({ reason, service, priority, ...known }));
    }
  }

  /** An answer that holds for good, unless something has run already. */
  private deny(answer: OwnAnswer): void {
    if (this.hasBegun) this.abort(answer.reason);
    else if (this.mayHaveRun) this.refuse({ status: 502, reason: answer.reason });
    else this.refuse(answer);
  }

  /** Final, whatever ran before: no time to come back, since no engine will ever serve it. */
  private turnAwayQuarantined(): void {
    this.context.statistics.quarantineRejections += 1;
    if (this.hasBegun) this.abort(CRASHES_ENGINES.reason);
    else this.refuse(CRASHES_ENGINES);
  }

  private refuse(answer: OwnAnswer): void {
    if (answer.status === 503) this.context.statistics.refused += 1;
    else this.context.statistics.failed += 1;
    this.reply.refuse(answer);
    this.finish(answer.reason, answer.status, this.send?.engineId);
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
    this.patience.cancel();
    this.quota.end(this.mayHaveRun || this.hasBegun || isUnanswered);
    if (this.service && this.sends > 0) this.context.rejections.noteFinish(this.service.name);
    const end = {
      outcome,
      ownStatus,
      answerStatus: this.answer.status,
      route: this.grant?.route.name,
      fingerprint: this.crashes.knownFingerprint,
      engine,
      sends: this.sends,
      firstChunkMs: this.answer.firstChunkMs,
    };
    logFinish(this.request, end, this.context);
    this.onFinished();
  }
}
