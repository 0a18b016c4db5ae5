/** Interface between a queue and the requests in it. */
import type { RejectionReason } from '../../../state/routing/rejection.js';
import type { RejectionDetails } from '../rejections.js';

/** Result of an attempt to send a waiting request. */
export enum SendAttempt {
  /** The request was sent, or it has ended. */
  Done,
  /** No engine has capacity for it; it keeps its place. */
  NoCapacity,
}

/** Properties of a request that decide its place. Times are monotonic, in milliseconds. */
export interface WaitDemand {
  readonly requestId: string;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly tenant: string | undefined;
  readonly bytes: number;
  /** Prompt tokens, or bytes of the body if the request generates nothing. */
  readonly size: number;
  readonly isReturning: boolean;
  /** Why no engine was chosen. */
  readonly cause: RejectionReason;
  readonly arrivedMs: number;
  readonly objectiveMs: number;
  readonly deadlineMs: number;
  /** Expected time to the first token after the send. */
  readonly firstTokenMs: number;
  /** Time until an engine with a pause or a rate limit accepts a request; 0 if none has one. */
  readonly engineWaitMs: number;
}

/** A request that waits for capacity. */
export interface WaitingCall {
  /** Checks the request anew and sends it if an engine has capacity for it. */
  trySend(): SendAttempt;
  /** Ends the request, which has left the queue. */
  rejectFromQueue(reason: RejectionReason, details: RejectionDetails): void;
}

/** Place of one request in a queue. */
export interface QueuePlace {
  /** Gives up the place; no effect if the request has left the queue. */
  leave(): void;
}

/** Why a request did not enter the queue. */
export interface QueueRefusal {
  readonly reason: RejectionReason;
  readonly details: RejectionDetails;
}
