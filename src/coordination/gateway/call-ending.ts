/** Ends one request: the router's own response, or the end of the one that was passed on. */
import { HttpStatus } from '../../protocol/http-status.js';
import { BodyFraming } from '../../protocol/inference/port.js';
import { RejectionReason } from '../../state/routing/rejection.js';
import { logAbort, logFinish } from './call-log.js';
import type { CallRecord } from './call-record.js';
import { CallState } from './call-state.js';
import { CrashSubject } from './crash-guard.js';
import { PROMPT_PART_CRASHES_ENGINES, REQUEST_CRASHES_ENGINES } from './permanent-rejections.js';
import type { RejectionDetails } from './rejections.js';
import type { RouterResponse } from './reply.js';

/** Sends the final response of one request. */
export class CallEnding {
  constructor(
    private readonly call: CallRecord,
    /** Releases what the request holds; called once. */
    private readonly onFinished: () => void,
  ) {}

  /** Ends the request after its response was passed on completely. */
  complete(engine: string): void {
    const { call } = this;
    const { statistics, queues } = call.context;
    if (call.service && call.send) {
      const { serviceMs, placement } = call.send;
      const { slots } = placement.engine.record;
      queues?.noteCompleted(call.service, serviceMs, call.engineRequests, slots);
    }
    statistics.answered += 1;
    if (call.isSample) statistics.tooLateSamplesInTime += 1;
    if (call.send?.framing === BodyFraming.Connection) statistics.unframedResponses += 1;
    this.finish('answered', 0, engine);
  }

  /** Ends the request after its caller closed the connection. */
  abandon(): void {
    const { send, stalled, context } = this.call;
    stalled.release();
    send?.cancel();
    context.statistics.abandonedByCaller += 1;
    this.finish('caller-left', 0, send?.engineId);
  }

  /** Ends the request at its deadline. */
  expire(): void {
    const { call } = this;
    call.stalled.release();
    call.send?.cancel();
    if (call.state === CallState.Queued && !call.hasBegun) {
      this.reject(RejectionReason.NoTimeLeft);
      return;
    }
    if (call.sends > 0 && !call.isSample) call.context.statistics.admittedPastDeadline += 1;
    if (call.hasBegun) this.abort('deadline');
    else if (call.sends > 0) this.refuse({ status: 504, reason: 'deadline' });
    else this.reject(RejectionReason.NoTimeLeft);
  }

  /**
   * Sends the final response: a rejection with a retry delay if nothing ran, otherwise an error
   * with the detail of the failure. A silent engine that has the request may still serve it.
   */
  reject(reason: RejectionReason, details: RejectionDetails = {}): void {
    const { call } = this;
    const { detail = reason, ...estimates } = details;
    if (call.stalled.tryReturn(detail)) return;
    call.send?.cancel();
    if (call.hasBegun) this.abort(detail);
    else if (call.mayHaveRun || call.isAtEngine) this.refuse({ status: 502, reason: detail });
    else {
      const service = call.service?.name ?? '';
      const priority = call.grant?.priority ?? 0;
      const { rejections } = call.context;
      this.refuse(rejections.responseTo({ reason, service, priority, ...estimates }));
    }
  }

  /** Sends a permanent rejection, unless something may have run already; see {@link reject}. */
  deny(response: RouterResponse): void {
    if (this.call.stalled.tryReturn(response.reason)) return;
    if (this.call.hasBegun) this.abort(response.reason);
    else if (this.call.mayHaveRun) this.refuse({ status: 502, reason: response.reason });
    else this.refuse(response);
  }

  /**
   * Rejects a quarantined request, or one with a quarantined prompt part, permanently, even if it
   * may have run: no engine will serve it.
   */
  rejectQuarantined(subject: CrashSubject): void {
    this.call.stalled.release();
    const response =
      subject === CrashSubject.Request ? REQUEST_CRASHES_ENGINES : PROMPT_PART_CRASHES_ENGINES;
    this.call.context.statistics.quarantineRejections += 1;
    if (this.call.hasBegun) this.abort(response.reason);
    else this.refuse(response);
  }

  /** Rejects a request in provisional quarantine until a trial of it has ended. */
  rejectUntilTried(): void {
    this.call.context.statistics.trialRejections += 1;
    this.reject(RejectionReason.AwaitsTrial);
  }

  /** Ends the request after an exception in one of its steps; it may have run. */
  fail(): void {
    const { call } = this;
    if (call.isFinished) return;
    call.stalled.release();
    call.send?.cancel();
    if (call.hasBegun) this.abort('internal-error');
    else this.refuse({ status: HttpStatus.ServerError, reason: 'internal-error' });
  }

  /** Ends the request because the router holds too many bytes of its response. */
  drop(): void {
    const { call } = this;
    if (call.isFinished) return;
    call.stalled.release();
    call.send?.cancel();
    if (call.hasBegun) this.abort('slow-reader');
    else this.refuse({ status: 502, reason: 'memory-full' });
  }

  /** Sends a response of the router. */
  refuse(response: RouterResponse): void {
    const { call } = this;
    if (response.status === 503) call.context.statistics.refused += 1;
    else call.context.statistics.failed += 1;
    try {
      call.reply.refuse(response);
    } finally {
      this.finish(response.reason, response.status, call.send?.engineId);
    }
  }

  /**
   * Resets the caller's connection after a part of the response was sent, unless a silent engine may
   * still complete it. A stream that may be whole is completed: most streams that engines end in order
   * are, and their callers must not lose them because nobody could be asked for a rest.
   */
  abort(reason: string): void {
    const { call } = this;
    if (call.stalled.tryReturn(reason)) return;
    if (call.mayBeWhole && call.send) {
      call.send.cancel();
      call.response.handleEnd();
      this.complete(call.send.engineId);
      return;
    }
    const { statistics } = call.context;
    statistics.failed += 1;
    statistics.responsesAborted += 1;
    if (!call.wasDisconnected) statistics.connectedResponsesAborted += 1;
    logAbort(call, reason);
    try {
      call.reply.abort();
    } finally {
      this.finish(`aborted-${reason}`, 0, call.send?.engineId);
    }
  }

  private finish(outcome: string, ownStatus: number, engine: string | undefined): void {
    const { call } = this;
    const isInProgress = call.isAtEngine;
    call.state = CallState.Finished;
    call.stalled.release();
    call.place?.leave();
    if (call.service && isInProgress) call.context.queues?.of(call.service).noteSendEnded();
    call.quota.end(call.mayHaveRun || call.hasBegun || isInProgress);
    if (call.service && call.sends > 0) call.context.rejections.noteFinish(call.service.name);
    const end = {
      outcome,
      ownStatus,
      responseStatus: call.response.status,
      route: call.grant?.route.name,
      fingerprint: call.crashes.computedFingerprint,
      engine,
      sends: call.sends,
      firstChunkMs: call.response.firstChunkMs,
      framing: call.send?.framing,
      sentFraming: call.response.sentFraming,
    };
    logFinish(call.request, end, call.context);
    this.onFinished();
  }
}
