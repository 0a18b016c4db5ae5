/** Stand-ins of engines behind the inference port, with the faults that real ones show. */
import type {
  AnswerHead,
  CacheContents,
  CacheEventPage,
  EngineEndpoint,
  Exchange,
  ExchangeListener,
  ForwardedRequest,
  InferencePort,
  OrderResult,
  SendOptions,
  WeightOrder,
  WeightState,
} from '../../protocol/inference/port.js';
import type { Clock } from '../../runtime/clock.js';
import type { HostClock } from '../simulation/host-clock.js';

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

/** One order that an engine took. */
export interface ObservedOrder {
  readonly engineId: string;
  readonly holder: string;
  readonly token: number;
  readonly takenMs: number;
}

/** Pieces of every stream. */
export const STREAM_PIECES = 5;
const WAY_MS = 1;
const PIECE_MS = 8;
const LOAD_MS = 300;
const REPORT_TIMEOUT_MS = 400;

/** An engine of the simulation. */
export class SimulatedEngine {
  mode = EngineMode.Sound;
  isRunning = true;
  weightsVersion = 1;
  sequence = 0;
  highestToken = 0;
  isLoading = false;
  readonly running = new Set<SimulatedExchange>();

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
}

/** What all engines saw, for the oracle. */
export class EngineObservations {
  readonly runs: ObservedRun[] = [];
  readonly orders: ObservedOrder[] = [];
}

/** One router's access to the engines. */
export class SimulatedInference implements InferencePort {
  private readonly exchanges = new Set<SimulatedExchange>();

  constructor(
    private readonly engineAt: (address: string) => SimulatedEngine | undefined,
    private readonly observations: EngineObservations,
    private readonly clock: Clock,
    private readonly host: HostClock,
    private readonly router: string,
  ) {}

  send(
    endpoint: EngineEndpoint,
    request: ForwardedRequest,
    options: SendOptions,
    listener: ExchangeListener,
  ): Exchange {
    const exchange = new SimulatedExchange(request, options, listener, this.clock, this.host);
    this.exchanges.add(exchange);
    this.clock.setTimer(WAY_MS, () => this.arrive(endpoint, exchange, options, request));
    return exchange;
  }

  order(endpoint: EngineEndpoint, order: WeightOrder): Promise<OrderResult> {
    return this.answer(() => this.takeOrder(endpoint, order), {
      kind: 'unknown',
      reason: 'silent',
    });
  }

  weightState(endpoint: EngineEndpoint): Promise<WeightState | undefined> {
    return this.answer(() => {
      const engine = this.engineOf(endpoint);
      return (
        engine && {
          version: engine.weightsVersion,
          isBusy: engine.isLoading,
          orderSequence: engine.sequence,
        }
      );
    }, undefined);
  }

  cacheEvents(_address: string, since: number, waitMs: number): Promise<CacheEventPage> {
    return new Promise((resolve) => {
      const page = { epoch: 1, next: since, hasGap: false, events: [] };
      this.clock.setTimer(waitMs, () => this.host.deliver(() => resolve(page)));
    });
  }

  cacheContents(): Promise<CacheContents> {
    return Promise.resolve({ epoch: 1, next: 0, held: [] });
  }

  retain(): void {
    // Simulated connections cost nothing.
  }

  /** The router's process has ended: its connections break. */
  breakAll(): void {
    for (const exchange of this.exchanges) exchange.cancel();
  }

  private arrive(
    endpoint: EngineEndpoint,
    exchange: SimulatedExchange,
    options: SendOptions,
    request: ForwardedRequest,
  ): void {
    if (exchange.isOver) return;
    const engine = this.engineAt(endpoint.address);
    if (!engine?.isRunning) {
      exchange.fail('not-sent');
      return;
    }
    const isOther = engine.id !== options.expectedInstance;
    const isOtherVersion =
      options.expectedVersion !== undefined && options.expectedVersion !== engine.weightsVersion;
    if (isOther || isOtherVersion) {
      exchange.refuse(421);
      return;
    }
    if (engine.mode === EngineMode.Busy || (engine.isLoading && engine.model !== undefined)) {
      exchange.refuse(503);
      return;
    }
    const run: ObservedRun = {
      requestId: request.id,
      engineId: engine.id,
      service: engine.service,
      router: this.router,
      tenant: options.tenant,
      salt: options.cacheSalt,
      weightsVersion: engine.weightsVersion,
      startedMs: this.clock.now(),
      endedMs: undefined,
    };
    this.observations.runs.push(run);
    exchange.run(engine, run);
  }

  private takeOrder(endpoint: EngineEndpoint, order: WeightOrder): OrderResult {
    const engine = this.engineOf(endpoint);
    if (!engine) return { kind: 'unknown', reason: 'silent' };
    if (order.fencingToken < engine.highestToken) return { kind: 'rejected', status: 412 };
    engine.highestToken = order.fencingToken;
    if (engine.isLoading || order.expectedSequence !== engine.sequence) {
      return { kind: 'rejected', status: 409 };
    }
    if (engine.weightsVersion >= order.version) return { kind: 'already-done' };
    engine.sequence += 1;
    engine.isLoading = true;
    this.observations.orders.push({
      engineId: engine.id,
      holder: order.holder,
      token: order.fencingToken,
      takenMs: this.clock.now(),
    });
    this.clock.setTimer(LOAD_MS, () => {
      engine.isLoading = false;
      engine.weightsVersion = order.version;
    });
    return { kind: 'accepted' };
  }

