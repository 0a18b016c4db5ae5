/** Stand-in of an engine, with the faults that real ones show, and what all engines saw. */
import type { EngineNotice } from '../../protocol/inference/port.js';
import { incarnationOf } from '../../state/routing/engine-incarnation.js';

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
  /** Incarnation of the engine. */
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
  /** Incarnation of the engine. */
  readonly engineId: string;
  readonly holder: string;
  readonly token: number;
  /** When it was sent; the network may have held it up since. */
  readonly sentMs: number;
}

/** A send or an order to what an entry of another writer names as an engine. */
export interface ObservedStray {
  /** Name of the entry. */
  readonly entry: string;
  readonly router: string;
  readonly atMs: number;
}

/** A request that an engine works on. */
export interface RunningRequest {
  /** The connection breaks at the engine's side. */
  breakOff(): void;
  /** The engine ends, and nothing of that reaches the router. */
  leaveSilently(): void;
}

/** What identifies an engine and stays the same in all its lives. */
export interface EngineIdentity {
  readonly name: string;
  /** HOST:PORT. */
  readonly address: string;
  readonly service: string;
  readonly model: string | undefined;
}

/** One life of an engine of the simulation. */
export class SimulatedEngine {
  mode = EngineMode.Sound;
  isRunning = true;
  sequence = 0;
  highestToken = 0;
  isLoading = false;
  /** Whether it takes orders; otherwise they stay without an answer and without effect. */
  takesOrders = true;
  /** A request begins to run this long after it arrived, in milliseconds: others are read before it. */
  queueMs = 0;
  /** Whether it leaves; all its answers say so from then on. */
  isDraining = false;
  /** Where it refuses, it wants no requests of that router for so long; undefined: it does not say. */
  backoffMs: number | undefined;
  /** Requests a second that it takes from all routers together; undefined: it names no limit. */
  limitPerSecond: number | undefined;
  readonly running = new Set<RunningRequest>();
  /** Called when it has crashed. */
  onCrashed: () => void = () => undefined;
  private version = 1;
  private replacedVersion = 1;

  /** @param bornMs start in Unix milliseconds, by the engine's own clock */
  constructor(
    readonly identity: EngineIdentity,
    readonly bornMs: number,
  ) {}

  /** Incarnation: identity of this life. */
  get id(): string {
    return incarnationOf(this.identity.name, this.bornMs);
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

  get weightsVersion(): number {
    return this.version;
  }

  set weightsVersion(version: number) {
    this.replacedVersion = this.version;
    this.version = version;
  }

  /** The version that it had before its last load. */
  get earlierVersion(): number {
    return this.replacedVersion;
  }

  /** What an answer tells of the engine; undefined where it tells nothing. */
  noticeWith(isRefusal: boolean): EngineNotice | undefined {
    const backoffMs = isRefusal ? this.backoffMs : undefined;
    const { isDraining: isLeaving, limitPerSecond } = this;
    if (!isLeaving && backoffMs === undefined && limitPerSecond === undefined) return undefined;
    return { isLeaving, backoffMs, limitPerSecond, unreadable: [], unknownHeaders: [] };
  }

  /** Ends at once; what it was working on breaks off. */
  crash(): void {
    this.isRunning = false;
    for (const exchange of [...this.running]) exchange.breakOff();
  }

  /** Ends behind a cut of the network. Answers what its callers find broken once the cut is over. */
  crashUnseen(): RunningRequest[] {
    this.isRunning = false;
    const unseen = [...this.running];
    for (const exchange of unseen) exchange.leaveSilently();
    return unseen;
  }

  /** Crashes, by a request that it ran or by a fault of its own, and is started again. */
  crashAndRestart(): void {
    this.crash();
    this.onCrashed();
  }
}

/** What a router took of an engine's answer that tells of the engine itself. */
export interface ObservedNotice extends EngineNotice {
  /** Incarnation of the engine. */
  readonly engineId: string;
  readonly router: string;
  /** When the engine answered. */
  readonly answeredMs: number;
}

/** A request that reached an engine, whether it ran there or not. */
export interface ObservedArrival {
  readonly requestId: string;
  /** Incarnation of the engine. */
  readonly engineId: string;
  readonly router: string;
  readonly atMs: number;
}

/** The limit that an engine names from a moment on. */
export interface ObservedLimit {
  /** Incarnation of the engine. */
  readonly engineId: string;
  /** Requests a second of all routers together; undefined: it names none any more. */
  readonly perSecond: number | undefined;
  readonly atMs: number;
}

/** What all engines saw, for the oracle. */
export class EngineObservations {
  readonly runs: ObservedRun[] = [];
  readonly orders: ObservedOrder[] = [];
  readonly crashes: ObservedCrash[] = [];
  readonly strays: ObservedStray[] = [];
  readonly arrivals: ObservedArrival[] = [];
  readonly notices: ObservedNotice[] = [];
  readonly limits: ObservedLimit[] = [];
}
