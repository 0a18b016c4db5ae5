/**
 * Tracks the attempts of one request and which of them may have run at a back end.
 * A response may state that a request did not run only according to this ledger.
 */

/** Progress of a request. */
export enum RequestState {
  /** Validated; nothing was sent. */
  Accepted = 'accepted',
  /** The claim was granted; no attempt is in progress. */
  Claimed = 'claimed',
  /** Sent to a back end; no response yet. */
  Dispatched = 'dispatched',
  /** A back end has begun to respond. */
  Answering = 'answering',
  /** The response is complete. */
  Finished = 'finished',
  /** Failed; `notRunProven` is false if an attempt may have run. */
  Failed = 'failed',
}

/** Events of a request. */
export enum RequestEvent {
  Claim = 'claim',
  Dispatch = 'dispatch',
  /** The back end proved that it did not run the attempt. */
  RefuseNotRun = 'refuse-not-run',
  /** The connection was lost; the attempt may have run. */
  Lose = 'lose',
  Answer = 'answer',
  Finish = 'finish',
  Fail = 'fail',
}

const { Accepted, Claimed, Dispatched, Answering, Finished, Failed } = RequestState;

/**
 * Allowed transitions. A lost or rejected attempt returns to `claimed`, since the claim outlives
 * the attempt; the retry policy decides whether another dispatch is allowed. `answering` accepts
 * `dispatch` for a stream that continues on another engine. Terminal states accept no events.
 */
const TRANSITIONS: Record<RequestState, Partial<Record<RequestEvent, RequestState>>> = {
  [Accepted]: {
    [RequestEvent.Claim]: Claimed,
    [RequestEvent.Dispatch]: Dispatched,
    [RequestEvent.Finish]: Finished,
    [RequestEvent.Fail]: Failed,
  },
  // Both attempts of a hedged request may be rejected or lost.
  [Claimed]: {
    [RequestEvent.Dispatch]: Dispatched,
    [RequestEvent.RefuseNotRun]: Claimed,
    [RequestEvent.Lose]: Claimed,
    [RequestEvent.Finish]: Finished,
    [RequestEvent.Fail]: Failed,
  },
  // A second dispatch during the first is a hedge.
  [Dispatched]: {
    [RequestEvent.Dispatch]: Dispatched,
    [RequestEvent.RefuseNotRun]: Claimed,
    [RequestEvent.Lose]: Claimed,
    [RequestEvent.Answer]: Answering,
    [RequestEvent.Finish]: Finished,
    [RequestEvent.Fail]: Failed,
  },
  [Answering]: {
    [RequestEvent.Answer]: Answering,
    [RequestEvent.RefuseNotRun]: Answering,
    [RequestEvent.Lose]: Claimed,
    [RequestEvent.Dispatch]: Dispatched,
    [RequestEvent.Finish]: Finished,
    [RequestEvent.Fail]: Failed,
  },
  [Finished]: {},
  [Failed]: {},
};

/** Ledger of one request at one node. */
export class RequestLedger {
  private current = RequestState.Accepted;
  private dispatches = 0;
  private provenNotRun = 0;

  /** @param earlierAttemptsUnproven whether another node may have dispatched this request before */
  constructor(private earlierAttemptsUnproven: boolean) {}

  /** Records proof that no other node's attempt has run or can still run. */
  proveEarlierNotRun(): void {
    this.earlierAttemptsUnproven = false;
  }

  /** Records that an attempt of another node may have run or may still run. */
  markEarlierUnproven(): void {
    this.earlierAttemptsUnproven = true;
  }

  /** Records a back end's proof that no attempt of any node has run or can still run. */
  proveFencedNotRun(): void {
    this.earlierAttemptsUnproven = false;
    this.provenNotRun = this.dispatches;
  }

  get state(): RequestState {
    return this.current;
  }

  /** Number of attempts that this node sent to back ends. */
  get attempts(): number {
    return this.dispatches;
  }

  /** Whether the state is terminal. */
  get isSettled(): boolean {
    return this.current === Finished || this.current === Failed;
  }

  /** Whether it is proven that no attempt of any node has run. */
  get notRunProven(): boolean {
    return !this.earlierAttemptsUnproven && this.dispatches === this.provenNotRun;
  }

  /** Applies an event; throws if the state does not allow it. */
  apply(event: RequestEvent): void {
    const next = TRANSITIONS[this.current][event];
    if (next === undefined)
      throw new Error(`request event ${event} is not allowed in state ${this.current}`);
    if (event === RequestEvent.Dispatch) this.dispatches += 1;
    if (event === RequestEvent.RefuseNotRun) this.provenNotRun += 1;
    this.current = next;
  }
}
