/**
 * Keeps a send open whose engine is silent, while the request is sent to another engine. A sound
 * engine may pause for a second or two and continue, so its response is given up only for one that
 * another engine has begun. Whichever engine writes first serves the request.
 */
import type { Clock, Timer } from '../../runtime/clock.js';
import type { QueuePlace } from './admission/waiting-call.js';
import type { CallResponse } from './call-response.js';
import { CallState } from './call-state.js';
import type { Send } from './send.js';
import { CallStep, type StepGuard } from './step-guard.js';

/**
 * An engine that has not rejected a request by then is expected to serve it. Shorter than the time
 * for which two engines may run one request.
 */
const MAXIMUM_OVERLAP_MS = 300;

/** What a stalled send changes of its request. */
export interface StalledSendRequest {
  /** The current send, or the last one. */
  send: Send | undefined;
  state: CallState;
  readonly place: QueuePlace | undefined;
  readonly response: Pick<CallResponse, 'discardPending'>;
  readonly guard: StepGuard;
}

/** The stalled send of one request; at most one at a time. */
export class StalledSend {
  /** Called when the request waits for the silent engine again, with the reason. */
  onReturned: (send: Send, reason: string) => void = () => undefined;
  private send: Send | undefined;
  private timer: Timer | undefined;

  constructor(
    private readonly call: StalledSendRequest,
    private readonly clock: Clock,
  ) {}

  /** The stalled send; undefined if there is none. */
  get current(): Send | undefined {
    return this.send;
  }

  /** Whether a silent engine may still serve the request. */
  get isOpen(): boolean {
    return this.send !== undefined;
  }

  /** Whether the given send is the silent one. */
  owns(send: Send): boolean {
    return send === this.send;
  }

  /** Keeps the current send open; the request may then be sent to another engine. */
  keep(send: Send): void {
    const { call } = this;
    this.send = send;
    call.send = undefined;
    call.state = CallState.Choosing;
  }

  /** Limits the time for which two engines have the request; called after it was sent to another. */
  limitOverlap(): void {
    if (!this.send) return;
    this.timer?.cancel();
    const { guard } = this.call;
    this.timer = this.clock.setTimer(MAXIMUM_OVERLAP_MS, () =>
      guard.run(CallStep.Timer, () => this.endOverlap()),
    );
  }

  private endOverlap(): void {
    // Without a connection, the other engine does not have the request yet.
    const { send, state } = this.call;
    if (state === CallState.Sent && send?.isConnected) this.release();
    else this.limitOverlap();
  }

  /** Cancels the stalled send, since another engine serves the request or the request has ended. */
  release(): void {
    const { send } = this;
    if (!send) return;
    this.forget();
    send.cancel();
    this.call.response.discardPending();
  }

  /** Drops the stalled send, which has ended by itself. */
  forget(): void {
    this.timer?.cancel();
    this.send = undefined;
  }

  /**
   * Lets the silent engine serve the request, and cancels the send to another one, if there is any.
   *
   * @param reason why the request is not served elsewhere
   * @returns false if there is no stalled send
   */
  tryReturn(reason: string): boolean {
    const { send, call } = this;
    if (!send) return false;
    this.forget();
    if (send.isPaused) send.resume();
    const successor = call.send;
    call.send = send;
    call.state = send.hasHead ? CallState.Responding : CallState.Sent;
    call.place?.leave();
    successor?.cancel();
    this.onReturned(send, reason);
    return true;
  }
}
