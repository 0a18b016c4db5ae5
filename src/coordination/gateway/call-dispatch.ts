/** Brings one request to an engine: its grant, the choice of the engine, its quota and its wait. */
import { sharedTokensOf } from '../../state/routing/prompt-sources.js';
import type { Service } from '../../state/routing/configuration.js';
import type { Placement, PlacementFailure } from '../../state/routing/placement.js';
import { RejectionReason } from '../../state/routing/rejection.js';
import { SendAttempt } from './admission/waiting-call.js';
import type { CallEnding } from './call-ending.js';
import { logQuotaDenial, logSend, logTakenUp, logTooLate } from './call-log.js';
import { type CallRecord, MINIMUM_BUDGET_MS } from './call-record.js';
import { CallState } from './call-state.js';
import { CallWaiting } from './call-waiting.js';
import { isRunning, mayHaveRestarted } from './continuation-check.js';
import type { EngineRoute } from './engine-path/engine-forwarding.js';
import { REQUEST_EXCEEDS_LIMIT } from './permanent-rejections.js';
import type { OriginFinding } from './stream-origin-questions.js';
import type { QuotaDecision, QuotaDenial } from './quota/tenant-quotas.js';
import { type Grant, admitRequest, serviceOf } from './request-admission.js';
import { engineWaitMs, placeCall, sendOptionsOf } from './call-placement.js';
import { Send, type SendEvents } from './send.js';
import { CallStep } from './step-guard.js';

/** Dispatches one request, at its arrival and again after each failed send. */
export class CallDispatch {
  private readonly waiting: CallWaiting;
  /** Checks begun before the rest of a stream is sent; only the last one counts. */
  private checks = 0;

  constructor(
    private readonly call: CallRecord,
    private readonly ending: CallEnding,
    private readonly events: SendEvents,
    /** Called right before a send. */
    private readonly onSend: (grant: Grant) => void,
  ) {
    this.waiting = new CallWaiting(call, ending, () => this.trySend());
  }

  /** Admits the request or rejects it; called before each dispatch. */
  admit(): boolean {
    const { call, ending } = this;
    const admission = admitRequest(call.request, call.context);
    if (admission.kind === 'granted') {
      call.grant = admission.grant;
      const { quarantined, awaitsTrial } = call.crashes;
      if (quarantined !== undefined) ending.rejectQuarantined(quarantined);
      else if (awaitsTrial) ending.rejectUntilTried();
      else return true;
      return false;
    }
    if (admission.kind === 'rejected')
      ending.reject(admission.reason, { priority: admission.priority });
    else ending.deny(admission.response);
    return false;
  }

  /**
   * Chooses an engine and sends the request to it; otherwise the request waits for capacity, or is
   * rejected.
   */
  dispatch(): void {
    const { call, ending } = this;
    const grant = call.grant as Grant;
    const isFirst = call.service === undefined;
    call.service ??= serviceOf(grant, call.context);
    const { service } = call;
    if (!service) {
      ending.reject(RejectionReason.NoService);
      return;
    }
    if (isFirst) this.noteTenantDemand(grant, service);
    if (isFirst && grant.route.isResumable && this.hasToWait(service)) return;
    if (call.remainingMs < MINIMUM_BUDGET_MS) {
      ending.reject(RejectionReason.NoTimeLeft);
      return;
    }
    const placed = this.place(grant, service);
    if (this.waiting.enterIfNeeded(placed, grant, service)) return;
    this.sendPlaced(placed, grant, service);
  }

  /** Whether a stream is dispatched later: its origin, or where it may begin, is not known yet. */
  private hasToWait(service: Service): boolean {
    const { request, context, guard } = this.call;
    if (request.resumeAfter !== undefined) {
      this.findOrigin(service);
      return true;
    }
    const wait = context.streamOrigins.newStreamWait;
    if (!wait) return false;
    void wait.then(() => guard.run(CallStep.Peer, () => this.dispatchAfterWait()));
    return true;
  }

  private dispatchAfterWait(): void {
    if (!this.call.isFinished && this.admit()) this.dispatch();
  }

  /** Continues a stream that its caller takes up, once the build that began it is known. */
  private findOrigin({ name }: Service): void {
    const { request, context, guard } = this.call;
    context.streamOrigins.find(request.resumes, name, (finding) =>
      guard.run(CallStep.Peer, () => this.onFinding(finding, name)),
    );
  }

  private onFinding(finding: OriginFinding, service: string): void {
    const { request, context, guard, isFinished } = this.call;
    logTakenUp(request, service, finding, context);
    if (isFinished || !this.applyFinding(finding)) return;
    const isKnown = finding.kind === 'known';
    const wait = isKnown ? context.streamOrigins.engineWait(finding.origin) : undefined;
    if (wait) void wait.then(() => guard.run(CallStep.Peer, () => this.dispatchAfterWait()));
    else this.dispatchAfterWait();
  }

