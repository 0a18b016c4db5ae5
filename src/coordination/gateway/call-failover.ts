/**
 * Sends a request to another engine while the one that has it is silent. The stalled send stays open
 * until the other engine has accepted the request.
 */
import type { ExchangeFailure } from '../../protocol/inference/port.js';
import { EnginePathState } from '../../state/routing/engine-path.js';
import { logStalledSend } from './call-log.js';
import type { CallRecord } from './call-record.js';
import type { CallRetries } from './call-retries.js';
import { recordFailedSend } from './failed-send.js';
import { type Grant, admitRequest } from './request-admission.js';
import type { Send } from './send.js';
import { CallStep } from './step-guard.js';
import { SendTimeouts, type SendTimeoutReason } from './send-timeouts.js';

/** A send without a byte for this long on a silent path is made again through another router. */
const SILENT_PATH_SEND_MS = 300;

/** What a failover does to its request. */
export interface FailoverActions {
  /** Cancels the send and handles it as failed. */
  failSend(send: Send, failure: ExchangeFailure): void;
  /** Checks the request against the configuration and sends it to another engine. */
  sendAgain(): void;
  /** A silent engine serves the request after all, so that no retry is due. */
  onReturned(): void;
}

/** The failover of one request. */
export class CallFailover {
  private readonly timeouts: SendTimeouts;

  constructor(
    private readonly call: CallRecord,
    private readonly retries: CallRetries,
    private readonly actions: FailoverActions,
  ) {
    this.timeouts = new SendTimeouts(call.context.clock, (reason) =>
      call.guard.run(CallStep.Timer, () => this.onTimeout(reason)),
    );
    call.stalled.onReturned = (send, reason) => this.noteReturned(send, reason);
  }

  /** Starts the timeout for the response; called right before a send. */
  noteSend({ route }: Grant): void {
    const { call } = this;
    call.stalled.limitOverlap();
    if (!call.mayRepeat || call.sends >= route.maximumAttempts) return;
    this.timeouts.startResponseTimeout(route.objectiveMs, call.remainingMs);
  }

  /** A silent engine that writes serves the request; the send to another engine is cancelled. */
  noteWritten(send: Send): void {
    if (this.call.stalled.owns(send)) this.call.stalled.tryReturn('written');
  }

  /** Restarts the timeout for the next bytes of a resumable stream; other responses have none. */
  expectNextBytes(): void {
    if (this.call.response.isResumable) this.timeouts.restartStallTimeout();
    else this.timeouts.cancel();
  }

  /** Stops the timeout, since the send has ended or this router doesn't read its response. */
  stopTimeout(): void {
    this.timeouts.cancel();
  }

  /**
   * Fails a direct send because this router can't reach engines: one without a connection, or, if
   * open connections are silent too, one that may be repeated and has received nothing for a while.
   */
  failSendWithoutPath(path: EnginePathState): void {
    const { call } = this;
    const { send } = call;
    // The engine of a paused send is silent because this router does not read on.
    if (!send || !call.isAtEngine || send.isForwarded || send.isPaused) return;
    if (!send.isConnected) {
      const failure = {
        kind: 'not-sent',
        reason: 'path-interrupted',
        isPathFailure: true,
      } as const;
      this.actions.failSend(send, failure);
      return;
    }
    const isSilent = call.now - send.lastActivityMs >= SILENT_PATH_SEND_MS;
    if (path !== EnginePathState.Silent || !isSilent || !call.mayRepeat) return;
    if (call.canSendAgain) this.tryElsewhere(send, { kind: 'withdrawn', reason: 'path-silent' });
  }

  private onTimeout(reason: SendTimeoutReason): void {
    const { send, isFinished, canSendAgain } = this.call;
    if (!send || isFinished || !canSendAgain) return;
    // Without a connection, nothing of the request has arrived at an engine.
    this.tryElsewhere(send, { kind: send.isConnected ? 'unknown' : 'not-sent', reason });
  }

  /** Sends the request to another engine, if one is available and the configuration allows it. */
  private tryElsewhere(send: Send, failure: ExchangeFailure): void {
    const { call, retries } = this;
    const { context, stalled } = call;
    // No other engine can continue what the caller has received of it.
    if (call.hasBegun && !call.response.isContinuable) return;
    // What an engine has begun of a quarantined request or part may still be completed.
    if (call.hasBegun && call.crashes.isQuarantined) return;
    if (admitRequest(call.request, context).kind !== 'granted') return;
    if (!this.mayStayOpen(send)) {
      if (retries.canFailOver(send)) this.actions.failSend(send, failure);
      return;
    }
    if (!retries.tryFailOver(send, failure)) return;
    this.timeouts.cancel();
    stalled.keep(send);
    call.excluded.add(send.engineId);
    call.mayHaveRun = true;
    recordFailedSend(send, failure, context);
    context.statistics.stalledSends += 1;
    logStalledSend('send_stalled', call, send, failure.reason);
    this.actions.sendAgain();
  }

  /**
   * Whether the send may stay open while another engine is tried: one at a time, not that of a
   * generation without any event, which may begin at both engines in the same moment, and none whose
   * body is still held for its engine.
   */
  private mayStayOpen(send: Send): boolean {
    const { call } = this;
    const mayBegin = call.request.generation !== undefined && !call.hasBegun;
    return send.isConnected && send.hasTakenBody && !call.stalled.isOpen && !mayBegin;
  }

  private noteReturned(send: Send, reason: string): void {
    const { call } = this;
    call.context.statistics.stalledSendsReturned += 1;
    logStalledSend('stalled_send_returned', call, send, reason);
    this.actions.onReturned();
    this.timeouts.restartStallTimeout();
  }
}
