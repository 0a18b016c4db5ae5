/**
 * Judges the ends of the responses to one request: whether a response is whole, was broken off, or ended
 * with its connection, so that nothing shows whether more follows. The rest of a stream that may be taken
 * up can be asked for; what comes, or does not, shows whether the response was whole.
 */
import { HttpStatus, isSuccess } from '../../protocol/http-status.js';
import { isEventStream } from '../../protocol/inference/event-stream.js';
import {
  BodyFraming,
  type ExchangeFailure,
  type ResponseHead,
} from '../../protocol/inference/port.js';
import type { CallRecord } from './call-record.js';
import type { CallRetries } from './call-retries.js';
import type { Send } from './send.js';

/** The ends of the responses to one request. */
export class CallStreamEnd {
  constructor(
    private readonly call: CallRecord,
    private readonly retries: CallRetries,
  ) {}

  /** Why the response is not whole although its exchange has ended; undefined if it may be whole. */
  failureOf(send: Send): ExchangeFailure | undefined {
    const { response, context } = this.call;
    // A process that dies closes its connections in the same way as one that has finished.
    const isDisconnect = send.framing === BodyFraming.Connection;
    if (response.isWithinEvent) {
      context.statistics.streamsEndedWithinEvent += 1;
      return { kind: 'cut', reason: 'ended-within-event', isDisconnect };
    }
    if (response.lacksEvent) return { kind: 'cut', reason: 'event-missing', isDisconnect };
    if (isDisconnect && (this.isEmptyStream || this.isEmptyContinuation(send)))
      return { kind: 'cut', reason: 'ended-before-events', isDisconnect };
    if (isDisconnect && response.lacksBody)
      return { kind: 'cut', reason: 'ended-before-body', isDisconnect };
    return undefined;
  }

  /** See {@link SendEvents.isEndUnconfirmed}. */
  isUnconfirmed({ engineId }: Send): boolean {
    const { request, response, unconfirmedEngine, service, context, now } = this.call;
    const { earlyEngines, earlyServices } = context.responseEnds;
    // The rest of such a stream can't be asked for.
    if (response.isStream && !response.isResumable) return earlyEngines.has(engineId, now);
    // If the rest was asked for already, this engine had nothing to add.
    if (!response.isResumable || unconfirmedEngine !== undefined) return false;
    if (response.hasPassedEvent) return true;
    // The caller asks for the rest itself, and this engine has nothing to add.
    const isAsked = request.resumeAfter !== undefined;
    return isAsked && (this.retries.mayConfirm || earlyServices.has(service?.name ?? '', now));
  }

  /** Records that the engine has ended the response, and that nothing shows whether it is whole. */
  noteUnconfirmed(engine: string): void {
    this.call.unconfirmedEngine = engine;
  }

  /**
   * Records that an engine has taken the question for the rest and has sent neither the rest nor its end,
   * so that nothing shows that the stream is whole.
   */
  noteContradiction(): void {
    this.call.unconfirmedEngine = undefined;
  }

  /** Records that the stream goes on, so that an end that was not confirmed has proved to be early. */
  noteProgress(): void {
    const { call } = this;
    if (call.unconfirmedEngine === undefined) return;
    const { earlyEngines, earlyServices } = call.context.responseEnds;
    earlyEngines.note(call.unconfirmedEngine, call.now);
    if (call.service) earlyServices.note(call.service.name, call.now);
    call.hasEndedEarly = true;
    call.unconfirmedEngine = undefined;
  }

  /** Whether no event of a stream was received that does not continue an earlier one. */
  private get isEmptyStream(): boolean {
    const { response, request } = this.call;
    const isTakenUp = response.isResumable && request.resumeAfter !== undefined;
    return response.isStream && !response.hasContent && !isTakenUp;
  }

  /** Whether the rest of a stream that was broken off is empty, and not stated to be. */
  private isEmptyContinuation(send: Send): boolean {
    const { response, unconfirmedEngine } = this.call;
    return response.hasPassedEvent && !send.hasContent && unconfirmedEngine === undefined;
  }
}

/** Whether a response may go on after events that the caller has already received. */
export function isContinuation(head: ResponseHead): boolean {
  return isSuccess(head.status) && head.status !== HttpStatus.NoContent && isEventStream(head);
}