  /** Restricts the request to the build that began its stream; rejects it if that can't be known. */
  private applyFinding(finding: OriginFinding): boolean {
    const { call, ending } = this;
    if (finding.kind === 'sole-build') {
      call.requiredBuild = { build: finding.build };
      return true;
    }
    const { table, route } = call.grant as Grant;
    const origin = finding.kind === 'known' ? finding.origin : undefined;
    const isTarget = route.targets.some(({ service }) => service === origin?.service);
    const service = origin && isTarget ? table.findService(origin.service) : undefined;
    if (!origin || !service) {
      call.context.statistics.unknownStreamOrigins += 1;
      ending.reject(RejectionReason.UnknownStreamOrigin);
      return false;
    }
    call.service = service;
    call.requiredBuild = { build: origin.build };
    call.isOriginNoted = true;
    return true;
  }

  private noteTenantDemand({ tenant }: Grant, { name }: Service): void {
    const { context, tokens, now } = this.call;
    context.tenantShares.noteDemand(name, tenant?.name, tokens, now);
  }

  /** Sends a request whose turn it is in the queue, if an engine has capacity for it. */
  private trySend(): SendAttempt {
    const { call, ending } = this;
    if (!this.admit()) return SendAttempt.Done;
    const grant = call.grant as Grant;
    // The configuration may have changed while the request waited.
    call.service = grant.table.findService(call.service?.name ?? '');
    const { service } = call;
    if (!service) {
      ending.reject(RejectionReason.NoService);
      return SendAttempt.Done;
    }
    if (call.remainingMs < MINIMUM_BUDGET_MS) {
      ending.reject(RejectionReason.NoTimeLeft);
      return SendAttempt.Done;
    }
    this.waiting.allowRefusingEngines();
    const placed = this.place(grant, service);
    if (this.waiting.causeOf(placed, grant, service) !== undefined) return SendAttempt.NoCapacity;
    call.state = CallState.Choosing;
    const { place } = call;
    this.waiting.noteTurn();
    this.sendPlaced(placed, grant, service);
    // A request that the attempt has ended gives up the place itself, so that it is not counted as
    // sent.
    if (call.place === place) call.place = undefined;
    return SendAttempt.Done;
  }

  private sendPlaced(placed: Placement | PlacementFailure, grant: Grant, service: Service): void {
    const { call } = this;
    if (typeof placed === 'string') this.rejectUnplaced(placed, service);
    else if (this.routeTo(placed).kind === 'unreachable')
      this.ending.reject(RejectionReason.EnginesUnreachable);
    else if (!this.endsBeforeShutdown(placed, grant) || !this.meetsDeadline(placed)) return;
    else if (call.requiredBuild && mayHaveRestarted(placed.engine.record, call.context))
      this.continueAt(placed, grant, service).catch((error: unknown) =>
        call.guard.fail(CallStep.Exchange, error),
      );
    else this.sendWithinQuota(placed, grant, service);
  }

  /** Sends the rest of a stream, unless the engine has restarted, perhaps with another build. */
  private async continueAt(placed: Placement, grant: Grant, service: Service): Promise<void> {
    const { call } = this;
    const { record } = placed.engine;
    this.checks += 1;
    const check = this.checks;
    const model = call.request.generation?.model;
    const isCurrent = model === undefined || (await isRunning(record, model, call.context));
    // A silent engine may have continued meanwhile, or failed and led to another dispatch.
    if (call.isFinished || call.isAtEngine || check !== this.checks) return;
    if (isCurrent) {
      this.sendWithinQuota(placed, grant, service);
      return;
    }
    call.excluded.add(record.id);
    if (this.admit()) this.dispatch();
  }

  private sendWithinQuota(placed: Placement, grant: Grant, service: Service): void {
    if (this.call.quota.isGranted) this.sendTo(placed, grant, service);
    else this.acquireQuota(placed, grant, service);
  }

  private place(grant: Grant, service: Service): ReturnType<typeof placeCall> {
    const { request, excluded, requiredBuild, context } = this.call;
    return placeCall({ request, grant, service, excluded, requiredBuild }, context);
  }

  private routeTo({ engine }: Placement): EngineRoute {
    return this.call.context.forwarding.routeTo(engine.record.id);
  }

  private rejectUnplaced(reason: PlacementFailure, service: Service): void {
    this.ending.reject(reason, { engineWaitMs: engineWaitMs(reason, service, this.call.context) });
  }

