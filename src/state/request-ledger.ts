/**
 * What is known of one request: which of its attempts may have run at a back end.
 * The only source of the statement "not run".
 */

/** Progress of a request. */
export enum RequestState {
  /** Checked, nothing sent. */
  Accepted = 'accepted',
  /** The right to dispatch is held, nothing sent. */
  Claimed = 'claimed',
  /** Sent to a back end, nothing heard. */
  Dispatched = 'dispatched',
  /** A back end has begun to answer. */
  Answering = 'answering',
  /** The whole answer is there. */
  Finished = 'finished',
  /** Given up; `notRunProven` says whether anything may have run. */
  Failed = 'failed',
}

/** What happens to a request. */
export enum RequestEvent {
  Claim = 'claim',
  Dispatch = 'dispatch',
  /** The back end proves that it did not run the attempt. */
  RefuseNotRun = 'refuse-not-run',
  /** The attempt was lost and may have run. */
  Lose = 'lose',
  Answer = 'answer',
  Finish = 'finish',
  Fail = 'fail',
}

const { Accepted, Claimed, Dispatched, Answering, Finished, Failed } = RequestState;

/**
 * Legal steps. A lost or refused attempt returns to `claimed`, since the claim outlives the attempt;
 * whether another dispatch is allowed then is the retry policy's matter. `answering` accepts
 * `dispatch` for a stream that continues on another engine. Terminal states accept nothing.
 */
const TRANSITIONS: Record<RequestState, Partial<Record<RequestEvent, RequestState>>> = {
  [Accepted]: {
    [RequestEvent.Claim]: Claimed,
    [RequestEvent.Dispatch]: Dispatched,
    [RequestEvent.Finish]: Finished,
    [RequestEvent.Fail]: Failed,
  },
  // A hedged attempt may be refused or lost after the other one was.
  [Claimed]: {
    [RequestEvent.Dispatch]: Dispatched,
    [RequestEvent.RefuseNotRun]: Claimed,
    [RequestEvent.Lose]: Claimed,
    [RequestEvent.Finish]: Finished,
    [RequestEvent.Fail]: Failed,
  },
  // A second dispatch beside the first is a hedge.
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

/** The ledger of one request at one node. */
export class RequestLedger {
  private current = RequestState.Accepted;
  private dispatches = 0;
  private provenNotRun = 0;

  /** `earlierAttemptsUnproven`: another node may have dispatched this request before. */
  constructor(private earlierAttemptsUnproven: boolean) {}

  /** It is proven by now that no other node's attempt has run or can still run. */
  proveEarlierNotRun(): void {
    this.earlierAttemptsUnproven = false;
  }

  /** Another node may run the request after all. */
  doubtEarlier(): void {
    this.earlierAttemptsUnproven = true;
  }

  /** A back end proved that no attempt, here or elsewhere, has run or can still run. */
  proveFencedNotRun(): void {
    this.earlierAttemptsUnproven = false;
    this.provenNotRun = this.dispatches;
  }

  get state(): RequestState {
    return this.current;
  }

  /** Attempts sent to back ends by this node. */
  get attempts(): number {
    return this.dispatches;
  }

  /** True once no further event is legal. */
  get isSettled(): boolean {
    return this.current === Finished || this.current === Failed;
  }

  /** True only where no attempt, here or elsewhere, can have run. */
  get notRunProven(): boolean {
    return !this.earlierAttemptsUnproven && this.dispatches === this.provenNotRun;
  }

  /** Takes a step; an illegal one is a programming error. */
  apply(event: RequestEvent): void {
    const next = TRANSITIONS[this.current][event];
    if (next === undefined) throw new Error(`request event ${event} in state ${this.current}`);
    if (event === RequestEvent.Dispatch) this.dispatches += 1;
    if (event === RequestEvent.RefuseNotRun) this.provenNotRun += 1;
    this.current = next;
  }
}
