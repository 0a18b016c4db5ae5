/** The wait of one request in the queue of its service. */
import type { Service } from '../../state/routing/configuration.js';
import type { Placement, PlacementFailure } from '../../state/routing/placement.js';
import { sharedTokensOf } from '../../state/routing/prompt-sources.js';
import { DEFAULT_ENGINE_SPEED } from '../../state/routing/engine-speeds.js';
import { RejectionReason } from '../../state/routing/rejection.js';
import type { RequestQueues } from './admission/request-queues.js';
import type { ServiceQueue } from './admission/service-queue.js';
import { SendAttempt, type WaitDemand, type WaitingCall } from './admission/waiting-call.js';
import type { CallEnding } from './call-ending.js';
import type { CallRecord } from './call-record.js';
import { CallState } from './call-state.js';
import type { RejectionDetails } from './rejections.js';
import type { Grant } from './request-admission.js';
import { engineWaitMs } from './call-placement.js';
import { CallStep } from './step-guard.js';

/** Lets one request wait, and ends it if the queue rejects it. */
export class CallWaiting implements WaitingCall {
  /** Whether the queue counts the request as arrived. */
  private hasArrived = false;
  /** Whether the queue has allowed the next send, which may still wait for the quota. */
  private isSendAllowed = false;

  constructor(
    private readonly call: CallRecord,
    private readonly ending: CallEnding,
    private readonly send: () => SendAttempt,
  ) {}

  trySend(): SendAttempt {
    let attempt = SendAttempt.Done;
    this.call.guard.run(CallStep.Queue, () => (attempt = this.send()));
    return attempt;
  }

  /**
   * Lets the request wait if no engine has capacity or others wait before it; rejects it if it is
   * not expected to be served in time. Returns whether either was the case.
   */
  enterIfNeeded(placed: Placement | PlacementFailure, grant: Grant, service: Service): boolean {
    const { call } = this;
    const { queues } = call.context;
    // A request that may have run can't be rejected, so it is sent as soon as possible.
    if (!queues?.isEffectiveFor(service) || !call.isUnstarted) return false;
    // The queue serves in turn, and a request for one build must not hold up those for any.
    if (this.isRestrictedAt(service)) return false;
    const queue = queues.of(service);
    if (!this.hasArrived) queue.noteArrival(grant.priority, grant.route.objectiveMs);
    this.hasArrived = true;
    const cause = this.causeOf(placed, grant, service);
    // Waiting does not help a request that no engine serves.
    if (cause === undefined && typeof placed === 'string') return false;
    const demand = (): WaitDemand =>
      this.demandOf(placed, cause ?? RejectionReason.EnginesFull, grant, service);
    if (cause === undefined && this.mayBeSentAtOnce(queue, grant, demand)) return false;
    this.enter(queues, queue, demand());
    return true;
  }

  /** Whether the request may go to a part of the service's engines only. */
  private isRestrictedAt({ name }: Service): boolean {
    const { requiredBuild, context } = this.call;
    if (!requiredBuild) return false;
    return context.registry
      .ofService(name)
      .some(({ record }) => record.build !== requiredBuild.build);
  }

  /** Records that the request may be sent, since it is its turn in the queue. */
  noteTurn(): void {
    this.isSendAllowed = true;
  }

  /** Called right before a send; the next one must be allowed anew. */
  noteSend(): void {
    this.isSendAllowed = false;
  }

  private mayBeSentAtOnce(
    queue: ServiceQueue,
    { priority }: Grant,
    demand: () => WaitDemand,
  ): boolean {
    this.isSendAllowed ||= queue.trySendAtOnce(priority, demand);
    return this.isSendAllowed;
  }

  private enter(queues: RequestQueues, queue: ServiceQueue, demand: WaitDemand): void {
    const { call } = this;
    const result = queue.enter(this, demand);
    if ('reason' in result) {
      this.reject(queues, result.reason, result.details);
      return;
    }
    this.isSendAllowed = false;
    call.place = result;
    call.state = CallState.Queued;
  }

  /** Why the request must wait; undefined if it can be sent, or if waiting does not help. */
  causeOf(
    placed: Placement | PlacementFailure,
    { route }: Grant,
    service: Service,
  ): RejectionReason | undefined {
    const { call } = this;
    const { queues } = call.context;
    if (!queues) return undefined;
    if (typeof placed !== 'string') {
      const { generation } = call.request;
      // All engines pause after rejections; sending at once would use up the attempts.
      if (call.sends > 0 && queues.isPausing(placed.engine)) return RejectionReason.EnginesFull;
      const hasCapacity = queues.hasCapacity(placed, service, generation, route.objectiveMs);
      return hasCapacity ? undefined : RejectionReason.EnginesFull;
    }
    if (placed !== RejectionReason.NoEngine) return placed;
    return call.refusedBy.size > 0 ? RejectionReason.EnginesFull : undefined;
  }

  /** Allows sends to the engines that had no capacity before the wait. */
  allowRefusingEngines(): void {
    for (const engine of this.call.refusedBy) this.call.excluded.delete(engine);
    this.call.refusedBy.clear();
  }

  rejectFromQueue(reason: RejectionReason, details: RejectionDetails): void {
    const { context, guard } = this.call;
    const { queues } = context;
    if (queues) guard.run(CallStep.Queue, () => this.reject(queues, reason, details));
  }

  private reject(queues: RequestQueues, reason: RejectionReason, details: RejectionDetails): void {
    const { request, grant } = this.call;
    if (reason !== RejectionReason.Stopping) queues.returning.note(request, grant?.tenant?.name);
    this.ending.reject(reason, details);
  }

  private demandOf(
    placed: Placement | PlacementFailure,
    cause: RejectionReason,
    grant: Grant,
    service: Service,
  ): WaitDemand {
    const { call } = this;
    const { request, context } = call;
    const tenant = grant.tenant?.name;
    const returning = context.queues?.returning.isReturning(request, tenant) ?? false;
    return {
      requestId: request.id,
      priority: grant.priority,
      tenant,
      bytes: request.body.length,
      size: request.generation?.promptTokens ?? request.body.length,
      isReturning: call.sends > 0 || returning,
      cause,
      arrivedMs: request.arrivedMs,
      objectiveMs: grant.route.objectiveMs,
      deadlineMs: call.deadlineMs,
      firstTokenMs: this.firstTokenMs(placed, grant, service),
      engineWaitMs: typeof placed === 'string' ? (engineWaitMs(placed, service, context) ?? 0) : 0,
    };
  }

  /** Time to the first token at an engine with capacity, in milliseconds. */
  private firstTokenMs(
    placed: Placement | PlacementFailure,
    { route }: Grant,
    service: Service,
  ): number {
    const { request, context } = this.call;
    const { generation } = request;
    if (!service.engine || !generation) {
      const slots = typeof placed === 'string' ? 1 : placed.engine.record.slots;
      return context.queues?.plainMs(service, slots, route.objectiveMs) ?? 0;
    }
    if (typeof placed !== 'string') {
      const { prefillTokensPerMs } = context.speeds.at(placed.engine.record.id);
      return placed.unreadTokens / prefillTokensPerMs;
    }
    const ownTokens = generation.promptTokens - sharedTokensOf(generation);
    return ownTokens / DEFAULT_ENGINE_SPEED.prefillTokensPerMs;
  }
}