  /** Sends the request if the tenant's limit allows it. */
  private acquireQuota(placement: Placement, grant: Grant, service: Service): void {
    const { quota, guard } = this.call;
    let isImmediate = true;
    const onDecision = (decision: QuotaDecision): void => {
      if (decision.kind === 'denied') this.rejectOverQuota(decision);
      else if (isImmediate) this.sendTo(placement, grant, service);
      // The chosen engine may be outdated by the time the quota owner responds.
      else if (this.admit()) this.dispatch();
    };
    quota.acquire(grant.tenant, (decision) => guard.run(CallStep.Peer, () => onDecision(decision)));
    isImmediate = false;
  }

  private rejectOverQuota(denial: QuotaDenial): void {
    const { call, ending } = this;
    const { rejections, logger } = call.context;
    const { retryAfterMs } = denial;
    logQuotaDenial(call.request.id, call.grant?.tenant?.name, denial, logger);
    if (call.stalled.tryReturn('quota')) return;
    if (call.hasBegun) ending.abort('quota');
    else if (retryAfterMs === undefined) ending.refuse(REQUEST_EXCEEDS_LIMIT);
    else ending.refuse(rejections.overQuota(retryAfterMs));
  }

  /**
   * Whether the response to the placed request may be complete before this router ends; rejects the
   * request if not.
   */
  private endsBeforeShutdown(placement: Placement, grant: Grant): boolean {
    const { call } = this;
    const { shutdown } = call.context;
    if (!shutdown.isPlanned || !call.isUnstarted) return true;
    const { arrivedMs } = call.request;
    const expectedMs = (): number => this.expectedDurationMs(placement, grant);
    if (shutdown.allows({ arrivedMs, deadlineMs: call.deadlineMs }, expectedMs)) return true;
    this.ending.reject(RejectionReason.Stopping);
    return false;
  }

  /**
   * Expected time to the end of the response, in milliseconds. The length of a response that is not a
   * generation is not known. The objective may be far from it: that of a stream is for its begin, and that
   * of a batch is much longer.
   */
  private expectedDurationMs(placement: Placement, { route }: Grant): number {
    const { request, service, context } = this.call;
    const { generation } = request;
    if (generation) return context.rejections.durationMs(generation, placement);
    const { objectiveMs } = route;
    const { slots } = placement.engine.record;
    const learnedMs = service ? context.queues?.plainMs(service, slots, objectiveMs) : undefined;
    return learnedMs || objectiveMs;
  }

  /** Whether the placed request may end before its deadline; rejects it if that is not expected. */
  private meetsDeadline(placement: Placement): boolean {
    const { call } = this;
    const { generation } = call.request;
    // Once the request may have run, only another send can complete its response.
    if (!generation || call.mayHaveRun || call.hasBegun) return true;
    const verdict = call.context.rejections.admit(generation, placement, call.remainingMs);
    call.isSample = verdict.kind === 'sample';
    if (verdict.kind !== 'too-late') return true;
    logTooLate(call.request.id, placement, verdict, call.context.logger);
    this.ending.reject(RejectionReason.TooLate, { excessMs: verdict.excessMs });
    return false;
  }

  private sendTo(placement: Placement, grant: Grant, service: Service): void {
    const { call } = this;
    const { request, context } = call;
    if (!call.crashes.tryBeginSend()) {
      this.ending.rejectUntilTried();
      return;
    }
    this.waiting.noteSend();
    call.sends += 1;
    call.engineRequests = context.loads.at(placement.engine.record.id).requests + 1;
    if (call.sends === 1) this.recordFirstSend(service);
    else context.statistics.repeatedSends += 1;
    if (call.mayHaveRun) call.quota.chargeAgain();
    const resumeAfter = call.response.lastEventId ?? request.resumeAfter;
    const route = this.routeTo(placement);
    const forwarder = route.kind === 'forwarded' ? route.forwarder : undefined;
    const options = sendOptionsOf(placement, grant, call.remainingMs, resumeAfter, forwarder);
    logSend(call, placement, options, context);
    call.state = CallState.Sent;
    this.onSend(grant);
    call.send = new Send(placement, request, options, this.events, context);
  }

  private recordFirstSend(service: Service): void {
    const { request, grant, context, tokens, now } = this.call;
    context.retryBudgets.of(service.name).noteRequest(now);
    context.tenantShares.noteUse(service.name, grant?.tenant?.name, tokens, now);
    const { generation } = request;
    if (!generation) return;
    context.requestRate.record(generation.model, 1, now);
    const ownTokens = generation.promptTokens - sharedTokensOf(generation);
    context.ownTokenRate.record(generation.model, ownTokens, now);
  }
}
