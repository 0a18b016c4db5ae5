/**
 * Facts about one request from its arrival to its response, shared by the modules that serve it.
 *
 * Which responses are allowed depends on two flags that are never reset: whether a send may have
 * run (`mayHaveRun`), and whether a response head was sent to the caller (`hasBegun`). A 503, which
 * guarantees that nothing ran, is sent only while both are false.
 */
import type { Service } from '../../state/routing/configuration.js';
import type { QueuePlace } from './admission/waiting-call.js';
import { CallCrashes } from './call-crashes.js';
import { CallQuota } from './call-quota.js';
import { CallResponse } from './call-response.js';
import { CallState } from './call-state.js';
import type { BuildRequirement } from './call-placement.js';
import type { GatewayContext } from './gateway-context.js';
import type { InboundRequest, Reply } from './reply.js';
import type { Grant } from './request-admission.js';
import type { Send } from './send.js';
import { StalledSend } from './stalled-send.js';
import { StepGuard } from './step-guard.js';

/** Shortest remaining time in which a send can succeed, in milliseconds. */
export const MINIMUM_BUDGET_MS = 15;

/** State of one request. */
export class CallRecord {
  state = CallState.Choosing;
  grant: Grant | undefined;
  service: Service | undefined;
  /** The current send, or the last one. */
  send: Send | undefined;
  /** Sends that reached an engine. */
  sends = 0;
  connectFailures = 0;
  /** Engines already tried. */
  readonly excluded = new Set<string>();
  /** Engines among the excluded that had no capacity; they may be tried again after a wait. */
  readonly refusedBy = new Set<string>();
  /** Place in the queue of the service; undefined while the request does not wait. */
  place: QueuePlace | undefined;
  /** Requests at the engine when this one was sent, itself included. */
  engineRequests = 0;
  mayHaveRun = false;
  /** Whether an engine of this request ended its connection before its response was complete. */
  wasDisconnected = false;
  /** Monotonic time; Infinity until the request was admitted. */
  deadlineMs = Infinity;
  /** Sent as a sample although the estimate predicted a missed deadline. */
  isSample = false;
  /** Set once the build that began the stream is known; undefined while any build may serve. */
  requiredBuild: BuildRequirement | undefined;
  /**
   * Engine that has ended the stream between two events by closing its connection, until the rest has
   * begun; undefined otherwise.
   */
  unconfirmedEngine: string | undefined;
  /** Whether such an end has proved to be early. */
  hasEndedEarly = false;
  /** Whether routers can find where the stream began. */
  isOriginNoted = false;
  /** Ends the request if one of its steps throws. */
  readonly guard: StepGuard;
  /** A send whose engine is silent, while the request is sent elsewhere. */
  readonly stalled: StalledSend;
  readonly response: CallResponse;
  readonly crashes: CallCrashes;
  readonly quota: CallQuota;

  constructor(
    readonly request: InboundRequest,
    readonly reply: Reply,
    readonly context: GatewayContext,
  ) {
    this.guard = new StepGuard(request.id, context.logger);
    this.stalled = new StalledSend(this, context.clock);
    const held = context.memory?.openResponse(request.id, reply);
    this.response = new CallResponse(reply, held, request.resumeAfter);
    this.crashes = new CallCrashes(request, context.crashes, () => this.grant);
    this.quota = new CallQuota(request, context.quotas);
  }

  /**
   * Whether what the caller has may be the whole stream, as far as the router knows: its engine has ended
   * it in order between two events, and neither this stream nor another of its service went on after
   * such an end.
   */
  get mayBeWhole(): boolean {
    const { unconfirmedEngine, hasEndedEarly, response, service, context, now } = this;
    if (unconfirmedEngine === undefined || hasEndedEarly || !response.isContinuable) return false;
    if (response.isWithinEvent || response.lacksEvent) return false;
    return !context.responseEnds.earlyServices.has(service?.name ?? '', now);
  }

  get isFinished(): boolean {
    return this.state === CallState.Finished;
  }

  /** Whether a send is in progress, with or without a response head; its response may be buffered. */
  get isAtEngine(): boolean {
    return this.state === CallState.Sent || this.state === CallState.Responding;
  }

  /** Whether a response head was sent to the caller. */
  get hasBegun(): boolean {
    return this.response.hasBegun;
  }

  get now(): number {
    return this.context.clock.now();
  }

  /** Declared tokens, by which tenants' uses are compared; 1 for a request that declares none. */
  get tokens(): number {
    return this.request.declaredTokens ?? 1;
  }

  get remainingMs(): number {
    return this.deadlineMs - this.now;
  }

  get mayRepeat(): boolean {
    return this.grant?.route.isRepeatable ?? false;
  }

  /** Whether nothing of the request can have run, so that it may be rejected or wait. */
  get isUnstarted(): boolean {
    return !this.mayHaveRun && !this.hasBegun;
  }

  /** Whether attempts and time are left for another send. */
  get canSendAgain(): boolean {
    const limit = this.grant?.route.maximumAttempts ?? 1;
    return this.sends < limit && this.remainingMs >= MINIMUM_BUDGET_MS;
  }
}
