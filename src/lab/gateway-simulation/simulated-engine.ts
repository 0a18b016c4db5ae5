/** Simulated engine with injectable faults, and the observations of all engines. */
import { BodyFraming, type EngineNotice, type WeightState } from '../../protocol/inference/port.js';
import { incarnationOf } from '../../state/routing/engine-incarnation.js';

/** How an engine handles requests. */
export enum EngineMode {
  Healthy = 'sound',
  /** Rejects requests with an error response. */
  Busy = 'busy',
  /** Runs the request and responds with an error. */
  Failing = 'failing',
  /** Runs the request, but the response is lost. */
  ResponseLost = 'answer-lost',
  /** Runs the request and never responds. */
  Hanging = 'hanging',
  /** Runs the request and truncates the response. */
  Truncating = 'cutting',
}

/** One run of a request, as observed by the engine. */
export interface ObservedRun {
  readonly requestId: string;
  /** Incarnation of the engine. */
  readonly engineId: string;
  readonly service: string;
  readonly router: string;
  readonly tenant: string | undefined;
  readonly salt: string | undefined;
  readonly weightsVersion: number;
  readonly startedMs: number;
  endedMs: number | undefined;
  /**
   * Whether the engine sent a part of a body without a length, ended the connection in order and went
   * on: nothing shows that this was not the whole.
   */
  wasShortened: boolean;
  /**
   * Whether the engine ended a whole stream without a length and crashed before a router could see that it
   * lives: a stream that a crash cuts off ends in the same way.
   */
  hasCrashedAtEnd: boolean;
  /** Set if the router gave up the run although its engine would have completed the response. */
  givenUp: GivenUpRun | undefined;
}

/** What a run has not shown yet at its start. */
export const UNFINISHED_RUN = {
  endedMs: undefined,
  wasShortened: false,
  hasCrashedAtEnd: false,
  givenUp: undefined,
} as const;

/** A run that a router gave up; times in milliseconds. */
export interface GivenUpRun {
  readonly atMs: number;
  /** When the whole response would have arrived. */
  readonly completeMs: number;
}

/** A connection that an engine, or the router that forwarded it, broke off during a request. */
export interface ObservedDisconnect {
  readonly requestId: string;
  readonly atMs: number;
}

/** What crashes engines. */
export enum CrashCause {
  /** A request that is the same whenever it is repeated. */
  Request = 'request',
  /** A prompt part that requests of many kinds contain. */
  PromptPart = 'prompt-part',
}

/** One arrival of a request that crashes engines. */
export interface ObservedCrash {
  readonly requestId: string;
  readonly cause: CrashCause;
  /** Tenant, target and body of a request, which are the same when it is repeated; or the part. */
  readonly subject: string;
  readonly router: string;
  readonly arrivedMs: number;
  /** Undefined if the engine ended before the crash. */
  crashedMs: number | undefined;
}

/** A load command that an engine accepted. */
export interface ObservedLoadCommand {
  /** Incarnation of the engine. */
  readonly engineId: string;
  readonly holder: string;
  readonly token: number;
  /** Send time; the network may delay the command. */
  readonly sentMs: number;
}

/** A request or load command that was sent to a malformed entry. */
export interface ObservedMalformedUse {
  /** Name of the entry. */
  readonly entry: string;
  readonly router: string;
  readonly atMs: number;
}

/** A request that runs on an engine. */
export interface RunningRequest {
  /** Closes the connection at the engine's side, as the kernel does for a process that has died. */
  disconnect(): void;
  /** Resets the connection at the engine's side. */
  reset(): void;
  /** Ends the run at the engine without notifying the router. */
  abandon(): void;
}

/** Identity of an engine, which is the same for all its incarnations. */
export interface EngineIdentity {
  readonly name: string;
  /** HOST:PORT. */
  readonly address: string;
  readonly service: string;
  readonly model: string | undefined;
  /** Version of its software; a restart may change it. */
  readonly build: string;
}

