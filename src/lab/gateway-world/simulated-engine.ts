/** Stand-in of an engine, with the faults that real ones show, and what all engines saw. */

/** How an engine treats the requests it is sent. */
export enum EngineMode {
  Sound = 'sound',
  /** Refuses and says so. */
  Busy = 'busy',
  /** Runs and answers with its own failure. */
  Failing = 'failing',
  /** Runs, and the answer is lost. */
  AnswerLost = 'answer-lost',
  /** Runs and never answers. */
  Hanging = 'hanging',
  /** Runs and breaks its answer off. */
  Cutting = 'cutting',
}

/** One run of a request, as an engine saw it. */
export interface ObservedRun {
  readonly requestId: string;
  readonly engineId: string;
  readonly service: string;
  readonly router: string;
  readonly tenant: string | undefined;
  readonly salt: string | undefined;
  readonly weightsVersion: number;
  readonly startedMs: number;
  endedMs: number | undefined;
}

/** One arrival of a request that crashes engines. */
export interface ObservedCrash {
  /** Caller, path and body, which stay the same when the request comes again. */
  readonly request: string;
  readonly router: string;
  readonly arrivedMs: number;
  /** Undefined where the engine was gone before. */
  crashedMs: number | undefined;
}

/** One order that an engine took. */
export interface ObservedOrder {
  readonly engineId: string;
  readonly holder: string;
  readonly token: number;
  readonly takenMs: number;
}

/** A request that an engine works on. */
export interface RunningRequest {
  /** The connection breaks at the engine's side. */
  breakOff(): void;
}

/** An engine of the simulation. */
export class SimulatedEngine {
  mode = EngineMode.Sound;
  isRunning = true;
  weightsVersion = 1;
  sequence = 0;
  highestToken = 0;
  isLoading = false;
  /** Whether it takes orders; otherwise they stay without an answer and without effect. */
  takesOrders = true;
  /** A request begins to run this long after it arrived, in milliseconds: others are read before it. */
  queueMs = 0;
  readonly running = new Set<RunningRequest>();
  /** Called when it has crashed. */
  onCrashed: () => void = () => undefined;

  constructor(
    readonly id: string,
    readonly address: string,
    readonly service: string,
    readonly model: string | undefined,
  ) {}

  /** Ends at once; what it was working on breaks off. */
  crash(): void {
    this.isRunning = false;
    for (const exchange of [...this.running]) exchange.breakOff();
  }

  /** Crashes, by a request that it ran or by a fault of its own, and is started again. */
  crashAndRestart(): void {
    this.crash();
    this.onCrashed();
  }
}

/** What all engines saw, for the oracle. */
export class EngineObservations {
  readonly runs: ObservedRun[] = [];
  readonly orders: ObservedOrder[] = [];
  readonly crashes: ObservedCrash[] = [];
}