  private engineOf(endpoint: EngineEndpoint): SimulatedEngine | undefined {
    const engine = this.engineAt(endpoint.address);
    return engine?.isRunning && engine.id === endpoint.id ? engine : undefined;
  }

  private answer<Result>(action: () => Result, silent: Result): Promise<Result> {
    return new Promise((resolve) => {
      this.clock.setTimer(WAY_MS, () => {
        const result = action();
        const delayMs = result === silent ? REPORT_TIMEOUT_MS : WAY_MS;
        this.clock.setTimer(delayMs, () => this.host.deliver(() => resolve(result)));
      });
    });
  }
}

/** One send, from both sides. */
export class SimulatedExchange implements Exchange {
  isOver = false;
  private engine: SimulatedEngine | undefined;
  private observed: ObservedRun | undefined;
  private hasBegun = false;

  constructor(
    private readonly request: ForwardedRequest,
    private readonly options: SendOptions,
    private readonly listener: ExchangeListener,
    private readonly clock: Clock,
    private readonly host: HostClock,
  ) {}

  /** The engine has taken the request. */
  run(engine: SimulatedEngine, run: ObservedRun): void {
    this.engine = engine;
    this.observed = run;
    engine.running.add(this);
    switch (engine.mode) {
      case EngineMode.Failing:
        this.later(PIECE_MS, () => this.answerFailure());
        return;
      case EngineMode.AnswerLost:
        this.later(PIECE_MS, () => this.breakOff());
        return;
      case EngineMode.Hanging:
        return;
      default:
        this.later(PIECE_MS, () => this.begin(engine.mode === EngineMode.Cutting));
    }
  }

  refuse(status: number): void {
    this.deliverLast(() =>
      this.listener.onFailure({ kind: 'refused', status, reason: `refused-${status}` }),
    );
  }

  fail(kind: 'not-sent' | 'unknown' | 'cut'): void {
    this.deliverLast(() => this.listener.onFailure({ kind, reason: kind }));
  }

  /** The connection breaks at the engine's side. */
  breakOff(): void {
    this.leaveEngine();
    this.fail(this.hasBegun ? 'cut' : 'unknown');
  }

  cancel(): void {
    this.isOver = true;
    this.clock.setTimer(WAY_MS, () => this.leaveEngine());
  }

  pause(): void {
    // Callers of the simulation read at once.
  }

  resume(): void {
    // As above.
  }

  private answerFailure(): void {
    this.deliver(() => this.listener.onHead(headOf(500)));
    this.leaveEngine();
    this.deliverLast(() => this.listener.onEnd());
  }

  private begin(isCut: boolean): void {
    this.hasBegun = true;
    this.deliver(() => this.listener.onHead(headOf(200)));
    const isStream = this.request.target.startsWith('/stream');
    if (!isStream) {
      this.answerPlain(isCut);
      return;
    }
    const resumed = this.options.resumeAfter;
    this.piece(resumed === undefined ? 1 : Number(resumed) + 1, isCut);
  }

  private answerPlain(isCut: boolean): void {
    const body = plainBodyOf(this.request.id);
    const sent = isCut ? body.slice(0, -1) : body;
    this.deliver(() => this.listener.onChunk(Buffer.from(sent)));
    if (isCut) {
      this.breakOff();
      return;
    }
    this.leaveEngine();
    this.deliverLast(() => this.listener.onEnd());
  }

  /** Sends one event after the other; a cut falls into the middle of the third. */
  private piece(index: number, isCut: boolean): void {
    if (index > STREAM_PIECES) {
      this.leaveEngine();
      this.deliverLast(() => this.listener.onEnd());
      return;
    }
    const text = pieceOf(this.request.id, index);
    const CUT_PIECE = 3;
    if (isCut && index >= CUT_PIECE) {
      this.deliver(() => this.listener.onChunk(Buffer.from(text.slice(0, text.length / 2))));
      this.breakOff();
      return;
    }
    this.deliver(() => this.listener.onChunk(Buffer.from(text)));
    this.later(PIECE_MS, () => this.piece(index + 1, isCut));
  }

  /** Continues the run at the engine, unless it was given up or the engine is gone. */
  private later(delayMs: number, action: () => void): void {
    this.clock.setTimer(delayMs, () => {
      if (this.engine?.running.has(this)) action();
    });
  }

  private leaveEngine(): void {
    this.engine?.running.delete(this);
    if (this.observed) this.observed.endedMs ??= this.clock.now();
  }

  private deliver(action: () => void): void {
    this.clock.setTimer(WAY_MS, () =>
      this.host.deliver(() => {
        if (!this.isOver) action();
      }),
    );
  }

  private deliverLast(action: () => void): void {
    this.deliver(() => {
      this.isOver = true;
      action();
    });
  }
}

/** The whole body of a plain answer. */
export function plainBodyOf(requestId: string): string {
  return `answer to ${requestId}`;
}

/** One event of a stream. */
export function pieceOf(requestId: string, index: number): string {
  return `id: ${index}\ndata: ${requestId}/${index}\n\n`;
}

function headOf(status: number): AnswerHead {
  return { status, headers: [], contentLength: undefined, isAttested: true };
}