/** Bounded capacity of an engine. */
export interface EngineCapacity {
  readonly slots: number;
  /** Requests that wait for a slot; the engine rejects those beyond. */
  readonly queued: number;
  /** Time that a request occupies a slot, in milliseconds. */
  readonly serviceMs: number;
}

/** How an engine behaves that fails when it has to reject too many requests. */
export interface Brittleness {
  /** Rejections in one second above which the engine fails. */
  readonly tolerance: number;
  /** Requests that wait for a slot while the engine is brittle. */
  readonly queued: number;
}

const REJECTION_WINDOW_MS = 1_000;

/** One incarnation of a simulated engine. */
export class SimulatedEngine {
  mode = EngineMode.Healthy;
  /** What shows the end of its responses. */
  framing = BodyFraming.Chunks;
  isRunning = true;
  commandSequence = 0;
  highestToken = 0;
  isLoading = false;
  /** Whether it accepts load commands; otherwise they time out without effect. */
  acceptsLoadCommands = true;
  /** Time in the engine's queue before a request starts, in milliseconds. */
  queueMs = 0;
  /** Undefined: any number of requests run at once. */
  capacity: EngineCapacity | undefined;
  /** Times at which the slots become free, by slot. */
  readonly freeAtMs: number[] = [];
  /** Until then it sends nothing, as if its process were paused; it accepts connections. */
  silentUntilMs = -Infinity;
  /** Requests that wait for a slot. */
  waiting = 0;
  /** Whether the engine is draining, which all its responses then state. */
  isDraining = false;
  /** Backoff stated in rejections, in milliseconds; undefined states none. */
  backoffMs: number | undefined;
  /** Limit of requests per second for all routers together; undefined: no limit. */
  limitPerSecond: number | undefined;
  /** Undefined: the engine tolerates any number of rejections. */
  brittleness: Brittleness | undefined;
  /** Whether fewer requests wait because the engine is brittle. */
  hasShortQueue = false;
  /** Routers of the rejections for want of room in the last second, with their times. */
  private rejections: { readonly router: string; readonly atMs: number }[] = [];
  readonly running = new Set<RunningRequest>();
  /** Called after a crash. */
  onCrashed: () => void = () => undefined;
  private version = 1;
  private replacedVersion = 1;

  /** @param startedAtMs start time in Unix milliseconds, by the engine's own clock */
  constructor(
    readonly identity: EngineIdentity,
    readonly startedAtMs: number,
  ) {}

  /** Identifier of this incarnation. */
  get id(): string {
    return incarnationOf(this.identity.name, this.startedAtMs);
  }

  get name(): string {
    return this.identity.name;
  }

  get address(): string {
    return this.identity.address;
  }

  get service(): string {
    return this.identity.service;
  }

  get model(): string | undefined {
    return this.identity.model;
  }

  get build(): string {
    return this.identity.build;
  }

  /** Whether it is loading weights of its model, and rejects requests meanwhile. */
  get isLoadingModel(): boolean {
    return this.isLoading && this.model !== undefined;
  }

  get weightsVersion(): number {
    return this.version;
  }

  set weightsVersion(version: number) {
    this.replacedVersion = this.version;
    this.version = version;
  }

  /** Makes it send nothing until the given time, or until a later one given before. */
  silence(untilMs: number): void {
    this.silentUntilMs = Math.max(this.silentUntilMs, untilMs);
  }

  /** Version before the last load. */
  get previousVersion(): number {
    return this.replacedVersion;
  }

  /**
   * Reserves the slot that becomes free first; returns the wait for it in milliseconds, or undefined
   * if the queue is full.
   */
  reserveSlot(
    { slots, serviceMs, ...capacity }: EngineCapacity,
    nowMs: number,
  ): number | undefined {
    const short = this.hasShortQueue ? this.brittleness : undefined;
    const queued = short?.queued ?? capacity.queued;
    while (this.freeAtMs.length < slots) this.freeAtMs.push(nowMs);
    const slot = this.freeAtMs.indexOf(Math.min(...this.freeAtMs));
    const waitMs = Math.max(0, (this.freeAtMs[slot] as number) - nowMs);
    if (waitMs > 0 && this.waiting >= queued) return undefined;
    this.freeAtMs[slot] = nowMs + waitMs + serviceMs;
    return waitMs;
  }

