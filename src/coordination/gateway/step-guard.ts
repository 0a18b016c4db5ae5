/**
 * Confines exceptions to the request in whose step they are thrown: that request ends, and the process
 * goes on with all others. A step is what a request does in one turn of the event loop.
 */
import type { Logger } from '../../runtime/logger.js';

/** What has caused a step of a request. */
export enum CallStep {
  Arrival = 'arrival',
  /** An event of the connection to an engine. */
  Exchange = 'exchange',
  /** An event of the connection to the caller, or of the memory held for it. */
  Caller = 'caller',
  Timer = 'timer',
  /** A turn in the queue of its service. */
  Queue = 'queue',
  /** The response of another router. */
  Peer = 'peer',
  /** A change of engines, quarantines or the router's own state. */
  Change = 'change',
}

/** A step that has thrown. */
export interface StepFailure {
  readonly step: CallStep;
  /** Name, or code, and message of the exception. */
  readonly reason: string;
}

/** Runs the steps of one request. */
export class StepGuard {
  /** Ends the request. */
  onFailure: (failure: StepFailure) => void = () => undefined;

  constructor(
    private readonly requestId: string,
    private readonly logger: Logger,
  ) {}

  /** Runs a step; if it throws, the request ends. */
  run(step: CallStep, action: () => void): void {
    try {
      action();
    } catch (error) {
      this.fail(step, error);
    }
  }

  /** Ends the request after an exception in one of its steps. */
  fail(step: CallStep, error: unknown): void {
    const failure = { step, reason: describe(error) };
    this.logger.error('request_step_failed', { request: this.requestId, ...failure });
    try {
      this.onFailure(failure);
    } catch (second) {
      this.logger.error('request_end_failed', {
        request: this.requestId,
        reason: describe(second),
      });
    }
  }
}

function describe(error: unknown): string {
  if (!(error instanceof Error)) return String(error);
  const { code = error.name } = error as NodeJS.ErrnoException;
  return `${code}: ${error.message}`;
}