  /**
   * Records a rejection for want of room. Returns the routers of the rejections of the last second if
   * these are too many, so that the engine fails.
   */
  noteRejection(router: string, nowMs: number): string[] | undefined {
    if (!this.brittleness) return undefined;
    const recent = this.rejections.filter(({ atMs }) => atMs > nowMs - REJECTION_WINDOW_MS);
    this.rejections = [...recent, { router, atMs: nowMs }];
    if (this.rejections.length <= this.brittleness.tolerance) return undefined;
    return this.rejections.map((rejection) => rejection.router);
  }

  /** Notice to send with a response; undefined if there is nothing to state. */
  noticeFor(isRefusal: boolean): EngineNotice | undefined {
    const backoffMs = isRefusal ? this.backoffMs : undefined;
    const { isDraining: isLeaving, limitPerSecond } = this;
    const rejectionTolerance = this.brittleness?.tolerance;
    const stated = [backoffMs, limitPerSecond, rejectionTolerance];
    if (!isLeaving && stated.every((value) => value === undefined)) return undefined;
    return {
      isLeaving,
      backoffMs,
      limitPerSecond,
      rejectionTolerance,
      unreadable: [],
      unknownHeaders: [],
    };
  }

  /** Stops immediately and breaks the connections of running requests. */
  crash(): void {
    this.isRunning = false;
    for (const exchange of [...this.running]) exchange.disconnect();
  }

  /** Stops during a network partition. Returns the requests that fail when the partition ends. */
  crashUnnoticed(): RunningRequest[] {
    this.isRunning = false;
    const unseen = [...this.running];
    for (const exchange of unseen) exchange.abandon();
    return unseen;
  }

  /** Crashes and is restarted. */
  crashAndRestart(): void {
    this.crash();
    this.onCrashed();
  }
}

/** A notice that a router received in an engine's response. */
export interface ObservedNotice extends EngineNotice {
  /** Incarnation of the engine. */
  readonly engineId: string;
  readonly router: string;
  /** When the engine sent the response. */
  readonly respondedMs: number;
}

/** A request that arrived at an engine, whether or not it ran. */
export interface ObservedArrival {
  readonly requestId: string;
  /** Incarnation of the engine. */
  readonly engineId: string;
  readonly router: string;
  readonly atMs: number;
}

/** A limit that an engine announces from `atMs` on. */
export interface ObservedLimit {
  /** Incarnation of the engine. */
  readonly engineId: string;
  /** Requests per second of all routers together; undefined if the limit was removed. */
  readonly perSecond: number | undefined;
  readonly atMs: number;
}

/** A failure of an engine that had to reject too many requests. */
export interface ObservedFall {
  /** Incarnation of the engine. */
  readonly engineId: string;
  readonly service: string;
  readonly atMs: number;
  /** Router of each rejection in the second before. */
  readonly routers: readonly string[];
}

/** Observations of all engines, for the oracle. */
export class EngineObservations {
  readonly runs: ObservedRun[] = [];
  readonly loadCommands: ObservedLoadCommand[] = [];
  readonly crashes: ObservedCrash[] = [];
  readonly malformedUses: ObservedMalformedUse[] = [];
  readonly arrivals: ObservedArrival[] = [];
  readonly notices: ObservedNotice[] = [];
  readonly limits: ObservedLimit[] = [];
  readonly falls: ObservedFall[] = [];
  readonly disconnects: ObservedDisconnect[] = [];
}

/** The state that an engine reports; none without an engine. */
export function weightStateOf(engine: SimulatedEngine | undefined): WeightState | undefined {
  if (!engine) return undefined;
  return {
    startedAtMs: engine.startedAtMs,
    version: engine.weightsVersion,
    isBusy: engine.isLoading,
    orderSequence: engine.commandSequence,
  };
}
